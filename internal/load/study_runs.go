package load

import (
	"context"
	"fmt"
	"time"

	"bamboofork/internal/dev"
	"bamboofork/internal/route"
	"bamboofork/internal/settings"
)

// Slow servers of the uneven study: three, one in each failure domain, as noisy neighbours make them.
const (
	unevenSlow = 3
	unevenBy   = 2.0
)

// uneven is the study policies with some slow servers.
func (s *Study) uneven(ctx context.Context) error {
	s.slow, s.slowBy = unevenSlow, unevenBy
	return s.policies(ctx)
}

// policies compares the default policy's tail with round robin and random.
func (s *Study) policies(ctx context.Context) error {
	for _, factor := range []float64{0.5, 0.8, 0.95} {
		byPolicy := map[string]ClassResult{}
		for _, p := range route.Policies() {
			r, err := s.mixRun(ctx, fmt.Sprintf("%s at %g", p, factor), p, factor, nil)
			if err != nil {
				return err
			}
			byPolicy[p] = r.All
		}
		for _, base := range []string{route.PolicyRoundRobin, route.PolicyRandom} {
			for _, q := range []float64{50, 99, 99.9} {
				name := fmt.Sprintf("p%g at %g of capacity, cost / %s", q, factor, base)
				s.plain(name, quotient(byPolicy[route.PolicyCost].At(q), byPolicy[base].At(q)))
			}
			s.plain(fmt.Sprintf("done share at %g of capacity, cost / %s", factor, base), byPolicy[route.PolicyCost].Share()/byPolicy[base].Share())
		}
	}
	return nil
}

func quotient(a, b time.Duration) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// overload compares goodput beyond the capacity with the peak over all runs.
func (s *Study) overload(ctx context.Context) error {
	peak := 0.0
	factors := []float64{0.8, 0.95, 1.1, 2, 5, 20}
	goodput := map[float64]float64{}
	for _, factor := range factors {
		r, err := s.mixRun(ctx, fmt.Sprintf("%g times capacity", factor), "", factor, nil)
		if err != nil {
			return err
		}
		goodput[factor] = r.Goodput()
		peak = max(peak, r.Goodput())
	}
	for _, factor := range factors {
		name := fmt.Sprintf("goodput at %g times capacity / peak", factor)
		if factor >= 2 {
			s.atLeast(name, goodput[factor]/peak, 0.95)
		} else {
			s.plain(name, goodput[factor]/peak)
		}
	}
	return nil
}

// Loads of the flood study, as multiples of the capacity. The quiet load leaves every branch under its share.
const (
	floodQuiet  = 0.4
	floodFactor = 5.0
)

// floodTargets are the branches that the floods go to: callers abroad may be one caller or many addresses, and the
// fitting desk has the highest weight.
var floodTargets = map[string]string{
	"caller":    "workshop/foot-scan/travelling-fitters",
	"addresses": "workshop/foot-scan/clients-abroad",
	"urgent":    "workshop/foot-scan/fitting-desk",
}

// flood compares what the branches keep in each flood with a quiet run.
func (s *Study) flood(ctx context.Context) error {
	s.Mix = "workshop-quick"
	quiet, err := s.mixRun(ctx, "quiet", "", floodQuiet, nil)
	if err != nil {
		return err
	}
	for _, name := range Floods() {
		target := floodTargets[name]
		r, err := s.mixRun(ctx, "flood "+name, "", floodQuiet, func(size Size) ([]Class, error) {
			c, err := Flood(name, target, floodFactor*size.Capacity, size.Mean)
			return []Class{c}, err
		})
		if err != nil {
			return err
		}
		s.kept(name, target, quiet, r)
	}
	return nil
}

// kept adds the figures of one flood. All other branches ask for less than their shares, so their share is what they
// asked for.
func (s *Study) kept(name, target string, quiet, flood *Result) {
	for _, c := range flood.Classes {
		q, ok := quiet.Class(c.Class.Name)
		if !ok {
			continue
		}
		keeps := c.Share() / q.Share()
		slower := quotient(c.At(99), q.At(99))
		if c.Class.Branch == target {
			s.plain(fmt.Sprintf("flood %s: regular callers of the flooded branch %s keep", name, c.Class.Name), keeps)
			continue
		}
		s.atLeast(fmt.Sprintf("flood %s: %s keeps", name, c.Class.Name), keeps, 0.95)
		s.atMost(fmt.Sprintf("flood %s: %s p99 / quiet", name, c.Class.Name), slower, 1.5)
	}
}

// outageLoad is the load of the outage study as a multiple of the whole capacity; half of the servers can carry it.
const outageLoad = 0.4

// outage cuts off half of the backend servers in the middle of a run and counts the retries.
func (s *Study) outage(ctx context.Context) error {
	return s.withFleet(ctx, "", func(f *dev.Fleet) error {
		classes, err := Mix(s.Mix, SizeOf(f), outageLoad)
		if err != nil {
			return err
		}
		stop := time.AfterFunc(s.Warmup+s.Duration/3, func() { stopHalf(f) })
		defer stop.Stop()
		r, err := s.measure(ctx, "half of the servers out", f, classes)
		if err != nil {
			return err
		}
		retries := float64(Counter(f, "entry_retries"))
		s.atMost("requests sent to agents / requests of callers, half of the servers out", 1+retries/float64(r.All.Arrived), 1.1)
		s.plain("done share with half of the servers out", r.All.Share())
		return nil
	})
}

func stopHalf(f *dev.Fleet) {
	for i := range f.Profile.Agents / 2 {
		f.Agents[fmt.Sprintf("agent-%d", 2*i+1)].StopBackend()
	}
}

// overheadLoad keeps queues out of the comparison of the whole path with direct calls.
const overheadLoad = 0.05

// overhead compares requests through entries and agents with direct calls of the backend servers in the same run.
func (s *Study) overhead(ctx context.Context) error {
	return s.withFleet(ctx, "", func(f *dev.Fleet) error {
		size := SizeOf(f)
		path := quick("path", "workshop/foot-scan/fitting-desk", 12)
		path.Rate, path.Service, path.Mean = overheadLoad*size.Capacity, ServiceFixed, size.Mean
		direct := path
		direct.Name, direct.Direct = "direct", backends(f)
		r, err := s.measure(ctx, "overhead", f, []Class{path, direct})
		if err != nil {
			return err
		}
		p, d := r.Classes[0], r.Classes[1]
		for _, q := range []float64{50, 99} {
			s.plain(fmt.Sprintf("p%g through entry and agent / direct, service time %s", q, size.Mean), quotient(p.At(q), d.At(q)))
		}
		return nil
	})
}

func backends(f *dev.Fleet) []string {
	var out []string
	for _, h := range f.Agents {
		out = append(out, h.BackendURL)
	}
	return out
}

// Branches checks that a tree has the branches of a mix.
func Branches(tree settings.Tree, classes []Class) error {
	for _, c := range classes {
		if _, ok := tree.Branches[c.Branch]; !ok {
			return fmt.Errorf("class %q: the tree has no branch %q", c.Name, c.Branch)
		}
	}
	return nil
}
