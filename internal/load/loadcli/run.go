package loadcli

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"strings"

	"bamboofork/internal/load"
)

// runLoad executes the subcommand run: it generates load, writes the table of the result to out, and writes the output files.
func (o *options) runLoad(ctx context.Context, out, errOut io.Writer) error {
	urls, size, stop, err := o.startTarget(ctx)
	if err != nil {
		return err
	}
	defer stop()
	classes, err := o.classes(size)
	if err != nil {
		return err
	}
	r, err := load.Run(ctx, load.Config{
		Name: o.name, URLs: urls, Classes: classes, Duration: o.duration, Warmup: o.warmup, Seed: o.seed, Progress: o.progressWriter(errOut),
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: mix %s at %g times %.0f requests/s, seed %d, %d processors\n", r.Name, o.mix, o.loadFactor, size.Capacity, o.seed, runtime.GOMAXPROCS(0))
	if err := r.Table(out); err != nil {
		return err
	}
	return o.writeFiles(r)
}

// startTarget returns the base URLs of the entries to send load to, the size of the fleet behind them, and a function that releases
// the target. Without --urls, it starts an in-process fleet, which the function stops.
func (o *options) startTarget(ctx context.Context) ([]string, load.FleetSize, func(), error) {
	if o.urls != "" {
		if o.capacity <= 0 {
			return nil, load.FleetSize{}, nil, fmt.Errorf("--urls needs --capacity")
		}
		return strings.Split(o.urls, ","), load.FleetSize{Capacity: o.capacity, MeanService: o.meanService}, func() {}, nil
	}
	fleetCfg, err := o.fleetConfig()
	if err != nil {
		return nil, load.FleetSize{}, nil, err
	}
	f, err := fleetCfg.Start(ctx)
	if err != nil {
		return nil, load.FleetSize{}, nil, err
	}
	return load.EntryURLs(f), load.SizeOf(f), func() { f.Stop() }, nil //nolint:errcheck // the result of the run counts
}

func (o *options) classes(size load.FleetSize) ([]load.Class, error) {
	classes, err := load.Mix(o.mix, size, o.loadFactor)
	if err != nil || o.flood == "" {
		return classes, err
	}
	flood, err := load.Flood(o.flood, o.floodBranch, o.floodFactor*size.Capacity, size.MeanService)
	return append(classes, flood), err
}

// writeFiles writes the result and the plot to the files that the flags name. It then returns an error if any response did not
// match its request.
func (o *options) writeFiles(r *load.Result) error {
	if o.outFile != "" {
		if err := r.Write(o.outFile); err != nil {
			return err
		}
	}
	if o.plotFile != "" {
		if err := writePlot(o.plotFile, r); err != nil {
			return err
		}
	}
	if n := r.WrongCount(); n > 0 {
		return fmt.Errorf("%d responses did not match their requests", n)
	}
	return nil
}
