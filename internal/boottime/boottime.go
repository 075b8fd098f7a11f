// Package boottime reads the boot clock, which also advances while the host is suspended. Leases are timed by it, because
// the monotonic clock stops during suspension while the store's clock continues.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

var processStart = time.Now()

// Now returns the time since the host booted, including time in suspension.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart) // without the clock, suspension is not detected; durable writes are still fenced
	}
	return time.Duration(ts.Nano())
}
