package scale

import (
	"context"
	"sync"
	"time"

	"bamboofork/internal/membership"
)

// Pause between departures and limit on the time to detect one.
const (
	churnInterval = 3 * time.Second
	churnTimeout  = 60 * time.Second
)

// measureDepartures makes agents leave or crash one after another and returns the time until no entry considered the agent
// eligible. A departure that some entry did not detect within churnTimeout is counted in late.
func (f *Fleet) measureDepartures(ctx context.Context, crash bool) (times []time.Duration, late int) {
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
		for f.eligible(n.Spec.ID) && time.Since(started) < churnTimeout {
			time.Sleep(pollInterval)
		}
		if f.eligible(n.Spec.ID) {
			late++
		}
		times = append(times, time.Since(started))
		if !crash {
			n.Leave()
		}
		time.Sleep(churnInterval)
	}
	return times, late
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
// any of them eligible and the mean bytes per second that each remaining node sent during that time.
func (f *Fleet) measureDomainLoss(ctx context.Context) (took time.Duration, sent float64, late int) {
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
	for f.anyEligible(lost) && time.Since(started) < churnTimeout && ctx.Err() == nil {
		time.Sleep(pollInterval)
	}
	took = time.Since(started)
	for i, c := range f.counters() {
		sent += float64(c.sent-before[i].sent) / took.Seconds() / float64(len(rest))
	}
	if f.anyEligible(lost) {
		late = 1
	}
	return took, sent, late
}

func (f *Fleet) anyEligible(nodes []*Node) bool {
	for _, n := range nodes {
		if f.eligible(n.Spec.ID) {
			return true
		}
	}
	return false
}
