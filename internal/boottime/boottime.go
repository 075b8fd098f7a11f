// Package boottime reads the boot clock, which also advances while the host is suspended. Leases are timed by the boot clock,
// because the monotonic clock stops during suspension while the store's clock continues.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

var processStart = time.Now()

// readClock is the clock that Now reads.
var readClock = readBootClock

// Now returns the time since the host booted, including time in suspension. If the boot clock cannot be read, it returns the
// monotonic time since the process started.
func Now() time.Duration { return readClock() }

// SetClock replaces the clock that Now reads, for instance by the virtual clock of a test, and returns the previous clock. It must
// not be called at the same time as Now.
func SetClock(read func() time.Duration) (previous func() time.Duration) {
	previous, readClock = readClock, read
	return previous
}

func readBootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart) // suspension is then not detected; durable writes are still fenced
	}
	return time.Duration(ts.Nano())
}
