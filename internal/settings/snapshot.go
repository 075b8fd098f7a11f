package settings

import (
	"sync"
	"sync/atomic"

	"bamboofork/internal/invariant"
)

// Snapshot is the compiled tree of one revision. A Snapshot is immutable. Its effective values are computed once, by Compile.
type Snapshot struct {
	Revision  int64
	Tree      Tree
	effective map[string]*Effective // effective values by branch path
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

// Branch returns the effective settings of a branch and whether the branch exists. The settings must not be changed.
func (s *Snapshot) Branch(path string) (*Effective, bool) {
	e, ok := s.effective[path]
	return e, ok
}

// ActiveSnapshot holds the current snapshot of a process. Current is lock-free. mu serializes Apply calls and guards subscribers.
type ActiveSnapshot struct {
	current     atomic.Pointer[Snapshot]
	mu          sync.Mutex
	subscribers []chan<- struct{}
}

// NewActiveSnapshot returns an ActiveSnapshot with the default tree at revision 0.
func NewActiveSnapshot() *ActiveSnapshot {
	l := &ActiveSnapshot{}
	s, err := Compile(0, NewTree())
	invariant.Check(err == nil, "settings_defaults_valid", "%v", err)
	l.current.Store(s)
	return l
}

// Current returns the current snapshot.
func (l *ActiveSnapshot) Current() *Snapshot { return l.current.Load() }

// Apply makes s the current snapshot and notifies the subscribers if the revision of s is higher than the current revision.
// It reports whether s became the current snapshot.
func (l *ActiveSnapshot) Apply(s *Snapshot) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.current.Load()
	if s.Revision <= old.Revision {
		return false
	}
	l.current.Store(s)
	invariant.Check(l.current.Load().Revision > old.Revision, "settings_revision_monotonic",
		"revision %d after %d", l.current.Load().Revision, old.Revision)
	for _, sub := range l.subscribers {
		select {
		case sub <- struct{}{}:
		default:
		}
	}
	return true
}

// Subscribe returns a channel that receives a value after the current snapshot changes. One value may stand for several
// successive changes.
func (l *ActiveSnapshot) Subscribe() <-chan struct{} {
	ch := make(chan struct{}, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.subscribers = append(l.subscribers, ch)
	return ch
}
