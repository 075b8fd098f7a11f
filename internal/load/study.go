package load

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"bamboofork/internal/dev"
)

// Study is a series of runs on in-process fleets. Its figures compare the results of these runs, mostly as ratios.
type Study struct {
	Fleet           FleetConfig
	Mix             string
	Duration        time.Duration // of each run
	Warmup          time.Duration
	Seed            uint64
	Out             io.Writer
	Progress        io.Writer
	Results         []*Result
	slowServerCount int // number of backend servers whose service times are multiplied by slowdownFactor
	slowdownFactor  float64
	figures         []figure
}

// figure is a value that a study has measured. goalMet says whether the value meets the goal.
type figure struct {
	name    string
	value   float64
	goal    string // "" if the figure has no goal
	goalMet bool
}

// Studies holds the functions that run the studies, by the name of the study.
var Studies = map[string]func(s *Study, ctx context.Context) error{
	"policies": (*Study).studyPolicies,
	"overload": (*Study).studyOverload,
	"flood":    (*Study).studyFlood,
	"outage":   (*Study).studyOutage,
	"overhead": (*Study).studyOverhead,
	"uneven":   (*Study).studyUneven,
}

// Run runs the study with the name and writes its figures to Out. It returns an error if a response did not match its request.
func (s *Study) Run(ctx context.Context, name string) error {
	study, ok := Studies[name]
	if !ok {
		return fmt.Errorf("unknown study %q", name)
	}
	if err := study(s, ctx); err != nil {
		return err
	}
	return s.writeFigures(name)
}

func (s *Study) writeFigures(name string) error {
	t := tabwriter.NewWriter(s.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "STUDY %s, seed %d\tVALUE\tGOAL\tMET\n", name, s.Seed)
	for _, f := range s.figures {
		met := "-"
		if f.goal != "" {
			met = fmt.Sprint(f.goalMet)
		}
		fmt.Fprintf(t, "%s\t%.3f\t%s\t%s\n", f.name, f.value, f.goal, met)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, r := range s.Results {
		if n := r.WrongCount(); n > 0 {
			return fmt.Errorf("run %s: %d responses did not match their requests", r.Name, n)
		}
	}
	return nil
}

func (s *Study) addAtLeast(name string, value, goal float64) {
	s.figures = append(s.figures, figure{name: name, value: value, goal: fmt.Sprintf(">= %g", goal), goalMet: value >= goal})
}

func (s *Study) addAtMost(name string, value, goal float64) {
	s.figures = append(s.figures, figure{name: name, value: value, goal: fmt.Sprintf("<= %g", goal), goalMet: value <= goal})
}

func (s *Study) addFigure(name string, value float64) {
	s.figures = append(s.figures, figure{name: name, value: value})
}

// runClasses generates the load of the classes on a fleet. It adds the result to Results, writes its table to Out and returns it.
func (s *Study) runClasses(ctx context.Context, name string, f *dev.Fleet, classes []Class) (*Result, error) {
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

// withFleet starts a fleet with the routing policy and the slow servers of the study, calls do with the fleet, and stops the fleet.
// A new fleet ensures that no run inherits the routing estimates of an earlier run.
func (s *Study) withFleet(ctx context.Context, routing string, do func(f *dev.Fleet) error) error {
	cfg := s.Fleet
	cfg.Routing = routing
	f, err := cfg.Start(ctx)
	if err != nil {
		return err
	}
	defer f.Stop() //nolint:errcheck // the result of the run counts
	for i := range s.slowServerCount {
		f.Agents[fmt.Sprintf("agent-%d", i+1)].Backend.SetSlowdown(s.slowdownFactor)
	}
	return do(f)
}

// effectiveSize returns the size of a fleet, with the capacity reduced by the slowdown of the slow servers.
func (s *Study) effectiveSize(f *dev.Fleet) FleetSize {
	size := SizeOf(f)
	if s.slowServerCount > 0 {
		n := float64(f.Profile.Agents)
		size.Capacity *= (n - float64(s.slowServerCount)*(1-1/s.slowdownFactor)) / n
	}
	return size
}

// runMix generates the load of the study's mix on a new fleet, at factor times the capacity, and returns the result. The load
// includes the classes that extraClasses returns, unless extraClasses is nil.
func (s *Study) runMix(ctx context.Context, name, routing string, factor float64, extraClasses func(FleetSize) ([]Class, error)) (out *Result, err error) {
	err = s.withFleet(ctx, routing, func(f *dev.Fleet) error {
		classes, err := Mix(s.Mix, s.effectiveSize(f), factor)
		if err != nil {
			return err
		}
		if extraClasses != nil {
			more, err := extraClasses(SizeOf(f))
			if err != nil {
				return err
			}
			classes = append(classes, more...)
		}
		out, err = s.runClasses(ctx, name, f, classes)
		return err
	})
	return out, err
}
