package route

import (
	"math"
	"time"
)

// Parameters of the cost policy.
const (
	// localSamples and remoteSamples are the numbers of servers compared per pick. They are small so that entries with
	// the same stale load reports do not all send to the server that was the least loaded.
	localSamples  = 3
	remoteSamples = 2
	// crossDomainDelay is the assumed extra latency to another failure domain until responses from there are measured.
	crossDomainDelay = 4 * time.Millisecond
	// crossDomainPenalty expresses the price and the loss of a link between failure domains as time. With 20 ms
	// requests on 8 slots, crossDomainDelay and crossDomainPenalty together equal a queue of two to three requests.
	crossDomainPenalty = 2 * time.Millisecond
	// defaultServiceTime is the assumed service time of a pool without measurements.
	defaultServiceTime = 20 * time.Millisecond
	// loadPenalty spreads requests among servers that all have free slots: a server with all slots in use costs this
	// fraction of a service time more than an idle one.
	loadPenalty = 0.1
)

// minFreeSlots is the estimated number of free slots from which a server counts as free. Load reports are delayed, so a
// server with one free slot is often full when the request arrives.
const minFreeSlots = 2.0

// costPolicy compares the estimated response times of a few randomly sampled servers. It considers other failure domains
// only if the best of the local samples has fewer than minFreeSlots free slots.
type costPolicy struct{}

// Name implements Policy.
func (costPolicy) Name() string { return PolicyCost }

// Choose implements Policy.
func (costPolicy) Choose(q *query) *Server {
	found := q.sample(q.pool.local, localSamples, false, q.scratch[:0])
	best, cost, free := q.cheapest(found, nil, 0)
	if best != nil && free {
		return best
	}
	remote := q.sample(q.pool.remote, remoteSamples, false, found)
	best, _, _ = q.cheapest(remote[len(found):], best, cost)
	if best != nil {
		return best
	}
	best, _, _ = q.cheapest(q.sample(q.pool.all, 1, true, q.scratch[:0]), nil, 0)
	return best
}

// cheapest returns the server with the lowest cost among servers and best, its cost, and whether it is one of servers and
// has minFreeSlots free slots.
func (q *query) cheapest(servers []*Server, best *Server, bestCost time.Duration) (*Server, time.Duration, bool) {
	free := false
	for _, s := range servers {
		load := s.state.load(q.now)
		c := q.cost(s, load)
		q.decision.record(Candidate{Server: s, Cost: c, Load: load})
		if best == nil || c < bestCost {
			best, bestCost, free = s, c, load <= float64(s.Load.Slots)-minFreeSlots
		}
	}
	return best, bestCost, free
}

// cost estimates the response time: the wait for a slot, the service time, and the penalty of a remote server.
func (q *query) cost(s *Server, load float64) time.Duration {
	slots := float64(max(1, s.Load.Slots))
	service := q.expectedServiceTime(s)
	cost := service * (1 + queueAhead(load+1-slots)/slots + loadPenalty*min(1, load/slots))
	if !s.local {
		cost += float64(crossDomainPenalty)
	}
	return time.Duration(cost)
}

// queueAhead is the expected number of requests ahead in the queue, given the estimated load minus the slots and an error
// of about one request in that estimate. It is the softplus function, a smooth maximum of 0 and excess.
func queueAhead(excess float64) float64 {
	const exactFrom = 8 // from here on softplus practically equals excess
	if excess > exactFrom {
		return excess
	}
	return math.Log1p(math.Exp(excess))
}

// serviceTimeTolerance is the relative deviation from the mean of the local or remote servers up to which a server's
// service time is treated as noise. With exponential service times a server's average varies by about 10%, which would
// mask a queue of one request.
const serviceTimeTolerance = 0.3

// expectedServiceTime returns the expected service time, network latency included: the mean of the local or remote
// servers, unless the server's own average deviates from it by more than serviceTimeTolerance.
func (q *query) expectedServiceTime(s *Server) float64 {
	mean := q.pool.meanServiceTime(s.local)
	own := s.state.expectedServiceTime(mean, q.now)
	if own > 0 && math.Abs(own-float64(mean)) > serviceTimeTolerance*float64(mean) {
		return own
	}
	return float64(mean)
}
