package app

import (
	"context"
	"time"
)

// UntilEither returns a context that ends with parent or when other is done, whichever comes first.
func UntilEither(parent, other context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	stopWatching := context.AfterFunc(other, cancel)
	return ctx, func() {
		stopWatching()
		cancel()
	}
}

// Extend returns a context that ends the duration after ctx is done.
func Extend(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	extended, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stopWatching := context.AfterFunc(ctx, func() { time.AfterFunc(d, cancel) })
	return extended, func() {
		stopWatching()
		cancel()
	}
}
