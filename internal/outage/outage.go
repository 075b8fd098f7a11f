// Package outage decides what happens to requests while a service that they need is silent: which are held until it answers, for how long,
// and when the callers that are turned away should come back. It has no I/O, no clock and no state.
package outage

import "time"

// Policy bounds what is held.
type Policy struct {
	MaxHeld      int // number of requests
	MaxHeldBytes int // total size of these requests
}

// Situation is what a decision depends on.
type Situation struct {
	Silent    time.Duration // how long the service has not answered; 0: it answers
	Remaining time.Duration // how long the caller still waits for its answer
	Held      int           // number of requests that are held already
	HeldBytes int           // their total size
	Bytes     int           // size of the request
	Spread    float64       // random number from 0 to 1 that spreads the return of callers
}

// Decision is what happens to a request.
type Decision struct {
	Hold    bool
	HoldFor time.Duration // how long the request is held; 0 if it is not
	// ComeBack is the delay after which the caller should come back once it is turned away: now, or at the end of the hold.
	ComeBack time.Duration
	Reason   string // why the request is turned away; empty if it is held
}

// Reasons for turning a request away.
const (
	ReasonNoTime   = "no time left to hold the request"
	ReasonUnlikely = "no answer is likely within the caller's time"
	ReasonFull     = "too many requests are held"
)

const (
	// takeoverTime is the length of a silence within which another process usually takes over.
	takeoverTime = 2 * time.Second
	// holdShare is the share of the caller's remaining time for which a request is held. A caller that is turned away can use the rest.
	holdShare = 0.5
	// AnswerReserve is the time, at the end of the caller's wait, that the answer needs on its way.
	AnswerReserve = 500 * time.Millisecond
	// maxReserveShare limits the reserve of a caller that has little time left.
	maxReserveShare = 0.5
	// minHold is the shortest time for which a request is held.
	minHold = 100 * time.Millisecond
	// minChance is the chance of an answer below which a request is not held.
	minChance = 0.1
	// minComeBack and maxComeBack bound the first moment at which callers come back.
	minComeBack = 500 * time.Millisecond
	maxComeBack = 15 * time.Second
	// minHeaderComeBack is the shortest delay that callers can be told, who are told whole seconds.
	minHeaderComeBack = time.Second
)

// Decide returns what happens to a request.
func (p Policy) Decide(s Situation) Decision {
	holdFor := holdTime(s.Silent, s.Remaining)
	decision := Decision{ComeBack: comeBack(s.Silent+holdFor, s.Remaining-holdFor, s.Spread)}
	switch {
	case holdFor < minHold:
		decision.Reason = ReasonNoTime
	case chance(s.Silent, holdFor) < minChance:
		decision.Reason = ReasonUnlikely
	case s.Held >= p.MaxHeld || s.HeldBytes+s.Bytes > p.MaxHeldBytes:
		decision.Reason = ReasonFull
	default:
		decision.Hold, decision.HoldFor = true, holdFor
		return decision
	}
	decision.ComeBack = comeBack(s.Silent, s.Remaining, s.Spread)
	return decision
}

// holdTime returns how long a request is held at most.
func holdTime(silent, remaining time.Duration) time.Duration {
	reserve := min(AnswerReserve, time.Duration(maxReserveShare*float64(remaining)))
	share := time.Duration(holdShare * float64(remaining))
	return min(max(share, takeoverTime-silent), remaining-reserve)
}

// chance returns the chance that a silence of the given length ends within the time. A silence lasts as long again with a chance of one
// half, whatever its length.
func chance(silent, within time.Duration) float64 {
	return float64(within) / float64(silent+within)
}

// comeBack returns when a caller should come back after it is turned away in a silence of the given length with the remaining time.
func comeBack(silent, remaining time.Duration, spread float64) time.Duration {
	earliest := min(max(minComeBack, silent/8), maxComeBack)
	window := min(max(minComeBack, silent/4), maxComeBack)
	delay := earliest + time.Duration(spread*float64(window))
	// Within the caller's time, so that its next try is not its first after that time.
	return min(delay, max(minHeaderComeBack, remaining/2))
}
