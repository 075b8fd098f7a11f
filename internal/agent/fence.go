package agent

import (
	"errors"
	"sync"
	"time"
)

// fenceAge is how long request identifiers are remembered; it exceeds the longest request deadline in use
// between a dispatch and a question about it.
const fenceAge = 2 * time.Minute

var (
	errFenced  = errors.New("request was fenced")
	errStarted = errors.New("request had started before")
)

// fenceTable remembers which forwarded requests started and which were fenced. mu guards the maps.
// Its size is bounded by the request rate times fenceAge; old halves are dropped by rotation.
type fenceTable struct {
	mu      sync.Mutex
	current map[string]bool // id -> started
	old     map[string]bool
	rotated time.Time
}

func newFenceTable() *fenceTable {
	return &fenceTable{current: map[string]bool{}, old: map[string]bool{}, rotated: time.Now()}
}

// start records that the request starts. It returns errFenced if it was fenced, and errStarted if it had started
// before (the transport delivered it twice), in which case the outcome of the first delivery is unknown here.
func (t *fenceTable) start(id string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	started, seen := t.lookup(id)
	switch {
	case started:
		return errStarted
	case seen:
		return errFenced
	}
	t.current[id] = true
	return nil
}

// fence reports whether the request had started; if not, it never will.
func (t *fenceTable) fence(id string) (started bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	started, seen := t.lookup(id)
	if !seen {
		t.current[id] = false
	}
	return started
}

func (t *fenceTable) lookup(id string) (started, seen bool) {
	if time.Since(t.rotated) > fenceAge {
		t.old, t.current, t.rotated = t.current, map[string]bool{}, time.Now()
	}
	if started, seen = t.current[id]; seen {
		return started, true
	}
	started, seen = t.old[id]
	return started, seen
}
