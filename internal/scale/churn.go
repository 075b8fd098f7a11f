package scale

import (
	"context"
	"sync"
	"time"

	"bamboofork/internal/membership"
)

// Pace and bound of the departures.
const (
	churnGap     = 3 * time.Second
	churnTimeout = 60 * time.Second
)

// timeDepartures lets agents leave or crash one after the other and returns how long each stayed eligible at some
// chooser. A departure that some chooser did not notice in time is counted in late.
func (f *Fleet) timeDepartures(ctx context.Context, crash bool) (times []time.Duration, late int) {
	for range f.cfg.Churn {
		if ctx.Err() != nil || len(f.Nodes) <= f.cfg.Entries+1 {
			break
		}
		n := f.Nodes[len(f.Nodes)-1]
		f.Nodes = f.Nodes[:len(f.Nodes)-1]
		begun := time.Now()
		if crash {
			n.Crash()
		} else {
			n.Table.Update(func(m *membership.Member) { m.Leaving = true })
		}
		for f.eligible(n.Spec.ID) && time.Since(begun) < churnTimeout {
			time.Sleep(watchStep)
		}
		if f.eligible(n.Spec.ID) {
			late++
		}
		times = append(times, time.Since(begun))
		if !crash {
			n.Leave()
		}
		time.Sleep(churnGap)
	}
	return times, late
}

// eligible reports whether any chooser would still give the agent work.
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

// timeDomainLoss ends all nodes of the last failure domain at once. It returns the time until no chooser would give any
// of them work and the mean bytes per second that an agent elsewhere sent meanwhile.
func (f *Fleet) timeDomainLoss(ctx context.Context) (took time.Duration, sent float64, late int) {
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
	begun := time.Now()
	var wg sync.WaitGroup
	for _, n := range lost {
		wg.Go(n.Crash)
	}
	wg.Wait()
	for f.anyEligible(lost) && time.Since(begun) < churnTimeout && ctx.Err() == nil {
		time.Sleep(watchStep)
	}
	took = time.Since(begun)
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
