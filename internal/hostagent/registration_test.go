package hostagent

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/session"
)

// lifetimeRunner is a worker in a lifetime. It responds to calls for other lifetimes as the worker of the platform does.
type lifetimeRunner struct {
	scriptedRunner
	lifetime int64
}

func (r *lifetimeRunner) Hold(_ context.Context, id WorkerIdentity, _, _, _ int64, _ int) (HoldResponse, error) {
	if id.Lifetime != r.lifetime {
		return HoldResponse{}, &OtherLifetimeError{Lifetime: r.lifetime}
	}
	return HoldResponse{Lifetime: r.lifetime, ClockMs: 2000, Active: []ActiveRun{{Task: "j.0.0.0", Run: 1}}}, nil
}

// holdOnce makes one round of renewHolds.
func holdOnce(t *testing.T, a *Agent) {
	if err := a.renewHold(t.Context()); err != nil {
		a.handleHoldError(err)
	}
}

func registration(lifetime int64) session.Worker {
	return session.Worker{ID: "i-1", Lifetime: lifetime, Service: "s", CPU: 16_000, MemMB: 1000}
}

// Guards against runs that are taken for ended because a registration of another writer names a newer lifetime of the worker.
func TestRegistrationThatTheWorkerRefutesEndsNoRuns(t *testing.T) {
	a := newTestAgent(&lifetimeRunner{lifetime: 7})
	holdOnce(t, a)
	a.Register(registration(9))
	qt.Check(t, a.lifetimeInDoubt(), qt.IsTrue, qt.Commentf("nothing is started or acknowledged before the worker has answered"))
	conn, owner := newConnPair(t)
	a.OwnerConnected(conn)
	holdOnce(t, a)
	a.mu.Lock()
	qt.Check(t, a.lifetimeInDoubt(), qt.IsFalse)
	qt.Check(t, a.worker.Lifetime, qt.Equals, int64(7))
	qt.Check(t, a.runByTask["j.0.0.0"], qt.IsNotNil)
	qt.Check(t, a.registration.pending, qt.IsNil)
	a.sendReport(conn, true)
	a.mu.Unlock()
	for range 2 {
		report, err := owner.Receive()
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, report.Worker == nil || report.Worker.Lifetime == 7, qt.IsTrue)
		qt.Check(t, report.Runs, qt.HasLen, 1)
	}
}

// Guards against a worker that is not used any more because the first registration that its agent receives names a lifetime in the future.
func TestWorkerIsUsedAfterAWrongFirstRegistration(t *testing.T) {
	a := New(newTestAgent(&lifetimeRunner{lifetime: 7}).cfg)
	a.Register(registration(9))
	holdOnce(t, a)
	conn, owner := newConnPair(t)
	a.OwnerConnected(conn)
	report, err := owner.Receive()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, report.Worker, qt.IsNil)
	a.Register(registration(7))
	for range 3 { // token, clock, lists
		holdOnce(t, a)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	qt.Check(t, a.worker.Lifetime, qt.Equals, int64(7))
	qt.Check(t, a.runsListed, qt.IsTrue)
}

// Checks that a worker that has restarted is used in its new lifetime, whether its registration arrives before the agent notices or after.
func TestRestartedWorkerIsAdopted(t *testing.T) {
	for _, registersFirst := range []bool{true, false} {
		runner := &lifetimeRunner{lifetime: 7}
		a := newTestAgent(runner)
		holdOnce(t, a)
		runner.lifetime = 8
		if registersFirst {
			a.Register(registration(8))
			holdOnce(t, a)
		} else {
			holdOnce(t, a)
			a.Register(registration(8))
		}
		qt.Check(t, a.worker.Lifetime, qt.Equals, int64(8))
		qt.Check(t, a.runsListed, qt.IsFalse)
		a.Register(registration(7)) // delayed
		qt.Check(t, a.worker.Lifetime, qt.Equals, int64(8))
	}
}

// Guards against a worker whose description changes back and forth with the registrations of another writer.
func TestDescriptionChangesOnlyIfTwoRegistrationsAgree(t *testing.T) {
	a := newTestAgent(nil)
	other := registration(7)
	other.Service, other.CPU = "other", 1
	for range 5 {
		a.Register(other)
		qt.Check(t, a.worker.Service, qt.Equals, "s")
		a.Register(registration(7))
	}
	draining := other
	draining.Draining = true
	a.Register(draining)
	qt.Check(t, a.worker.Draining, qt.IsTrue)
	a.Register(draining)
	qt.Check(t, a.worker.Service, qt.Equals, "other")
}
