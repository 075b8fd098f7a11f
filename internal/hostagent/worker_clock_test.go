package hostagent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/boottime"
	"bamboofork/internal/session"
)

// distantRunner is a worker with a slow clock behind a slow link.
type distantRunner struct {
	scriptedRunner
	startedAt   time.Time
	clockRate   float64       // of the worker's clock, relative to true time
	thereDelay  time.Duration // of requests
	backDelay   time.Duration // of responses
	unreachable bool
	deadlineMs  int64 // latest deadline of the runs
	// suspended is the time for which the host of the worker and the agent was suspended. The boot clock counts it.
	suspended time.Duration
}

// clockMs returns the worker's clock. Like the virtual time, it does not count the time of a suspension.
func (r *distantRunner) clockMs() int64 {
	return 1000 + int64(r.clockRate*float64(time.Since(r.startedAt).Milliseconds()))
}

func (r *distantRunner) Hold(ctx context.Context, who WorkerIdentity, _, deadlineMs, _ int64, waitMs int) (HoldResponse, error) {
	if r.unreachable {
		<-ctx.Done()
		return HoldResponse{}, ErrNoResponse
	}
	time.Sleep(r.thereDelay)
	r.deadlineMs = max(r.deadlineMs, deadlineMs)
	time.Sleep(time.Duration(waitMs) * time.Millisecond)
	clockMs := r.clockMs()
	time.Sleep(r.backDelay)
	return HoldResponse{Lifetime: who.Lifetime, ClockMs: clockMs, Active: []ActiveRun{{Task: "j.0.0.0", Run: 1}}}, nil
}

// testWithDistantWorker runs the test in virtual time, with an agent that has taken over the worker. Its runs are held by an owner that
// confirms each report when confirm is called.
func testWithDistantWorker(t *testing.T, r *distantRunner, test func(t *testing.T, a *Agent, confirm func())) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		bootClock := boottime.SetClock(func() time.Duration { return time.Hour + time.Since(start) + r.suspended })
		defer func() { boottime.SetClock(bootClock) }()
		r.startedAt = start
		a := newTestAgent(r)
		a.cfg.Follower.Name = "host-1" // the owner is on another host
		a.resetLifetime()
		conn, owner := newConnPair(t)
		go func() {
			for {
				if _, err := owner.Receive(); err != nil {
					return
				}
			}
		}()
		for range 2 { // the first call chooses the fencing token
			qt.Assert(t, a.renewHold(t.Context()), qt.IsNil)
		}
		test(t, a, func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.sendReport(conn, true)
			a.applyReportAck(a.lastReportSeq)
		})
		owner.Close()
		conn.Close()
	})
}

// slowLinks are the delays of requests and responses between an agent and its worker, from usual ones to those of lost segments.
var slowLinks = []struct {
	name        string
	there, back time.Duration
}{
	{"usual", 0, 0},
	{"late requests", 200 * time.Millisecond, 0},
	{"late responses", 0, 200 * time.Millisecond},
	{"late both ways", 190 * time.Millisecond, 190 * time.Millisecond},
	{"requests just in time", 399 * time.Millisecond, 0},
}

// Guards against a task that runs twice (review/12): the owner allows a worker to hold its runs for a time after a report, and the agent's
// estimate of the worker's clock at the report was ahead by the time that its call took. The runs outlived what the owner waits for.
func TestHoldEndsInTimeOnASlowClockBehindASlowLink(t *testing.T) {
	for _, link := range slowLinks {
		t.Run(link.name, func(t *testing.T) {
			r := &distantRunner{clockRate: 1 - session.WorkerClockDrift, thereDelay: link.there, backDelay: link.back}
			testWithDistantWorker(t, r, func(t *testing.T, a *Agent, confirm func()) {
				for range 20 {
					confirm()
					allowedMs := r.clockMs() + a.cfg.MaxHoldDuration.Milliseconds()
					qt.Check(t, a.grantedUntilMs <= allowedMs, qt.IsTrue, qt.Commentf("%d ms too long", a.grantedUntilMs-allowedMs))
					leastMs := allowedMs - (link.back + holdTimeout*2/100).Milliseconds() - 2
					qt.Check(t, a.grantedUntilMs >= leastMs, qt.IsTrue, qt.Commentf("%d ms shorter than the link explains", leastMs-a.grantedUntilMs))
					qt.Assert(t, a.renewHold(t.Context()), qt.IsNil)
					qt.Check(t, r.deadlineMs <= allowedMs, qt.IsTrue, qt.Commentf("held %d ms too long", r.deadlineMs-allowedMs))
					time.Sleep(70 * time.Millisecond)
				}
			})
		})
	}
}

