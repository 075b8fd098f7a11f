package scale

import (
	"context"
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
