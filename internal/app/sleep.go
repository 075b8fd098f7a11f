package app

import (
	"context"
	"time"
)

// Sleep returns after d, or when ctx ends.
func Sleep(ctx context.Context, d time.Duration) { Wait(ctx, nil, d) }

// Wait returns when the channel is ready, after d, or when ctx ends.
func Wait(ctx context.Context, ch <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-ch:
	case <-t.C:
	}
}
