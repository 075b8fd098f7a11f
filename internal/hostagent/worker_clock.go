package hostagent

import (
	"time"

	"bamboofork/internal/boottime"
	"bamboofork/internal/session"
)

// workerClock is what an agent knows about the steady clock of its worker in the worker's current lifetime. The worker has read its clock at
// some time between the call for the reading and the arrival of the response, and its clock may run slower than that of the agent. So the
// agent only knows a time that the worker's clock has reached.
type workerClock struct {
	readMs     int64         // latest reading in milliseconds; 0: none
	sentAt     time.Duration // boot time at which the call for the reading was sent
	receivedAt time.Time     // when the response was processed, for the steady clock: like that of the worker, it does not count a suspension
	callTime   time.Duration // duration of the call
}

// reachedMs returns a time in milliseconds that the worker's clock has certainly reached.
func (c *workerClock) reachedMs() int64 {
	return c.readMs + int64(float64(time.Since(c.receivedAt).Milliseconds())*(1-session.WorkerClockDrift))
}

// recordClock stores a reading of the worker's clock unless it belongs to another lifetime or is not later than the stored
// reading. sentAt is the boot time at which the call for the reading was sent.
func (a *Agent) recordClock(lifetime, readMs int64, sentAt time.Duration) {
	if a.worker == nil || a.worker.Lifetime != lifetime || readMs == 0 {
		return
	}
	if a.clock.readMs == 0 || readMs > a.clock.readMs {
		a.clock = workerClock{readMs: readMs, sentAt: sentAt, receivedAt: time.Now(), callTime: boottime.Now() - sentAt}
	}
}
