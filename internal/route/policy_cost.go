package route

import (
	"math"
	"time"
)

// Parameters of the cost policy.
const (
	// localSampleCount and remoteSampleCount are the numbers of servers compared per pick. Small samples prevent entries
	// with the same stale load reports from all choosing the server that was the least loaded.
	localSampleCount  = 3
	remoteSampleCount = 2
	// crossDomainDelay is the assumed extra latency to another failure domain. It is used until responses from servers in
	// other domains are measured.
	crossDomainDelay = 4 * time.Millisecond
	// crossDomainPenalty expresses the price and the loss of a link between failure domains as time. With 20 ms
	// requests on 8 slots, crossDomainDelay and crossDomainPenalty together equal a queue of two to three requests.
	crossDomainPenalty = 2 * time.Millisecond
	// defaultServiceTime is the assumed service time of a pool without measurements.
	defaultServiceTime = 20 * time.Millisecond
	// loadPenaltyFraction spreads requests among servers that all have free slots. A server with all slots in use costs
	// this fraction of a service time more than an idle server.
	loadPenaltyFraction = 0.1
)

// minFreeSlots is the number of free slots from which a server counts as free, by the load estimate. Load reports are
// delayed, so a server with one free slot is often full when the request arrives.
const minFreeSlots = 2.0

// costPolicy compares the estimated response times of a few randomly sampled servers. It considers other failure domains
// only if the best of the local samples has fewer than minFreeSlots free slots.
type costPolicy struct{}

// Name implements Policy.
func (costPolicy) Name() string { return PolicyCost }

// Choose implements Policy.
func (costPolicy) Choose(q *query) *Server {
	local := q.sample(q.pool.localServers, localSampleCount, false, q.sampleBuffer[:0])
	best, cost, isFree := q.cheapest(local, nil, 0)
	if best != nil && isFree {
		return best
	}
	remote := q.sample(q.pool.remoteServers, remoteSampleCount, false, local)
	best, _, _ = q.cheapest(remote[len(local):], best, cost)
	if best != nil {
		return best
	}
	best, _, _ = q.cheapest(q.sample(q.pool.allServers, 1, true, q.sampleBuffer[:0]), nil, 0)
	return best
}

// cheapest returns the server with the lowest cost among servers and best, and the cost of that server. The third result
// is true if that server is one of servers and has minFreeSlots free slots.
func (q *query) cheapest(servers []*Server, best *Server, bestCost time.Duration) (*Server, time.Duration, bool) {
	isFree := false
	for _, s := range servers {
		load := s.state.load(q.now)
		c := q.cost(s, load)
		q.decision.record(Candidate{Server: s, Cost: c, EstimatedRequests: load})
		if best == nil || c < bestCost {
			best, bestCost, isFree = s, c, load <= float64(s.Load.Slots)-minFreeSlots
		}
	}
	return best, bestCost, isFree
}

// cost estimates the response time: the wait for a slot, the service time, and the penalty of a remote server.
func (q *query) cost(s *Server, load float64) time.Duration {
	slots := float64(max(1, s.Load.Slots))
	serviceTime := q.expectedServiceTime(s)
	cost := serviceTime * (1 + queueAhead(load+1-slots)/slots + loadPenaltyFraction*min(1, load/slots))
	if !s.isLocal {
		cost += float64(crossDomainPenalty)
	}
	return time.Duration(cost)
}

// queueAhead returns the expected number of requests ahead in the queue. excess is the estimated load minus the slots, with
// an error of about one request. The function is softplus, a smooth maximum of 0 and excess.
func queueAhead(excess float64) float64 {
	const exactFrom = 8 // from here on softplus practically equals excess
	if excess > exactFrom {
		return excess
	}
	return math.Log1p(math.Exp(excess))
}

// serviceTimeToleranceFraction is the largest deviation of a server's service time that is treated as noise, as a fraction
// of the mean of the local or remote servers. With exponential service times, a server's average varies by about 10%. The
// variation would mask a queue of one request.
const serviceTimeToleranceFraction = 0.3

// expectedServiceTime returns the expected service time in nanoseconds, network latency included. It is the mean of the
// local or remote servers. If the server's own average deviates from that mean by more than serviceTimeToleranceFraction,
// the result is the server's own average.
func (q *query) expectedServiceTime(s *Server) float64 {
	mean := q.pool.meanServiceTime(s.isLocal)
	own := s.state.expectedServiceTime(mean, q.now)
	if own > 0 && math.Abs(own-float64(mean)) > serviceTimeToleranceFraction*float64(mean) {
		return own
	}
	return float64(mean)
}