// Guards against a task that runs twice: the agent reports the runs of a worker that does not respond as ended when their hold must be over,
// and its estimate of the worker's clock was ahead by the time that its last call took. The runs went on.
func TestRunsOfASilentWorkerAreReportedAsEndedAfterTheirHold(t *testing.T) {
	for _, link := range slowLinks {
		t.Run(link.name, func(t *testing.T) {
			r := &distantRunner{clockRate: 1 - session.WorkerClockDrift, thereDelay: link.there, backDelay: link.back}
			testWithDistantWorker(t, r, func(t *testing.T, a *Agent, confirm func()) {
				for range 3 {
					confirm()
					qt.Assert(t, a.renewHold(t.Context()), qt.IsNil)
				}
				r.unreachable = true
				for len(a.runByTask) > 0 && r.clockMs() < 30_000 {
					a.handleHoldError(ErrNoResponse)
					time.Sleep(10 * time.Millisecond)
				}
				lateMs := r.clockMs() - r.deadlineMs
				qt.Check(t, lateMs >= 0, qt.IsTrue, qt.Commentf("reported %d ms before the runs end", -lateMs))
				most := link.back + expiryMarginMs*time.Millisecond + 20*time.Millisecond
				qt.Check(t, lateMs <= most.Milliseconds(), qt.IsTrue, qt.Commentf("reported %d ms after the runs have ended", lateMs))
			})
		})
	}
}

// Guards against a task that runs twice because its host was suspended: the worker's steady clock does not count that time. An agent that
// does would extend the hold by it, and would report runs as ended that go on.
func TestSuspensionOfTheHostDoesNotAdvanceTheWorkersClock(t *testing.T) {
	for _, suspension := range []time.Duration{300 * time.Millisecond, 3 * time.Second, 20 * time.Second} {
		t.Run(suspension.String(), func(t *testing.T) {
			r := &distantRunner{clockRate: 1}
			testWithDistantWorker(t, r, func(t *testing.T, a *Agent, confirm func()) {
				confirm()
				qt.Assert(t, a.renewHold(t.Context()), qt.IsNil)
				r.suspended = suspension
				a.handleHoldError(ErrNoResponse)
				qt.Check(t, a.runByTask, qt.HasLen, 1, qt.Commentf("the runs go on until the worker's clock is at %d ms, which is at %d ms", r.deadlineMs, r.clockMs()))
				confirm()
				allowedMs := r.clockMs() + a.cfg.MaxHoldDuration.Milliseconds()
				qt.Check(t, a.grantedUntilMs <= allowedMs, qt.IsTrue, qt.Commentf("%d ms too long", a.grantedUntilMs-allowedMs))
			})
		})
	}
}

// Guards against a task that runs twice for as long as its worker holds it: the host was suspended with its worker for longer than the owner
// waits before it starts the tasks elsewhere. The worker's clock does not count that time, so its runs are still held.
func TestRunsEndOnceTheHostWasSuspendedForLongerThanTheHold(t *testing.T) {
	for _, c := range []struct {
		suspension time.Duration
		isOver     bool
	}{{3 * time.Second, false}, {7500 * time.Millisecond, false}, {8500 * time.Millisecond, true}, {20 * time.Second, true}} {
		t.Run(c.suspension.String(), func(t *testing.T) {
			r := &distantRunner{clockRate: 1}
			testWithDistantWorker(t, r, func(t *testing.T, a *Agent, confirm func()) {
				confirm()
				r.suspended = c.suspension
				qt.Assert(t, a.renewHold(t.Context()), qt.IsNil)
				qt.Check(t, len(a.stopQueue) == 1, qt.Equals, c.isOver)
				qt.Check(t, a.nextDeadlineMs() <= r.clockMs(), qt.Equals, c.isOver, qt.Commentf("a start that was on its way would begin now"))
				a.runByTask["j.0.0.0"].stopRequested = false
				confirm()
				qt.Check(t, a.nextDeadlineMs() > r.clockMs(), qt.IsTrue, qt.Commentf("the owner allows a new hold"))
			})
		})
	}
}
