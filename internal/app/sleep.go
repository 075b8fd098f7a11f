package app

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx is done.
func Sleep(ctx context.Context, d time.Duration) { SleepOrSignal(ctx, nil, d) }

// SleepOrSignal waits until wake is readable or closed, until d has passed, or until ctx is done. A nil wake is ignored.
func SleepOrSignal(ctx context.Context, wake <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-t.C:
	}
}
