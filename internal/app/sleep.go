package app

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx is done.
func Sleep(ctx context.Context, d time.Duration) { SleepOrSignal(ctx, nil, d) }

// SleepOrSignal waits until ch is readable or closed, until d has passed, or until ctx is done.
func SleepOrSignal(ctx context.Context, ch <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-ch:
	case <-t.C:
	}
}
