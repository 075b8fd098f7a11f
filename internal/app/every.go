package app

import (
	"context"
	"time"
)

// Every calls fn once per interval until ctx is done. The first call comes after one interval.
func Every(ctx context.Context, interval time.Duration, fn func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			fn()
		}
	}
}
