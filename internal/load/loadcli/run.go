package loadcli

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"strings"

	"bamboofork/internal/load"
)

// runLoad is the subcommand run.
func (o *options) runLoad(ctx context.Context, out, errOut io.Writer) error {
	urls, size, stop, err := o.entries(ctx)
	if err != nil {
		return err
	}
	defer stop()
	classes, err := o.classes(size)
	if err != nil {
		return err
	}
	r, err := load.Run(ctx, load.Config{
		Name: o.name, URLs: urls, Classes: classes, Duration: o.duration, Warmup: o.warmup, Seed: o.seed, Progress: o.progress(errOut),
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: mix %s at %g times %.0f requests/s, seed %d, %d processors\n", r.Name, o.mix, o.factor, size.Capacity, o.seed, runtime.GOMAXPROCS(0))
	if err := r.Table(out); err != nil {
		return err
	}
	return o.keep(r)
}

// entries returns the entries to load and their capacity.
func (o *options) entries(ctx context.Context) ([]string, load.Size, func(), error) {
	if o.urls != "" {
		if o.capacity <= 0 {
			return nil, load.Size{}, nil, fmt.Errorf("--urls needs --capacity")
		}
		return strings.Split(o.urls, ","), load.Size{Capacity: o.capacity, Mean: o.service}, func() {}, nil
	}
	spec, err := o.fleet()
	if err != nil {
		return nil, load.Size{}, nil, err
	}
	f, err := spec.Start(ctx)
	if err != nil {
		return nil, load.Size{}, nil, err
	}
	return load.URLs(f), load.SizeOf(f), func() { f.Stop() }, nil //nolint:errcheck // the result of the run counts
}

func (o *options) classes(size load.Size) ([]load.Class, error) {
	classes, err := load.Mix(o.mix, size, o.factor)
	if err != nil || o.flood == "" {
		return classes, err
	}
	flood, err := load.Flood(o.flood, o.target, o.floodFactor*size.Capacity, size.Mean)
	return append(classes, flood), err
}

// keep writes the files that were asked for and fails the run on answers that did not fit.
func (o *options) keep(r *load.Result) error {
	if o.out != "" {
		if err := r.Write(o.out); err != nil {
			return err
		}
	}
	if o.plot != "" {
		if err := writePlot(o.plot, r); err != nil {
			return err
		}
	}
	if n := r.Wrong(); n > 0 {
		return fmt.Errorf("%d answers did not fit their requests", n)
	}
	return nil
}
