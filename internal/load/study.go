package load

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"bamboofork/internal/dev"
)

// Study is a series of runs whose figures are ratios to a baseline run of the same series.
type Study struct {
	Fleet       FleetConfig
	Mix         string
	Duration    time.Duration // of each run
	Warmup      time.Duration
	Seed        uint64
	Out         io.Writer
	Progress    io.Writer
	Results     []*Result
	slowServers int // number of backend servers whose service times are multiplied by slowdown
	slowdown    float64
	figures     []figure
}

// figure is a ratio measured by a study, with its goal.
type figure struct {
	name  string
	value float64
	goal  string // "" if the figure has no goal
	met   bool
}

// Studies holds the study functions by name.
var Studies = map[string]func(s *Study, ctx context.Context) error{
	"policies": (*Study).policies,
	"overload": (*Study).overload,
	"flood":    (*Study).flood,
	"outage":   (*Study).outage,
	"overhead": (*Study).overhead,
	"uneven":   (*Study).uneven,
}

// Run runs a study by name and writes its figures.
func (s *Study) Run(ctx context.Context, name string) error {
	study, ok := Studies[name]
	if !ok {
		return fmt.Errorf("unknown study %q", name)
	}
	if err := study(s, ctx); err != nil {
		return err
	}
	return s.report(name)
}

func (s *Study) report(name string) error {
	t := tabwriter.NewWriter(s.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "STUDY %s, seed %d\tVALUE\tGOAL\tMET\n", name, s.Seed)
	for _, f := range s.figures {
		met := "-"
		if f.goal != "" {
			met = fmt.Sprint(f.met)
		}
		fmt.Fprintf(t, "%s\t%.3f\t%s\t%s\n", f.name, f.value, f.goal, met)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, r := range s.Results {
		if n := r.Wrong(); n > 0 {
			return fmt.Errorf("run %s: %d responses did not match their requests", r.Name, n)
		}
	}
	return nil
}

func (s *Study) addAtLeast(name string, value, goal float64) {
	s.figures = append(s.figures, figure{name: name, value: value, goal: fmt.Sprintf(">= %g", goal), met: value >= goal})
}

func (s *Study) addAtMost(name string, value, goal float64) {
	s.figures = append(s.figures, figure{name: name, value: value, goal: fmt.Sprintf("<= %g", goal), met: value <= goal})
}

func (s *Study) addFigure(name string, value float64) {
	s.figures = append(s.figures, figure{name: name, value: value})
}

// measure runs classes against a fleet, keeps the result and writes its table.
func (s *Study) measure(ctx context.Context, name string, f *dev.Fleet, classes []Class) (*Result, error) {
	r, err := Run(ctx, Config{
		Name: name, URLs: EntryURLs(f), Classes: classes, Duration: s.Duration, Warmup: s.Warmup, Seed: s.Seed, Progress: s.Progress,
	})
	if err != nil {
		return nil, err
	}
	s.Results = append(s.Results, r)
	fmt.Fprintf(s.Out, "run %s\n", name)
	return r, r.Table(s.Out)
}

// withFleet calls do with a new fleet, so that no run inherits the estimates of an earlier one.
func (s *Study) withFleet(ctx context.Context, routing string, do func(f *dev.Fleet) error) error {
	cfg := s.Fleet
	cfg.Routing = routing
	f, err := cfg.Start(ctx)
	if err != nil {
		return err
	}
	defer f.Stop() //nolint:errcheck // the result of the run counts
	for i := range s.slowServers {
		f.Agents[fmt.Sprintf("agent-%d", i+1)].Backend.SetSlowdown(s.slowdown)
	}
	return do(f)
}

// effectiveSize returns the capacity of a fleet, reduced by the slowdown of its slow servers.
func (s *Study) effectiveSize(f *dev.Fleet) Size {
	size := SizeOf(f)
	if s.slowServers > 0 {
		n := float64(f.Profile.Agents)
		size.Capacity *= (n - float64(s.slowServers)*(1-1/s.slowdown)) / n
	}
	return size
}

// runMix measures the mix at a multiple of the capacity on a new fleet, together with the extra classes if there are any.
func (s *Study) runMix(ctx context.Context, name, routing string, factor float64, extra func(Size) ([]Class, error)) (out *Result, err error) {
	err = s.withFleet(ctx, routing, func(f *dev.Fleet) error {
		classes, err := Mix(s.Mix, s.effectiveSize(f), factor)
		if err != nil {
			return err
		}
		if extra != nil {
			more, err := extra(SizeOf(f))
			if err != nil {
				return err
			}
			classes = append(classes, more...)
		}
		out, err = s.measure(ctx, name, f, classes)
		return err
	})
	return out, err
}
