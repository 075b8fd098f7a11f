package hostagent

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/domains"
	"bamboofork/internal/session"
)

// newAgentInDomain returns an agent whose worker is in the failure domain "z0", and the state of the domains that the agent knows.
func newAgentInDomain(r Runner) (*Agent, *domains.Current) {
	a, known := newTestAgent(r), &domains.Current{}
	a.cfg.Domains = known
	a.worker.Zone = "z0"
	return a, known
}

// callbackRunner calls onStart before each start.
type callbackRunner struct {
	scriptedRunner
	onStart func()
}

func (r *callbackRunner) Start(ctx context.Context, id WorkerIdentity, token int64, s *session.Start, deadlineMs int64) (StartResult, int64, error) {
	r.onStart()
	return r.scriptedRunner.Start(ctx, id, token, s, deadlineMs)
}

// Guards against starts on a worker whose failure domain is out of service: those that an owner with an older view sends, and those that
// were queued before.
func TestNothingStartsInADomainOutOfService(t *testing.T) {
	r := &scriptedRunner{script: []StartResult{Accepted}}
	a, known := newAgentInDomain(r)
	a.mu.Lock()
	a.queueStart(&session.Start{Task: "queued.0.0.0", Run: 1, Lifetime: 7, CPU: 1000})
	known.SetIfNewer(domains.State{Revision: 5, OutOfService: []string{"z0", "z9"}})
	a.queueStart(&session.Start{Task: "late.0.0.0", Run: 1, Lifetime: 7, CPU: 1000})
	a.mu.Unlock()
	a.executeStart(t.Context(), <-a.startQueue)
	qt.Check(t, r.calls(), qt.HasLen, 0)
	a.mu.Lock()
	defer a.mu.Unlock()
	qt.Check(t, a.runByTask, qt.HasLen, 0)
	qt.Check(t, a.unreportedRefusals, qt.DeepEquals, []session.Refusal{
		{Task: "late.0.0.0", Run: 1, Reason: reasonOutOfService}, {Task: "queued.0.0.0", Run: 1, Reason: reasonOutOfService}})
	known.SetIfNewer(domains.State{Revision: 6, OutOfService: []string{"z9"}})
	a.queueStart(&session.Start{Task: "later.0.0.0", Run: 1, Lifetime: 7, CPU: 1000})
	qt.Check(t, a.runByTask, qt.HasLen, 1, qt.Commentf("the domain is back in service"))
}

// Guards against repeating a start that was not answered when the failure domain went out of service, and against dropping it: the worker
// may carry it out seconds later. A stop makes the worker reject it.
func TestUnansweredStartIsWithdrawnWhenItsDomainCloses(t *testing.T) {
	r := &callbackRunner{scriptedRunner: scriptedRunner{script: []StartResult{noResponse, Accepted}}}
	a, known := newAgentInDomain(r)
	r.onStart = func() { known.SetIfNewer(domains.State{Revision: 5, OutOfService: []string{"z0"}}) }
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a.mu.Lock()
	a.queueStart(&session.Start{Task: "j.0.0.0", Run: 1, Lifetime: 7, CPU: 1000})
	a.mu.Unlock()
	a.executeStart(ctx, <-a.startQueue)
	a.executeStop(ctx, <-a.stopQueue)
	qt.Check(t, r.calls(), qt.DeepEquals, []string{"start", "stop"})
	a.mu.Lock()
	defer a.mu.Unlock()
	qt.Assert(t, a.runByTask["j.0.0.0"], qt.IsNotNil, qt.Commentf("it keeps its resources until a list shows that it is not there"))
	a.reconcileRuns(&HoldResponse{Lifetime: 7}, a.runByTask["j.0.0.0"].recheckAfter+1)
	qt.Check(t, a.runByTask, qt.HasLen, 0)
	qt.Check(t, a.unreportedRefusals, qt.HasLen, 1)
}

// Guards against stopping a run that has begun, because the answer to its start was lost and its failure domain went out of service.
func TestRunThatTheWorkerListsGoesOnInAClosedDomain(t *testing.T) {
	r := &callbackRunner{scriptedRunner: scriptedRunner{script: []StartResult{noResponse}}}
	a, known := newAgentInDomain(r)
	r.onStart = func() {
		known.SetIfNewer(domains.State{Revision: 5, OutOfService: []string{"z0"}})
		a.mu.Lock()
		defer a.mu.Unlock()
		a.reconcileRuns(&HoldResponse{Lifetime: 7, Active: []ActiveRun{{Task: "j.0.0.0", Run: 1}}}, a.listedAt+1)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a.mu.Lock()
	a.queueStart(&session.Start{Task: "j.0.0.0", Run: 1, Lifetime: 7, CPU: 1000})
	a.mu.Unlock()
	a.executeStart(ctx, <-a.startQueue)
	qt.Check(t, r.calls(), qt.DeepEquals, []string{"start"})
	a.mu.Lock()
	defer a.mu.Unlock()
	qt.Check(t, a.runByTask["j.0.0.0"].stopRequested, qt.IsFalse)
	qt.Check(t, a.unreportedRefusals, qt.HasLen, 0)
}
