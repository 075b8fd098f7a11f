// Package loadcli implements the command line of bf-load.
package loadcli

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"runtime/pprof"
	"slices"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"bamboofork/internal/app"
	"bamboofork/internal/load"
)

// options holds the values of the flags and arguments of all subcommands.
type options struct {
	profile, mix, flood, floodBranch, urls, outFile, plotFile, cpuProfileFile, logLevel string
	name, study, baseFile, otherFile, resultFiles                                       string
	loadFactor, floodFactor, capacity                                                   float64
	agentCount, slotsPerAgent                                                           int
	meanService, duration, warmup                                                       time.Duration
	seed                                                                                uint64
	routing                                                                             string
	accountFile                                                                         string
	accountEvery                                                                        int
	accountWorkers                                                                      bool
	hideProgress                                                                        bool
}

func defaultOptions() *options {
	return &options{
		profile: "workshop", mix: "workshop", floodBranch: "workshop/foot-scan/clients-abroad", logLevel: "disabled", name: "run",
		loadFactor: 0.5, floodFactor: 5, meanService: 20 * time.Millisecond, duration: 10 * time.Second, warmup: 3 * time.Second, seed: 1,
	}
}

// Run parses the command line, executes the subcommand and returns the exit code.
func Run(out, errOut io.Writer) int {
	o := defaultOptions()
	run, study, compare, plot := newSubcommands(o)
	account := newAccountCommand(o)
	flaggy.SetName("bf-load")
	flaggy.SetDescription("Generate open-loop load on a fleet, check every response, and compare runs.")
	flaggy.SetVersion(app.Version)
	flaggy.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var err error
	switch {
	case run.Used:
		err = withCPUProfile(o, func() error { return o.runLoad(ctx, out, errOut) })
	case study.Used:
		err = withCPUProfile(o, func() error { return o.runStudy(ctx, out, errOut) })
	case compare.Used:
		err = o.runCompare(out)
	case plot.Used:
		err = o.runPlot()
	case account.Used:
		err = o.runAccount(out)
	default:
		flaggy.ShowHelp("")
		return app.ExitUsage
	}
	if err != nil {
		fmt.Fprintln(errOut, err)
		return app.ExitFailure
	}
	return app.ExitOK
}

func newSubcommands(o *options) (run, study, compare, plot *flaggy.Subcommand) {
	run = flaggy.NewSubcommand("run")
	run.Description = "Run a load against given entries or an in-process fleet."
	addFleetFlags(run, o)
	run.String(&o.urls, "u", "urls", "Base URLs of entries, separated by commas; none starts an in-process fleet.")
	run.Float64(&o.capacity, "", "capacity", "Capacity of the fleet behind --urls in requests/s.")
	run.Float64(&o.loadFactor, "f", "factor", "Offered load as a multiple of the capacity.")
	run.String(&o.flood, "", "flood", "Flood in addition to the mix: "+strings.Join(load.FloodNames(), ", ")+".")
	run.String(&o.floodBranch, "", "flood-branch", "Branch that the flood is sent to.")
	run.Float64(&o.floodFactor, "", "flood-factor", "Rate of the flood as a multiple of the capacity.")
	run.String(&o.name, "n", "name", "Name of the run in the results.")
	run.String(&o.plotFile, "", "plot", "File for an SVG plot.")
	study = flaggy.NewSubcommand("study")
	study.Description = "Run a study, a series of runs on in-process fleets: " + strings.Join(slices.Sorted(maps.Keys(load.Studies)), ", ") + "."
	study.AddPositionalValue(&o.study, "study", 1, true, "Name of the study.")
	addFleetFlags(study, o)
	compare = flaggy.NewSubcommand("compare")
	compare.Description = "Show the ratios of a run to a baseline."
	compare.AddPositionalValue(&o.baseFile, "first", 1, true, "Result file of the baseline.")
	compare.AddPositionalValue(&o.otherFile, "second", 2, true, "Result file of the other run.")
	plot = flaggy.NewSubcommand("plot")
	plot.Description = "Plot the latencies of one or more results as SVG."
	plot.AddPositionalValue(&o.resultFiles, "files", 1, true, "Result files, separated by commas.")
	plot.AddPositionalValue(&o.plotFile, "svg", 2, true, "File to write.")
	for _, c := range []*flaggy.Subcommand{run, study, compare, plot} {
		flaggy.AttachSubcommand(c, 1)
	}
	return run, study, compare, plot
}

