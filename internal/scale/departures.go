package scale

import (
	"context"
	"sync"
	"time"

	"bamboofork/internal/membership"
)

const (
	departureInterval = 3 * time.Second  // delay between two departures
	departureTimeout  = 60 * time.Second // maximum wait until all entries have detected a departure
)

// measureDepartures makes agents leave or crash one after another. It returns one time for each departure, until no entry considered
// the agent eligible. If some entry still considers the agent eligible after departureTimeout, the departure is counted in undetected
// and its time is about departureTimeout.
func (f *Fleet) measureDepartures(ctx context.Context, isCrash bool) (times []time.Duration, undetected int) {
	for range f.cfg.Departures {
		if ctx.Err() != nil || len(f.Nodes) <= f.cfg.Entries+1 {
			break
		}
		n := f.Nodes[len(f.Nodes)-1]
		f.Nodes = f.Nodes[:len(f.Nodes)-1]
		departedAt := time.Now()
		if isCrash {
			n.Crash()
		} else {
			n.Table.Update(func(m *membership.Member) { m.Leaving = true })
		}
		for f.isEligible(n.Spec.ID) && time.Since(departedAt) < departureTimeout {
			time.Sleep(pollInterval)
		}
		if f.isEligible(n.Spec.ID) {
			undetected++
		}
		times = append(times, time.Since(departedAt))
		if !isCrash {
			n.Leave()
		}
		time.Sleep(departureInterval)
	}
	return times, undetected
}

// isEligible reports whether any entry still considers the agent eligible: known, not leaving and not suspected.
func (f *Fleet) isEligible(id string) bool {
	for _, n := range f.Nodes {
		if !n.Spec.IsEntry {
			continue
		}
		if m, ok := n.Table.Lookup(id); ok && !m.Leaving && !m.Suspect {
			return true
		}
	}
	return false
}

// measureDomainLoss crashes all agents in the failure domain of the last node concurrently. detectionTime is the time until no entry
// considered any of these agents eligible. sentRate is the mean number of bytes per second that each remaining node sent in that time.
// undetected is 1 if some entry still considered one of these agents eligible after departureTimeout, and 0 otherwise.
func (f *Fleet) measureDomainLoss(ctx context.Context) (detectionTime time.Duration, sentRate float64, undetected int) {
	domain := f.Nodes[len(f.Nodes)-1].Spec.Domain
	lost, remaining := []*Node{}, []*Node{}
	for _, n := range f.Nodes {
		if n.Spec.Domain == domain && !n.Spec.IsEntry {
			lost = append(lost, n)
			continue
		}
		remaining = append(remaining, n)
	}
	f.Nodes = remaining
	before := f.trafficCounters()
	crashedAt := time.Now()
	var wg sync.WaitGroup
	for _, n := range lost {
		wg.Go(n.Crash)
	}
	wg.Wait()
	for f.isAnyEligible(lost) && time.Since(crashedAt) < departureTimeout && ctx.Err() == nil {
		time.Sleep(pollInterval)
	}
	detectionTime = time.Since(crashedAt)
	for i, c := range f.trafficCounters() {
		sentRate += float64(c.sent-before[i].sent) / detectionTime.Seconds() / float64(len(remaining))
	}
	if f.isAnyEligible(lost) {
		undetected = 1
	}
	return detectionTime, sentRate, undetected
}

func (f *Fleet) isAnyEligible(nodes []*Node) bool {
	for _, n := range nodes {
		if f.isEligible(n.Spec.ID) {
			return true
		}
	}
	return false
}
