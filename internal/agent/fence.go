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
	requestRunning                     // the backend server may have received the request
	requestEnded
	requestFenced // the request has not run and will never run
)

// requestRecord is the agent's record of one dispatched request.
type requestRecord struct {
	state     requestState
	sendCount int // number of times sent to the backend server; at most 1
	result    wire.Result
}

// maxResultBytes is the maximum total size of the response bodies in a fence table.
const maxResultBytes = 16 << 20

// fenceTable records dispatched requests that must run at most once. Records are kept in two generations, and so for one to two
// times wire.RequestRetention. The record of an unfinished request is kept until the request ends. The request rate and the
// retention therefore bound the size of the table. mu guards the fields below it.
type fenceTable struct {
	clock func() time.Duration

	mu                 sync.Mutex
	currentGeneration  map[string]*requestRecord
	previousGeneration map[string]*requestRecord
	rotatedAt          time.Duration
	completeSince      time.Duration // the table has a record of every request that arrived after this time
	resultBytes        int           // total size of the response bodies
}

func newFenceTable(clock func() time.Duration) *fenceTable {
	return &fenceTable{clock: clock, currentGeneration: map[string]*requestRecord{}}
}

// recordArrival records a dispatched request that may start until the given time on the agent's clock. errFenced and errLate
// prove that the request does not run. errDuplicate means that an earlier arrival of the request may run.
func (t *fenceTable) recordArrival(id string, validUntil time.Duration) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if record := t.lookupRecord(id); record != nil {
		if record.state == requestFenced {
			return errFenced
		}
		return errDuplicate
	}
	if t.clock() > validUntil {
		return errLate
	}
	t.currentGeneration[id] = &requestRecord{state: requestArrived}
	return nil
}

// markRunning marks the request as running. It must be called immediately before the request is sent to the backend server. It
// returns errFenced if the request must not run.
func (t *fenceTable) markRunning(id string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	record := t.lookupRecord(id)
	if record == nil || record.state != requestArrived {
		return errFenced
	}
	record.state = requestRunning
	record.sendCount++
	invariant.Check(record.sendCount == 1, "one_dispatch_per_claim", "request %s is sent to the backend server %d times", id, record.sendCount)
	return nil
}

// fence marks a request that was refused or could not be sent, so that the request never runs.
func (t *fenceTable) fence(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if record := t.lookupRecord(id); record != nil && record.state != requestEnded {
		record.state = requestFenced
	}
}

// recordResult records the result of a running request. It drops the response body if the table would exceed maxResultBytes.
func (t *fenceTable) recordResult(id string, result wire.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	record := t.lookupRecord(id)
	invariant.Check(record != nil && record.state == requestRunning, "request_ends_once", "request %s ended without running", id)
	if t.resultBytes+len(result.Body) > maxResultBytes {
		result.Body, result.Truncated = nil, true
	}
	t.resultBytes += len(result.Body)
	record.state, record.result = requestEnded, result
}

// resolve returns the state of a dispatched request that was valid until the given time, with the result if the request has
// ended. A request that has not started is fenced. Without a record the verdict is unknown, unless the table covers the whole
// wire.DispatchWindow in which the request could have arrived.
func (t *fenceTable) resolve(id string, validUntil time.Duration) (wire.Verdict, wire.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	record := t.lookupRecord(id)
	if record == nil && validUntil-wire.DispatchWindow < t.completeSince {
		return wire.VerdictUnknown, wire.Result{}
	}
	if record == nil {
		record = &requestRecord{}
		t.currentGeneration[id] = record
	}
	switch record.state {
	case requestRunning:
		return wire.VerdictRunning, wire.Result{}
	case requestEnded:
		return wire.VerdictEnded, record.result
	}
	record.state = requestFenced
	return wire.VerdictNotStarted, wire.Result{}
}

func (t *fenceTable) lookupRecord(id string) *requestRecord {
	if t.clock()-t.rotatedAt > wire.RequestRetention {
		t.rotateGenerations()
	}
	if record := t.currentGeneration[id]; record != nil {
		return record
	}
	return t.previousGeneration[id]
}

// rotateGenerations drops the records of the previous generation, except those of unfinished requests, and starts a new generation.
func (t *fenceTable) rotateGenerations() {
	dropped := t.previousGeneration
	t.previousGeneration, t.currentGeneration = t.currentGeneration, map[string]*requestRecord{}
	t.completeSince, t.rotatedAt = t.rotatedAt, t.clock()
	for id, record := range dropped {
		if record.state == requestArrived || record.state == requestRunning {
			t.currentGeneration[id] = record
			continue
		}
		t.resultBytes -= len(record.result.Body)
	}
}
