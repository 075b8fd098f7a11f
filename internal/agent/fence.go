package agent

import (
	"errors"
	"sync"
	"time"

	"bamboofork/internal/invariant"
	"bamboofork/internal/wire"
)

var (
	errFenced   = errors.New("request was fenced")
	errRepeated = errors.New("request had arrived before")
	errLate     = errors.New("request arrived after its dispatch window")
)

// requestState is where a dispatched request is in its life at this agent.
type requestState int

const (
	requestArrived requestState = iota // waits for admission
	requestRunning                     // may have reached the backend server
	requestEnded
	requestFenced // proven not to have run; it never will
)

// requestRecord is what the agent remembers about one dispatch.
type requestRecord struct {
	state  requestState
	sends  int // to the backend server; at most 1
	result wire.Result
}

// keptResultBytes bounds the response bodies that a fence table holds.
const keptResultBytes = 16 << 20

// fenceTable remembers dispatched requests that must run at most once. mu guards the fields below it. Records live
// between one and two times wire.RequestMemory, running ones until they end; the size is bounded by the request rate
// times this span.
type fenceTable struct {
	clock func() time.Duration

	mu      sync.Mutex
	current map[string]*requestRecord
	old     map[string]*requestRecord
	rotated time.Duration
	since   time.Duration // everything that arrived after this time is remembered
	kept    int           // bytes of response bodies
}

func newFenceTable(clock func() time.Duration) *fenceTable {
	return &fenceTable{clock: clock, current: map[string]*requestRecord{}}
}

// arrive records a dispatch that is valid until the time. errFenced, and errLate for a first arrival, prove that the
// request does not run; errRepeated means that an earlier arrival may run.
func (t *fenceTable) arrive(id string, until time.Duration) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.lookup(id); r != nil {
		if r.state == requestFenced {
			return errFenced
		}
		return errRepeated
	}
	if t.clock() > until {
		return errLate
	}
	t.current[id] = &requestRecord{state: requestArrived}
	return nil
}

// start marks the request as running, directly before it is sent to the backend server.
func (t *fenceTable) start(id string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.lookup(id)
	if r == nil || r.state != requestArrived {
		return errFenced
	}
	r.state = requestRunning
	r.sends++
	invariant.Check(r.sends == 1, "one_dispatch_per_claim", "request %s is sent to the backend server %d times", id, r.sends)
	return nil
}

// refuse fences a request that does not run.
func (t *fenceTable) refuse(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.lookup(id); r != nil && r.state != requestEnded {
		r.state = requestFenced
	}
}

// end records the result of a running request. Bodies beyond the table's bound are not kept.
func (t *fenceTable) end(id string, result wire.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.lookup(id)
	invariant.Check(r != nil && r.state == requestRunning, "request_ends_once", "request %s ended without running", id)
	if t.kept+len(result.Body) > keptResultBytes {
		result.Body, result.Truncated = nil, true
	}
	t.kept += len(result.Body)
	r.state, r.result = requestEnded, result
}

// settle reports how a dispatch that was valid until the time ended, and fences it if it has not started. Without a
// record it proves anything only if the table still remembers the whole window in which the dispatch could arrive.
func (t *fenceTable) settle(id string, until time.Duration) (wire.Verdict, wire.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.lookup(id)
	if r == nil && until-wire.DispatchWindow < t.since {
		return wire.VerdictUnknown, wire.Result{}
	}
	if r == nil {
		r = &requestRecord{}
		t.current[id] = r
	}
	switch r.state {
	case requestRunning:
		return wire.VerdictRunning, wire.Result{}
	case requestEnded:
		return wire.VerdictEnded, r.result
	}
	r.state = requestFenced
	return wire.VerdictNever, wire.Result{}
}

func (t *fenceTable) lookup(id string) *requestRecord {
	if t.clock()-t.rotated > wire.RequestMemory {
		t.rotate()
	}
	if r := t.current[id]; r != nil {
		return r
	}
	return t.old[id]
}

// rotate drops the older half, except for requests that have not ended.
func (t *fenceTable) rotate() {
	dropped := t.old
	t.old, t.current = t.current, map[string]*requestRecord{}
	t.since, t.rotated = t.rotated, t.clock()
	for id, r := range dropped {
		if r.state == requestArrived || r.state == requestRunning {
			t.current[id] = r
			continue
		}
		t.kept -= len(r.result.Body)
	}
}
