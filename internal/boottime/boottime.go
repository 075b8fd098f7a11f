// Package boottime reads the clock that keeps counting while the host is suspended. Leases are judged by it, because
// the monotonic clock of a suspended host stands still while the store's clock goes on.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

var start = time.Now()

// Now returns the time since the host's boot, including suspension.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(start) // without the clock, suspension goes unnoticed; durable writes are still fenced
	}
	return time.Duration(ts.Nano())
}
