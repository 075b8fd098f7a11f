package scale

import (
	"context"
	"sync"
	"time"

	"bamboofork/internal/membership"
)

// Pause between departures and maximum time to detect one.
const (
	departureInterval = 3 * time.Second
	departureTimeout  = 60 * time.Second
)

// measureDepartures makes agents leave or crash one after another and returns the time until no entry considered the agent
// eligible. A departure that some entry did not detect within departureTimeout is counted in undetected.
func (f *Fleet) measureDepartures(ctx context.Context, crash bool) (times []time.Duration, undetected int) {
	for range f.cfg.Departures {
		if ctx.Err() != nil || len(f.Nodes) <= f.cfg.Entries+1 {
			break
		}
		n := f.Nodes[len(f.Nodes)-1]
		f.Nodes = f.Nodes[:len(f.Nodes)-1]
		started := time.Now()
		if crash {
			n.Crash()
		} else {
			n.Table.Update(func(m *membership.Member) { m.Leaving = true })
		}
		for f.eligible(n.Spec.ID) && time.Since(started) < departureTimeout {
			time.Sleep(pollInterval)
		}
		if f.eligible(n.Spec.ID) {
			undetected++
		}
		times = append(times, time.Since(started))
		if !crash {
			n.Leave()
		}
		time.Sleep(departureInterval)
	}
	return times, undetected
}

// eligible reports whether any entry would still send work to the agent.
func (f *Fleet) eligible(id string) bool {
	for _, n := range f.Nodes {
		if !n.Spec.Entry {
			continue
		}
		if m, ok := n.Table.Lookup(id); ok && !m.Leaving && !m.Suspect {
			return true
		}
	}
	return false
}

// measureDomainLoss crashes all agents of the last node's failure domain at once. It returns the time until no entry considered
// any of them eligible and the mean bytes per second that each remaining node sent during that time. undetected is 1 if some
// entry still considered one of them eligible at departureTimeout.
func (f *Fleet) measureDomainLoss(ctx context.Context) (took time.Duration, sent float64, undetected int) {
	domain := f.Nodes[len(f.Nodes)-1].Spec.Domain
	lost, rest := []*Node{}, []*Node{}
	for _, n := range f.Nodes {
		if n.Spec.Domain == domain && !n.Spec.Entry {
			lost = append(lost, n)
			continue
		}
		rest = append(rest, n)
	}
	f.Nodes = rest
	before := f.counters()
	started := time.Now()
	var wg sync.WaitGroup
	for _, n := range lost {
		wg.Go(n.Crash)
	}
	wg.Wait()
	for f.anyEligible(lost) && time.Since(started) < departureTimeout && ctx.Err() == nil {
		time.Sleep(pollInterval)
	}
	took = time.Since(started)
	for i, c := range f.counters() {
		sent += float64(c.sent-before[i].sent) / took.Seconds() / float64(len(rest))
	}
	if f.anyEligible(lost) {
		undetected = 1
	}
	return took, sent, undetected
}

func (f *Fleet) anyEligible(nodes []*Node) bool {
	for _, n := range nodes {
		if f.eligible(n.Spec.ID) {
			return true
		}
	}
	return false
}
