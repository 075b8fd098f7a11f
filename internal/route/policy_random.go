package route

// randomPolicy chooses a random eligible server. It is a baseline for benchmarks.
type randomPolicy struct{}

// Name implements Policy.
func (randomPolicy) Name() string { return PolicyRandom }

// Choose implements Policy.
func (randomPolicy) Choose(q *query) *Server {
	if found := q.sample(q.pool.allServers, 1, true, q.sampleBuffer[:0]); len(found) > 0 {
		return found[0]
	}
	return nil
}
