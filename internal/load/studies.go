package load

import (
	"context"
	"fmt"
	"time"

	"bamboofork/internal/dev"
	"bamboofork/internal/route"
	"bamboofork/internal/settings"
)

// Slow servers of the study uneven: one server in each of three failure domains takes twice as long, as if its host had noisy
// neighbours.
const (
	unevenSlowServerCount = 3
	unevenSlowdownFactor  = 2.0
)

// studyUneven runs the study policies on fleets with some slow servers.
func (s *Study) studyUneven(ctx context.Context) error {
	s.slowServerCount, s.slowdownFactor = unevenSlowServerCount, unevenSlowdownFactor
	return s.studyPolicies(ctx)
}

// studyPolicies compares the latency and the fraction of done requests under the default routing policy with those under the
// policies round-robin and random.
func (s *Study) studyPolicies(ctx context.Context) error {
	for _, factor := range []float64{0.5, 0.8, 0.95} {
		resultByPolicy := map[string]ClassResult{}
		for _, p := range route.Policies() {
			r, err := s.runMix(ctx, fmt.Sprintf("%s at %g", p, factor), p, factor, nil)
			if err != nil {
				return err
			}
			resultByPolicy[p] = r.All
		}
		for _, base := range []string{route.PolicyRoundRobin, route.PolicyRandom} {
			for _, percentile := range []float64{50, 99, 99.9} {
				name := fmt.Sprintf("p%g at %g of capacity, cost / %s", percentile, factor, base)
				s.addFigure(name, latencyRatio(resultByPolicy[route.PolicyCost].LatencyAt(percentile), resultByPolicy[base].LatencyAt(percentile)))
			}
			s.addFigure(fmt.Sprintf("done share at %g of capacity, cost / %s", factor, base), resultByPolicy[route.PolicyCost].DoneShare()/resultByPolicy[base].DoneShare())
		}
	}
	return nil
}

// latencyRatio returns the ratio a/b, or 0 if b is 0.
func latencyRatio(a, b time.Duration) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// studyOverload compares the goodput at loads below and above the capacity with the highest goodput of all runs.
func (s *Study) studyOverload(ctx context.Context) error {
	peakGoodput := 0.0
	factors := []float64{0.8, 0.95, 1.1, 2, 5, 20}
	goodputByFactor := map[float64]float64{}
	for _, factor := range factors {
		r, err := s.runMix(ctx, fmt.Sprintf("%g times capacity", factor), "", factor, nil)
		if err != nil {
			return err
		}
		goodputByFactor[factor] = r.Goodput()
		peakGoodput = max(peakGoodput, r.Goodput())
	}
	for _, factor := range factors {
		name := fmt.Sprintf("goodput at %g times capacity / peak", factor)
		if factor >= 2 {
			s.addAtLeast(name, goodputByFactor[factor]/peakGoodput, 0.95)
		} else {
			s.addFigure(name, goodputByFactor[factor]/peakGoodput)
		}
	}
	return nil
}

// Loads of the study flood as multiples of the capacity. The load of the mix is so low that every branch stays below its fair
// share.
const (
	floodMixLoadFactor = 0.4
	floodLoadFactor    = 5.0
)

// floodTargets holds the branch that each flood is sent to, by the name of the flood. Requests to clients-abroad may come from
// one caller or from many addresses. The branch fitting-desk has the highest weight.
var floodTargets = map[string]string{
	"caller":    "workshop/foot-scan/travelling-fitters",
	"addresses": "workshop/foot-scan/clients-abroad",
	"urgent":    "workshop/foot-scan/fitting-desk",
}

