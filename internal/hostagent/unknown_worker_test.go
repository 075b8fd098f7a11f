package hostagent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/session"
)

// answeringRunner answers Hold calls with an error.
type answeringRunner struct {
	scriptedRunner
	holdErr error
}

func (r *answeringRunner) Hold(context.Context, WorkerIdentity, int64, int64, int64, int) (HoldResponse, error) {
	return HoldResponse{}, r.holdErr
}

// Guards against tasks that wait for the end of a hold: a restarted agent knows no worker, and the one that its predecessor knew has ended.
// An open port or a missing response proves nothing.
func TestRestartedAgentReportsAClosedPortOfItsWorker(t *testing.T) {
	for _, c := range []struct {
		holdErr error
		isGone  bool
	}{{ErrConnRefused, true}, {ErrNoResponse, false}, {ErrOtherLifetime, false}, {nil, false}} {
		a := newTestAgent(&answeringRunner{holdErr: c.holdErr})
		a.worker, a.activeListed, a.runsListed, a.token, a.clock = nil, false, false, 0, workerClock{} // as after a restart
		for range maxRefusedConns {
			qt.Check(t, a.renewHold(t.Context()), qt.Equals, errNoWorker)
		}
		conn, owner := newConnPair(t)
		a.OwnerConnected(conn)
		report, err := owner.Receive()
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, report.Worker != nil && report.Worker.Gone, qt.Equals, c.isGone, qt.Commentf("%v", c.holdErr))
		qt.Check(t, report.RunsComplete, qt.Equals, c.isGone)
		qt.Check(t, report.Runs, qt.HasLen, 0)
		qt.Check(t, a.sentReports, qt.HasLen, 0, qt.Commentf("an acknowledgement of the report would extend a hold"))
		a.Register(session.Worker{ID: "i-1", Lifetime: 8})
		qt.Check(t, a.worker.Gone, qt.IsFalse)
	}
}

// Guards against a worker that counts as ended although it answers now and then.
func TestRefusedConnectionsOfAnUnknownWorkerAreCountedInSuccession(t *testing.T) {
	runner := &answeringRunner{}
	a := newTestAgent(runner)
	a.worker = nil
	for i := range 4 * maxRefusedConns {
		runner.holdErr = ErrConnRefused
		if i%maxRefusedConns == 0 {
			runner.holdErr = ErrOtherLifetime
		}
		qt.Check(t, a.renewHold(t.Context()), qt.Equals, errNoWorker)
		qt.Check(t, a.worker, qt.IsNil)
	}
}

// Guards against a worker that has left and is used again after a restart of its agent, because a delayed registration arrives before or
// after the new process knows what its predecessor has announced.
func TestRestartedAgentIgnoresRegistrationsOfAnAnnouncedDeparture(t *testing.T) {
	a := newTestAgent(nil) // registers lifetime 7
	a.RestoreDeparture(0)
	qt.Check(t, a.worker.Gone, qt.IsFalse)
	a.RestoreDeparture(7)
	qt.Check(t, a.worker.Gone, qt.IsTrue)
	a.Register(session.Worker{ID: "i-1", Lifetime: 7})
	qt.Check(t, a.worker.Gone, qt.IsTrue)
	a.worker = nil
	a.Register(session.Worker{ID: "i-1", Lifetime: 7})
	qt.Check(t, a.worker, qt.IsNil)
	a.Register(session.Worker{ID: "i-1", Lifetime: 8})
	qt.Check(t, a.worker.Gone, qt.IsFalse)
}

// holdRecorder answers probes and sends the times of the other Hold calls.
type holdRecorder struct {
	scriptedRunner
	calledAt chan time.Time
}

func (r *holdRecorder) Hold(_ context.Context, id WorkerIdentity, _, _, _ int64, _ int) (HoldResponse, error) {
	if id.ID != "" {
		r.calledAt <- time.Now()
		return HoldResponse{}, ErrNoResponse
	}
	return HoldResponse{}, ErrOtherLifetime
}

// Guards against a worker that gets no tasks for longer than necessary after its agent was started: the agent was waiting for the time of
// the next probe when the worker registered.
func TestRegisteredWorkerIsCalledWithoutWaitingForTheNextProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runner := &holdRecorder{calledAt: make(chan time.Time, 100)}
		a := newTestAgent(runner)
		a.worker = nil // as after a restart
		<-a.registered
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			a.renewHolds(ctx)
		}()
		time.Sleep(10 * time.Millisecond)
		registeredAt := time.Now()
		a.Register(session.Worker{ID: "i-1", Lifetime: 8})
		took := (<-runner.calledAt).Sub(registeredAt)
		qt.Check(t, took <= unreachableRetryDelay, qt.IsTrue, qt.Commentf("first call after %s", took))
		cancel()
		<-done
	})
}
