package app

import (
	"context"
	"time"
)

// Every calls do at each interval until ctx is done; the first call comes after one interval.
func Every(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}