// studyFlood compares the fractions of done requests and the latencies of the branches under each flood with those of a baseline
// run without floods.
func (s *Study) studyFlood(ctx context.Context) error {
	s.Mix = "workshop-quick"
	baseline, err := s.runMix(ctx, "quiet", "", floodMixLoadFactor, nil)
	if err != nil {
		return err
	}
	for _, name := range FloodNames() {
		targetBranch := floodTargets[name]
		r, err := s.runMix(ctx, "flood "+name, "", floodMixLoadFactor, func(size FleetSize) ([]Class, error) {
			c, err := Flood(name, targetBranch, floodLoadFactor*size.Capacity, size.MeanService)
			return []Class{c}, err
		})
		if err != nil {
			return err
		}
		s.addFloodFigures(name, targetBranch, baseline, r)
	}
	return nil
}

// addFloodFigures adds the figures of one flood. The branches other than the target demand less than their fair shares, so
// their requests should all be done.
func (s *Study) addFloodFigures(name, targetBranch string, baseline, flood *Result) {
	for _, c := range flood.Classes {
		base, ok := baseline.Class(c.Class.Name)
		if !ok {
			continue
		}
		doneRatio := c.DoneShare() / base.DoneShare()
		p99Ratio := latencyRatio(c.LatencyAt(99), base.LatencyAt(99))
		if c.Class.Branch == targetBranch {
			s.addFigure(fmt.Sprintf("flood %s: regular callers of the flooded branch %s keep", name, c.Class.Name), doneRatio)
			continue
		}
		s.addAtLeast(fmt.Sprintf("flood %s: %s keeps", name, c.Class.Name), doneRatio, 0.95)
		s.addAtMost(fmt.Sprintf("flood %s: %s p99 / quiet", name, c.Class.Name), p99Ratio, 1.5)
	}
}

// outageLoadFactor is the load of the study outage as a multiple of the capacity of all servers. Half of the servers can carry
// this load.
const outageLoadFactor = 0.4

// studyOutage stops half of the backend servers after a third of the measured period and counts the retries.
func (s *Study) studyOutage(ctx context.Context) error {
	return s.withFleet(ctx, "", func(f *dev.Fleet) error {
		classes, err := Mix(s.Mix, SizeOf(f), outageLoadFactor)
		if err != nil {
			return err
		}
		stopTimer := time.AfterFunc(s.Warmup+s.Duration/3, func() { stopHalfOfBackends(f) })
		defer stopTimer.Stop()
		r, err := s.runClasses(ctx, "half of the servers out", f, classes)
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

// overheadLoadFactor is the load of the study overhead as a multiple of the capacity. The load is so low that queueing does not
// distort the comparison with direct calls.
const overheadLoadFactor = 0.05

// studyOverhead compares the latency of requests through entries and agents with that of direct calls to the backend servers in
// the same run.
func (s *Study) studyOverhead(ctx context.Context) error {
	return s.withFleet(ctx, "", func(f *dev.Fleet) error {
		size := SizeOf(f)
		proxied := latencyCriticalClass("path", "workshop/foot-scan/fitting-desk", 12)
		proxied.Rate, proxied.Service, proxied.MeanService = overheadLoadFactor*size.Capacity, ServiceFixed, size.MeanService
		direct := proxied
		direct.Name, direct.DirectURLs = "direct", backendURLs(f)
		r, err := s.runClasses(ctx, "overhead", f, []Class{proxied, direct})
		if err != nil {
			return err
		}
		proxiedResult, directResult := r.Classes[0], r.Classes[1]
		for _, percentile := range []float64{50, 99} {
			s.addFigure(fmt.Sprintf("p%g through entry and agent / direct, service time %s", percentile, size.MeanService),
				latencyRatio(proxiedResult.LatencyAt(percentile), directResult.LatencyAt(percentile)))
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

// CheckBranches returns an error if the settings tree does not have the branch of one of the classes.
func CheckBranches(tree settings.Tree, classes []Class) error {
	for _, c := range classes {
		if _, ok := tree.Branches[c.Branch]; !ok {
			return fmt.Errorf("class %q: the tree has no branch %q", c.Name, c.Branch)
		}
	}
	return nil
}
