package hostagent

import (
	"errors"
	"slices"
	"time"

	"bamboofork/internal/boottime"
	"bamboofork/internal/events"
	"bamboofork/internal/session"
)

// A registration may be delayed or come from another writer. What it says about the lifetime counts once the worker has confirmed it in a
// response, because a newer lifetime ends all runs of the earlier ones for the owner.

// registrationCheck holds what is known about registrations that are not in force.
type registrationCheck struct {
	pending   *session.Worker // registration of a newer lifetime while the current one responds; nil: none
	pendingAt time.Duration   // boot time at which pending arrived
	// answered is the lifetime in which the worker has responded last to a call for another one; 0: none.
	answered int64
	changed  *session.Worker // registration of the current lifetime with another description; in force if the next one agrees
	// rejectedLogged is true once a registration that cannot be used was logged.
	rejectedLogged bool
}

// Register handles the registration of the worker. It ignores a registration from an earlier lifetime, because a delayed
// registration may arrive after the worker has restarted.
func (a *Agent) Register(worker session.Worker) {
	a.mu.Lock()
	defer a.mu.Unlock()
	current := a.worker
	switch {
	case worker.Lifetime <= a.departedLifetime:
	case current == nil || worker.Lifetime == a.registration.answered && worker.Lifetime != current.Lifetime:
		a.adoptWorker(worker)
	case worker.Lifetime < current.Lifetime:
	case worker.Lifetime == current.Lifetime:
		if !current.Gone || a.refusedConns > 0 {
			a.updateWorker(worker)
		}
	case current.Gone || a.workerUnreachable || a.clock.readMs == 0:
		a.adoptWorker(worker)
	default:
		a.registration.pending, a.registration.pendingAt = &worker, boottime.Now()
	}
}

// RejectRegistration counts a registration that cannot be used, and logs the first one. The earlier registrations hold.
func (a *Agent) RejectRegistration(cause error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cfg.Metrics.Counter("agent_registrations_rejected").Inc(1)
	if !a.registration.rejectedLogged {
		a.registration.rejectedLogged = true
		events.RegistrationRejected.Log(&a.cfg.Log).AnErr("cause", cause).Send()
	}
}

// adoptWorker begins a lifetime of the worker.
func (a *Agent) adoptWorker(worker session.Worker) {
	a.registration.pending, a.registration.answered, a.registration.changed = nil, 0, nil
	a.worker = &worker
	a.resetLifetime()
	select {
	case a.registered <- struct{}{}:
	default:
	}
	a.signalReport()
}

// updateWorker applies a registration of the current lifetime. Another description than before is in force only if two registrations agree
// on it: one of another writer must not replace that of the worker.
func (a *Agent) updateWorker(worker session.Worker) {
	current, changed := a.worker, a.registration.changed
	next := worker
	switch {
	case sameDescription(current, &worker):
		a.registration.changed = nil
	case changed == nil || !sameDescription(changed, &worker):
		a.registration.changed = &worker
		next = *current
		next.Gone, next.Draining, next.RemainingMs = worker.Gone, worker.Draining, worker.RemainingMs
	}
	next.Draining = next.Draining || current.Draining // a draining worker stays draining until it restarts
	a.worker = &next
	if current.Draining != next.Draining {
		a.signalReport()
	}
}

// lifetimeInDoubt reports whether the worker may be in another lifetime than the agent knows: it does not respond, has not responded since
// this process was paused, or a registration that it has not refuted yet says so. It may have restarted under the same ID, and would then
// execute calls that are meant for the earlier lifetime.
func (a *Agent) lifetimeInDoubt() bool {
	return a.workerUnreachable || a.registration.pending != nil || boottime.Now()-a.clock.sentAt > maxAckAge
}

// sameDescription reports whether the registrations agree on what does not change in a lifetime.
func sameDescription(a, b *session.Worker) bool {
	return a.ID == b.ID && a.Service == b.Service && a.Zone == b.Zone && a.CPU == b.CPU && a.MemMB == b.MemMB && a.GPU == b.GPU &&
		slices.Equal(a.Labels, b.Labels)
}

// checkPendingLifetime decides on the pending registration after the worker has responded to a call for the current lifetime that was sent
// at sentAt. answered is the lifetime in the response; 0: the response does not tell.
func (a *Agent) checkPendingLifetime(answered int64, sentAt time.Duration) {
	pending := a.registration.pending
	switch {
	case pending == nil || sentAt < a.registration.pendingAt:
	case answered == 0:
		a.adoptWorker(*pending)
	default:
		a.registration.pending = nil
		a.cfg.Metrics.Counter("agent_registrations_refuted").Inc(1)
	}
}

// noteUnanswered decides on the pending registration after a call for the current lifetime has failed.
func (a *Agent) noteUnanswered(err error) {
	var other *OtherLifetimeError
	if errors.As(err, &other) {
		a.registration.answered = other.Lifetime
		if pending := a.registration.pending; pending != nil && pending.Lifetime != other.Lifetime {
			a.registration.pending = nil
		}
	}
	if pending := a.registration.pending; pending != nil {
		a.adoptWorker(*pending)
	}
}
