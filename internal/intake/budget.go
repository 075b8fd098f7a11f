// Package intake decides what a process takes in from clients that nobody controls: how many bytes of unfinished requests, how many
// connections, and who goes first when there is too much. It does no I/O and reads no clock; docs/design/caller-limits.md has the reasons.
package intake

import (
	"sync"
	"time"
)

// FreeBytes is the part of each body that does not count against a budget. It is part of what a connection costs, so that a small body
// always finds room.
const FreeBytes = 4 << 10

const (
	// evictionShare is the inverse of the share of the budget that is freed at a time, so that a full budget is not searched for each read.
	evictionShare = 16
	// addressShare is the inverse of the share of the budget from which only the bodies of one client address are considered.
	addressShare = 2
	// minIdle is added to the time without progress, so that the size decides between bodies that all arrive.
	minIdle = 100 * time.Millisecond
	// slowStart is the time for which no minimum rate applies to a body.
	slowStart = 10 * time.Second
)

// Cause is why a body was ended.
type Cause string

// Causes of the end of a body.
const (
	NotEnded Cause = ""
	NoRoom   Cause = "no room for more bytes of unfinished requests"
	Stalled  Cause = "the body does not arrive"
)

// Budget limits the bytes that the unfinished requests of all clients hold together, and the time for which a body arrives. It is safe for
// concurrent use. mu guards the fields below it. Interrupt functions are called with mu held.
type Budget struct {
	limit     int64         // bytes
	stall     time.Duration // maximum time without progress of a body
	minPerSec int64         // minimum rate of a body in bytes per second

	mu        sync.Mutex
	used      int64
	bodies    map[*Body]struct{}
	byAddress map[string]int64 // bytes of the bodies that count, by client address
	refused   int64
	stalled   int64
}

// Body is the part of a request that one client has sent. Its fields are guarded by the mutex of the budget.
type Body struct {
	budget    *Budget
	address   string
	interrupt func() // ends a read of the body that waits
	startedAt time.Duration
	movedAt   time.Duration // time of the last progress
	received  int64         // bytes
	held      int64         // bytes that count against the budget
	arriving  bool          // more bytes may arrive
	discarded bool          // what arrives is not kept
	open      bool          // the request has not ended
	cause     Cause
}

// NewBudget returns a budget of limit bytes. A body ends after the time stall without progress, or when it is slower than minPerSec bytes
// per second.
func NewBudget(limit int64, stall time.Duration, minPerSec int64) *Budget {
	return &Budget{limit: limit, stall: stall, minPerSec: minPerSec, bodies: map[*Body]struct{}{}, byAddress: map[string]int64{}}
}

// Begin registers a body of a client. interrupt is called at most once, when the body has to end before it is complete; it must not block.
// now is a time since any fixed moment, for this and all other calls.
func (b *Budget) Begin(address string, now time.Duration, interrupt func()) *Body {
	body := &Body{budget: b, address: address, interrupt: interrupt, startedAt: now, movedAt: now, arriving: true, open: true}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bodies[body] = struct{}{}
	return body
}

// Receive accounts for n bytes of the body that have arrived. whole states that they are the last ones; the body is not interrupted any more
// then. If there is no room for the bytes, bodies are ended, and possibly this one. Receive returns the cause if this body has ended.
func (body *Body) Receive(n int64, whole bool, now time.Duration) Cause {
	b := body.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if body.cause != NotEnded || !body.open {
		return body.cause
	}
	if n > 0 {
		body.movedAt = now
	}
	body.received += n
	body.arriving = !whole
	if !body.discarded {
		b.hold(body, max(body.received-FreeBytes, 0))
	}
	b.makeRoom(now)
	return body.cause
}

// Discard states that the rest of the body is read but not kept.
func (body *Body) Discard() {
	body.budget.mu.Lock()
	defer body.budget.mu.Unlock()
	body.discarded = true
	body.budget.hold(body, 0)
}

