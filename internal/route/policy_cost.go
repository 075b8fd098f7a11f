package route

import (
	"math"
	"time"
)

// Costs of the default policy.
const (
	// localChoices and remoteChoices are the servers that are compared. Few, so that entries with the same late news do
	// not all send to the server that was the least loaded.
	localChoices  = 3
	remoteChoices = 2
	// linkDelay is the added delay of another failure domain, until answers from there have been measured.
	linkDelay = 4 * time.Millisecond
	// linkCost stands for the price and the loss of a link between failure domains, as time. With 20 ms requests on 8
	// slots, linkDelay and linkCost together are as much as a queue of two to three requests.
	linkCost = 2 * time.Millisecond
	// priorService is the service time of a pool without any measurement.
	priorService = 20 * time.Millisecond
	// tieShare spreads requests among servers that all have free slots: a full server costs this share of a service
	// time more than an idle one.
	tieShare = 0.1
)

// headroom is the number of slots that must be free by the estimate for a server to count as free. Reports are late, so
// a server with one free slot is often full when the request arrives.
const headroom = 2.0

// costPolicy compares the estimated time to the answer of a few servers. It looks beyond the failure domain only when
// the best of the compared local servers is nearly full.
type costPolicy struct{}

// Name implements Policy.
func (costPolicy) Name() string { return PolicyCost }

// Choose implements Policy.
func (costPolicy) Choose(q *query) *Server {
	found := q.sample(q.pool.local, localChoices, false, q.scratch[:0])
	best, cost, free := q.cheapest(found, nil, 0)
	if best != nil && free {
		return best
	}
	remote := q.sample(q.pool.remote, remoteChoices, false, found)
	best, _, _ = q.cheapest(remote[len(found):], best, cost)
	if best != nil {
		return best
	}
	best, _, _ = q.cheapest(q.sample(q.pool.all, 1, true, q.scratch[:0]), nil, 0)
	return best
}

// cheapest returns the server with the lowest cost among the servers and the best one so far, and whether it has a
// free slot.
func (q *query) cheapest(servers []*Server, best *Server, bestCost time.Duration) (*Server, time.Duration, bool) {
	free := false
	for _, s := range servers {
		load := s.state.load(q.now)
		c := q.cost(s, load)
		q.decision.note(Considered{Server: s, Cost: c, Load: load})
		if best == nil || c < bestCost {
			best, bestCost, free = s, c, load <= float64(s.Load.Slots)-headroom
		}
	}
	return best, bestCost, free
}

// cost estimates the time to the answer: the wait for a slot, the service time, and the link.
func (q *query) cost(s *Server, load float64) time.Duration {
	slots := float64(max(1, s.Load.Slots))
	service := q.service(s)
	cost := service * (1 + queueAhead(load+1-slots)/slots + tieShare*min(1, load/slots))
	if !s.local {
		cost += float64(linkCost)
	}
	return time.Duration(cost)
}

// queueAhead is the expected number of requests ahead in the queue when the estimate of the load over the slots is
// wrong by about one either way: a smooth maximum of 0 and over.
func queueAhead(over float64) float64 {
	const exact = 8 // beyond it the smooth maximum equals over
	if over > exact {
		return over
	}
	return math.Log1p(math.Exp(over))
}

// slowBand is the deviation from the mean of the servers in the same place up to which a service time counts as chance.
// With exponential service times the average of a server strays by about 10%, which would hide a queue of one.
const slowBand = 0.3

// service returns the expected service time, which includes the link: the mean of the servers in the same place, unless
// the server's own differs by more than slowBand.
func (q *query) service(s *Server) float64 {
	mean := q.pool.mean(s.local)
	own := s.state.expected(mean, q.now)
	if own > 0 && math.Abs(own-float64(mean)) > slowBand*float64(mean) {
		return own
	}
	return float64(mean)
}
