package route

import "time"

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

// costPolicy compares the estimated time to the answer of a few servers. It leaves the failure domain only when none
// of the compared local servers has a free slot.
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
			best, bestCost, free = s, c, load < float64(s.Load.Slots)
		}
	}
	return best, bestCost, free
}

// cost estimates the time to the answer: the wait for a slot, the service time, and the link.
func (q *query) cost(s *Server, load float64) time.Duration {
	slots := float64(max(1, s.Load.Slots))
	service := q.service(s)
	ahead := max(0, load+1-slots)
	cost := service * (1 + ahead/slots + tieShare*min(1, load/slots))
	if !s.local {
		cost += float64(linkCost)
	}
	return time.Duration(cost)
}

// service returns the measured service time, which includes the link, or a guess from the rest of the pool.
func (q *query) service(s *Server) float64 {
	if t := s.state.expected(q.pool.service, q.now); t > 0 {
		return t
	}
	guess := q.pool.service
	if guess == 0 {
		guess = priorService
	}
	if !s.local {
		guess += linkDelay
	}
	return float64(guess)
}