func addFleetFlags(c *flaggy.Subcommand, o *options) {
	c.String(&o.profile, "p", "profile", "Deployment of the in-process fleet: workshop or association.")
	c.String(&o.mix, "m", "mix", "Mix of requests: "+strings.Join(load.MixNames(), ", ")+".")
	c.Int(&o.agentCount, "", "agents", "Number of backend servers of the in-process fleet, 0: the deployment's.")
	c.Int(&o.slotsPerAgent, "", "slots", "Slots of each backend server, 0: the deployment's.")
	c.Duration(&o.meanService, "", "service", "Mean service time of quick requests.")
	c.String(&o.routing, "", "routing", "Routing policy of the entries: cost, random or round-robin.")
	c.Duration(&o.duration, "d", "duration", "Length of a run after its warm-up.")
	c.Duration(&o.warmup, "", "warmup", "Warm-up time before a run, which is not measured.")
	c.UInt64(&o.seed, "s", "seed", "Seed of arrivals, callers and service times.")
	c.String(&o.outFile, "o", "out", "File, or prefix of files, for JSON results.")
	c.String(&o.cpuProfileFile, "", "cpu-profile", "File for a CPU profile; samples carry the label role.")
	c.String(&o.logLevel, "l", "log-level", "Log level of the in-process fleet.")
	c.Bool(&o.hideProgress, "q", "quiet", "No progress lines.")
}

func (o *options) progressWriter(errOut io.Writer) io.Writer {
	if o.hideProgress {
		return nil
	}
	return errOut
}

func (o *options) fleetConfig() (load.FleetConfig, error) {
	log, err := app.NewLogger("bf-load", o.logLevel)
	return load.FleetConfig{Profile: o.profile, AgentCount: o.agentCount, SlotsPerAgent: o.slotsPerAgent, MeanService: o.meanService, Routing: o.routing, Log: log}, err
}

func (o *options) runStudy(ctx context.Context, out, errOut io.Writer) error {
	f, err := o.fleetConfig()
	if err != nil {
		return err
	}
	mix := o.mix
	if !strings.HasSuffix(mix, "-quick") {
		mix += "-quick" // studies measure only requests that compete for slots
	}
	s := &load.Study{Fleet: f, Mix: mix, Duration: o.duration, Warmup: o.warmup, Seed: o.seed, Out: out, Progress: o.progressWriter(errOut)}
	if err := s.Run(ctx, o.study); err != nil {
		return err
	}
	if o.outFile == "" {
		return nil
	}
	for i, r := range s.Results {
		if err := r.Write(fmt.Sprintf("%s-%d.json", o.outFile, i+1)); err != nil {
			return err
		}
	}
	return nil
}

func (o *options) runCompare(out io.Writer) error {
	base, err := load.Read(o.baseFile)
	if err != nil {
		return err
	}
	other, err := load.Read(o.otherFile)
	if err != nil {
		return err
	}
	return load.Compare(out, base, other)
}

func (o *options) runPlot() error {
	var results []*load.Result
	for _, file := range strings.Split(o.resultFiles, ",") {
		r, err := load.Read(file)
		if err != nil {
			return err
		}
		results = append(results, r)
	}
	return writePlot(o.plotFile, results...)
}

func writePlot(file string, results ...*load.Result) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := load.Plot(f, "Latency by percentile", results...); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

// withCPUProfile calls do and returns its error. If --cpu-profile is given, it also writes a CPU profile of the call to that file.
func withCPUProfile(o *options, do func() error) error {
	if o.cpuProfileFile == "" {
		return do()
	}
	f, err := os.Create(o.cpuProfileFile)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := pprof.StartCPUProfile(f); err != nil {
		return err
	}
	defer pprof.StopCPUProfile()
	return do()
}
