package hostagent

import (
	"bamboofork/internal/boottime"
	"bamboofork/internal/session"
)

// keepSuspicion stores what the owner remembers about the worker, for the next owner.
func (a *Agent) keepSuspicion(s *session.Suspicion) {
	a.suspicion, a.suspicionAt = s, boottime.Now()
	if *s == (session.Suspicion{}) {
		a.suspicion = nil
	}
}

// suspicionForOwner returns what previous owners remembered about the worker, as of now, or nil.
func (a *Agent) suspicionForOwner() *session.Suspicion {
	if a.suspicion == nil {
		return nil
	}
	s := *a.suspicion
	s.NoStartForMs -= (boottime.Now() - a.suspicionAt).Milliseconds()
	return &s
}
