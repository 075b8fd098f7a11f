package load

import (
	"context"
	"fmt"
	"time"

	"bamboofork/internal/dev"
	"bamboofork/internal/route"
	"bamboofork/internal/settings"
)

// Slow servers of the study uneven: one in each of three failure domains, as noisy neighbours cause them.
const (
	unevenSlowServers = 3
	unevenSlowdown    = 2.0
)

// uneven runs the study policies with some slow servers.
func (s *Study) uneven(ctx context.Context) error {
	s.slowServers, s.slowdown = unevenSlowServers, unevenSlowdown
	return s.policies(ctx)
}

// policies compares the latency and done share of the default routing policy with round robin and random.
func (s *Study) policies(ctx context.Context) error {
	for _, factor := range []float64{0.5, 0.8, 0.95} {
		byPolicy := map[string]ClassResult{}
		for _, p := range route.Policies() {
			r, err := s.runMix(ctx, fmt.Sprintf("%s at %g", p, factor), p, factor, nil)
			if err != nil {
				return err
			}
			byPolicy[p] = r.All
		}
		for _, base := range []string{route.PolicyRoundRobin, route.PolicyRandom} {
			for _, q := range []float64{50, 99, 99.9} {
				name := fmt.Sprintf("p%g at %g of capacity, cost / %s", q, factor, base)
				s.addFigure(name, latencyRatio(byPolicy[route.PolicyCost].LatencyAt(q), byPolicy[base].LatencyAt(q)))
			}
			s.addFigure(fmt.Sprintf("done share at %g of capacity, cost / %s", factor, base), byPolicy[route.PolicyCost].DoneShare()/byPolicy[base].DoneShare())
		}
	}
	return nil
}

// latencyRatio returns a/b, or 0 if b is 0.
func latencyRatio(a, b time.Duration) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// overload compares the goodput at loads below and above the capacity with the peak over all runs.
func (s *Study) overload(ctx context.Context) error {
	peak := 0.0
	factors := []float64{0.8, 0.95, 1.1, 2, 5, 20}
	goodput := map[float64]float64{}
	for _, factor := range factors {
		r, err := s.runMix(ctx, fmt.Sprintf("%g times capacity", factor), "", factor, nil)
		if err != nil {
			return err
		}
		goodput[factor] = r.Goodput()
		peak = max(peak, r.Goodput())
	}
	for _, factor := range factors {
		name := fmt.Sprintf("goodput at %g times capacity / peak", factor)
		if factor >= 2 {
			s.addAtLeast(name, goodput[factor]/peak, 0.95)
		} else {
			s.addFigure(name, goodput[factor]/peak)
		}
	}
	return nil
}

// Loads of the study flood as multiples of the capacity. The load of the mix keeps every branch below its fair share.
const (
	floodMixFactor = 0.4
	floodFactor    = 5.0
)

// floodTargets are the branches that the floods are sent to. Requests to clients-abroad may come from one caller or from
// many addresses; fitting-desk has the highest weight.
var floodTargets = map[string]string{
	"caller":    "workshop/foot-scan/travelling-fitters",
	"addresses": "workshop/foot-scan/clients-abroad",
	"urgent":    "workshop/foot-scan/fitting-desk",
}

// flood compares the done shares and latencies of the branches under each flood with a run without floods.
func (s *Study) flood(ctx context.Context) error {
	s.Mix = "workshop-quick"
	quiet, err := s.runMix(ctx, "quiet", "", floodMixFactor, nil)
	if err != nil {
		return err
	}
	for _, name := range FloodNames() {
		target := floodTargets[name]
		r, err := s.runMix(ctx, "flood "+name, "", floodMixFactor, func(size Size) ([]Class, error) {
			c, err := Flood(name, target, floodFactor*size.Capacity, size.Mean)
			return []Class{c}, err
		})
		if err != nil {
			return err
		}
		s.addFloodFigures(name, target, quiet, r)
	}
	return nil
}

