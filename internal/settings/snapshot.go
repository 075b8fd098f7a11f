package settings

import (
	"sync"
	"sync/atomic"

	"bamboofork/internal/invariant"
)

// Snapshot is the compiled tree of one revision. It is immutable; effective values are computed once per revision.
type Snapshot struct {
	Revision  int64
	Tree      Tree
	effective map[string]*Effective
}

// Compile validates the tree and computes every branch's effective values.
func Compile(revision int64, tree Tree) (*Snapshot, error) {
	if err := tree.Validate(); err != nil {
		return nil, err
	}
	s := &Snapshot{Revision: revision, Tree: tree, effective: make(map[string]*Effective, len(tree.Branches))}
	for path := range tree.Branches {
		e, err := tree.Effective(path)
		if err != nil {
			return nil, err
		}
		s.effective[path] = &e
	}
	return s, nil
}

// Branch returns the effective settings of a branch; ok is false if it does not exist.
func (s *Snapshot) Branch(path string) (*Effective, bool) {
	e, ok := s.effective[path]
	return e, ok
}

// Live holds the snapshot in force in one process. Reads are lock-free; mu orders Apply calls and guards subs.
type Live struct {
	current atomic.Pointer[Snapshot]
	mu      sync.Mutex
	subs    []chan<- struct{}
}

// NewLive returns a holder with the default tree at revision 0.
func NewLive() *Live {
	l := &Live{}
	s, err := Compile(0, NewTree())
	invariant.Check(err == nil, "settings_defaults_valid", "%v", err)
	l.current.Store(s)
	return l
}

// Current returns the snapshot in force.
func (l *Live) Current() *Snapshot { return l.current.Load() }

// Apply puts the snapshot in force if its revision is higher; older ones are ignored. It reports whether it applied.
func (l *Live) Apply(s *Snapshot) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.current.Load()
	if s.Revision <= old.Revision {
		return false
	}
	l.current.Store(s)
	invariant.Check(l.current.Load().Revision > old.Revision, "settings_revision_monotonic",
		"revision %d after %d", l.current.Load().Revision, old.Revision)
	for _, sub := range l.subs {
		select {
		case sub <- struct{}{}:
		default:
		}
	}
	return true
}

// Subscribe returns a channel that receives a value after changes; several changes may be merged into one.
func (l *Live) Subscribe() <-chan struct{} {
	ch := make(chan struct{}, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.subs = append(l.subs, ch)
	return ch
}
