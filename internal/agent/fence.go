package agent

import (
	"errors"
	"sync"
	"time"

	"bamboofork/internal/invariant"
	"bamboofork/internal/wire"
)

var (
	errFenced    = errors.New("request was fenced")
	errDuplicate = errors.New("request had arrived before")
	errLate      = errors.New("request arrived after its dispatch window")
)

// requestState is the state of a dispatched request at this agent.
type requestState int

const (
	requestArrived requestState = iota // waiting for admission
	requestRunning                     // may have reached the backend server
	requestEnded
	requestFenced // has not run and never will
)

// requestRecord is the agent's record of one dispatch.
type requestRecord struct {
	state  requestState
	sends  int // number of times sent to the backend server; at most 1
	result wire.Result
}

// maxResultBytes bounds the total size of the response bodies in a fence table.
const maxResultBytes = 16 << 20

// fenceTable records dispatched requests that must run at most once. mu guards the fields below it. Records are kept
// for one to two times wire.RequestRetention, and for unfinished requests until they end, so that the size is bounded by
// the request rate times this span.
type fenceTable struct {
	clock func() time.Duration

	mu            sync.Mutex
	current       map[string]*requestRecord
	previous      map[string]*requestRecord
	rotatedAt     time.Duration
	completeSince time.Duration // all requests that arrived after this time have a record
	resultBytes   int           // total size of the response bodies
}

func newFenceTable(clock func() time.Duration) *fenceTable {
	return &fenceTable{clock: clock, current: map[string]*requestRecord{}}
}

// recordArrival records a dispatch that is valid until the given time. errFenced, and errLate for a first arrival, prove
// that the request does not run; errDuplicate means that an earlier arrival may run.
func (t *fenceTable) recordArrival(id string, until time.Duration) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.lookup(id); r != nil {
		if r.state == requestFenced {
			return errFenced
		}
		return errDuplicate
	}
	if t.clock() > until {
		return errLate
	}
	t.current[id] = &requestRecord{state: requestArrived}
	return nil
}

// markRunning marks the request as running, immediately before it is sent to the backend server.
func (t *fenceTable) markRunning(id string) error {
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

// fence marks a request that was refused or could not be sent, so that it never runs.
func (t *fenceTable) fence(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.lookup(id); r != nil && r.state != requestEnded {
		r.state = requestFenced
	}
}

// recordResult records the result of a running request. Its body is dropped if the table would exceed maxResultBytes.
func (t *fenceTable) recordResult(id string, result wire.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.lookup(id)
	invariant.Check(r != nil && r.state == requestRunning, "request_ends_once", "request %s ended without running", id)
	if t.resultBytes+len(result.Body) > maxResultBytes {
		result.Body, result.Truncated = nil, true
	}
	t.resultBytes += len(result.Body)
	r.state, r.result = requestEnded, result
}

// resolve reports how a dispatch that was valid until the given time ended, and fences it if it has not started. Without
// a record the verdict is unknown, unless the table covers the whole window in which the dispatch could have arrived.
func (t *fenceTable) resolve(id string, until time.Duration) (wire.Verdict, wire.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.lookup(id)
	if r == nil && until-wire.DispatchWindow < t.completeSince {
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
	return wire.VerdictNotStarted, wire.Result{}
}

func (t *fenceTable) lookup(id string) *requestRecord {
	if t.clock()-t.rotatedAt > wire.RequestRetention {
		t.rotate()
	}
	if r := t.current[id]; r != nil {
		return r
	}
	return t.previous[id]
}

// rotate drops the older generation, except for requests that have not ended.
func (t *fenceTable) rotate() {
	dropped := t.previous
	t.previous, t.current = t.current, map[string]*requestRecord{}
	t.completeSince, t.rotatedAt = t.rotatedAt, t.clock()
	for id, r := range dropped {
		if r.state == requestArrived || r.state == requestRunning {
			t.current[id] = r
			continue
		}
		t.resultBytes -= len(r.result.Body)
	}
}