// addFloodFigures adds the figures of one flood. All other branches demand less than their fair shares, so they should be
// served in full.
func (s *Study) addFloodFigures(name, target string, quiet, flood *Result) {
	for _, c := range flood.Classes {
		q, ok := quiet.Class(c.Class.Name)
		if !ok {
			continue
		}
		doneRatio := c.DoneShare() / q.DoneShare()
		p99Ratio := latencyRatio(c.LatencyAt(99), q.LatencyAt(99))
		if c.Class.Branch == target {
			s.addFigure(fmt.Sprintf("flood %s: regular callers of the flooded branch %s keep", name, c.Class.Name), doneRatio)
			continue
		}
		s.addAtLeast(fmt.Sprintf("flood %s: %s keeps", name, c.Class.Name), doneRatio, 0.95)
		s.addAtMost(fmt.Sprintf("flood %s: %s p99 / quiet", name, c.Class.Name), p99Ratio, 1.5)
	}
}

// outageLoadFactor is the load of the study outage as a multiple of the whole capacity; half of the servers can carry it.
const outageLoadFactor = 0.4

// outage stops half of the backend servers a third into a run and counts the retries.
func (s *Study) outage(ctx context.Context) error {
	return s.withFleet(ctx, "", func(f *dev.Fleet) error {
		classes, err := Mix(s.Mix, SizeOf(f), outageLoadFactor)
		if err != nil {
			return err
		}
		stop := time.AfterFunc(s.Warmup+s.Duration/3, func() { stopHalfOfBackends(f) })
		defer stop.Stop()
		r, err := s.measure(ctx, "half of the servers out", f, classes)
		if err != nil {
			return err
		}
		retries := float64(SumEntryCounter(f, "entry_retries"))
		s.addAtMost("requests sent to agents / requests of callers, half of the servers out", 1+retries/float64(r.All.Arrived), 1.1)
		s.addFigure("done share with half of the servers out", r.All.DoneShare())
		return nil
	})
}

func stopHalfOfBackends(f *dev.Fleet) {
	for i := range f.Profile.Agents / 2 {
		f.Agents[fmt.Sprintf("agent-%d", 2*i+1)].StopBackend()
	}
}

// overheadLoadFactor is low enough that queueing does not distort the comparison with direct calls.
const overheadLoadFactor = 0.05

// overhead compares requests through entries and agents with direct calls to the backend servers in the same run.
func (s *Study) overhead(ctx context.Context) error {
	return s.withFleet(ctx, "", func(f *dev.Fleet) error {
		size := SizeOf(f)
		proxied := quickClass("path", "workshop/foot-scan/fitting-desk", 12)
		proxied.Rate, proxied.Service, proxied.MeanService = overheadLoadFactor*size.Capacity, ServiceFixed, size.Mean
		direct := proxied
		direct.Name, direct.DirectURLs = "direct", backendURLs(f)
		r, err := s.measure(ctx, "overhead", f, []Class{proxied, direct})
		if err != nil {
			return err
		}
		p, d := r.Classes[0], r.Classes[1]
		for _, q := range []float64{50, 99} {
			s.addFigure(fmt.Sprintf("p%g through entry and agent / direct, service time %s", q, size.Mean), latencyRatio(p.LatencyAt(q), d.LatencyAt(q)))
		}
		return nil
	})
}

func backendURLs(f *dev.Fleet) []string {
	var out []string
	for _, h := range f.Agents {
		out = append(out, h.BackendURL)
	}
	return out
}

// CheckBranches returns an error if the tree lacks the branch of a class.
func CheckBranches(tree settings.Tree, classes []Class) error {
	for _, c := range classes {
		if _, ok := tree.Branches[c.Branch]; !ok {
			return fmt.Errorf("class %q: the tree has no branch %q", c.Name, c.Branch)
		}
	}
	return nil
}