// Resize states that the request holds this many bytes instead of its body, for instance the decoded body. It returns NoRoom if there is no
// room for them.
func (body *Body) Resize(bytes int64, now time.Duration) Cause {
	b := body.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if body.cause != NotEnded || !body.open {
		return body.cause
	}
	body.arriving = false
	b.hold(body, max(bytes-FreeBytes, 0))
	b.makeRoom(now)
	if b.used > b.limit {
		b.end(body, NoRoom)
	}
	return body.cause
}

// End gives back what the request holds. It may be called more than once.
func (body *Body) End() {
	b := body.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !body.open {
		return
	}
	body.open = false
	b.hold(body, 0)
	delete(b.bodies, body)
}

// EndStalled ends the bodies that make too little progress and returns how many there were. It returns false if no body is registered.
func (b *Budget) EndStalled(now time.Duration) (ended int, any bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for body := range b.bodies {
		if body.arriving && body.cause == NotEnded && b.isStalled(body, now) {
			b.end(body, Stalled)
			ended++
		}
	}
	return ended, len(b.bodies) > 0
}

func (b *Budget) isStalled(body *Body, now time.Duration) bool {
	if now-body.movedAt > b.stall {
		return true
	}
	allowed := slowStart + time.Duration(float64(body.received)/float64(b.minPerSec)*float64(time.Second))
	return now-body.startedAt > allowed
}

// Usage is the state of a budget.
type Usage struct {
	LimitBytes, UsedBytes int64
	Bodies                int
	OldestProgress        time.Duration // time since the last progress of the arriving body that has waited for longest
	Refused               int64         // bodies that were ended because there was no room
	Stalled               int64         // bodies that were ended because they did not arrive
}

// Usage returns the state of the budget.
func (b *Budget) Usage(now time.Duration) Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := Usage{LimitBytes: b.limit, UsedBytes: b.used, Bodies: len(b.bodies), Refused: b.refused, Stalled: b.stalled}
	for body := range b.bodies {
		if body.arriving {
			u.OldestProgress = max(u.OldestProgress, now-body.movedAt)
		}
	}
	return u
}

// hold sets the bytes that the body holds.
func (b *Budget) hold(body *Body, bytes int64) {
	if bytes == body.held {
		return
	}
	b.used += bytes - body.held
	b.byAddress[body.address] += bytes - body.held
	if b.byAddress[body.address] == 0 {
		delete(b.byAddress, body.address)
	}
	body.held = bytes
}

// makeRoom ends bodies until a share of the budget is free, if it is used up. It ends no body that has arrived whole.
func (b *Budget) makeRoom(now time.Duration) {
	if b.used <= b.limit {
		return
	}
	for target := b.limit - b.limit/evictionShare; b.used > target; {
		victim := b.victim(now)
		if victim == nil {
			return
		}
		b.end(victim, NoRoom)
	}
}

// victim returns the arriving body with the largest product of its bytes and its time without progress, or nil if no arriving body holds
// any.
func (b *Budget) victim(now time.Duration) *Body {
	address, bound := "", false
	for candidate, bytes := range b.byAddress {
		if bytes > b.limit/addressShare {
			address, bound = candidate, true
		}
	}
	var worst *Body
	worstScore := 0.0
	for body := range b.bodies {
		if !body.arriving || body.held == 0 || bound && body.address != address {
			continue
		}
		if score := float64(body.held) * float64(now-body.movedAt+minIdle); worst == nil || score > worstScore {
			worst, worstScore = body, score
		}
	}
	if worst == nil && bound { // that address has only bodies that have arrived
		for body := range b.bodies {
			if score := float64(body.held) * float64(now-body.movedAt+minIdle); body.arriving && score > worstScore {
				worst, worstScore = body, score
			}
		}
	}
	return worst
}

// end ends the body. What it held counts as free, because its handler returns at once.
func (b *Budget) end(body *Body, cause Cause) {
	body.cause = cause
	if cause == NoRoom {
		b.refused++
	} else {
		b.stalled++
	}
	b.hold(body, 0)
	if body.arriving {
		body.arriving = false
		body.interrupt()
	}
}
