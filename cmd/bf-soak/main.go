// Command bf-soak runs a fleet in one process under overlapping faults. It checks that no request or task was lost, run twice or
// reported with a wrong outcome.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"

	"bamboofork/internal/app"
	"bamboofork/internal/dev"
	"bamboofork/internal/soak"
)

func main() {
	cfg := soak.Config{Seed: 1, Duration: time.Minute, SettleTimeout: soak.DefaultSettleTimeout, InjectorCount: soak.DefaultInjectorCount}
	level, format := "fatal", "table"
	flaggy.SetName("bf-soak")
	flaggy.SetDescription("Run a fleet under faults and check that no work is lost, run twice or misreported.")
	flaggy.SetVersion(app.Version)
	flaggy.UInt64(&cfg.Seed, "s", "seed", "Seed of faults and load.")
	flaggy.Duration(&cfg.Duration, "d", "duration", "Time under faults.")
	flaggy.Duration(&cfg.SettleTimeout, "", "settle", "Maximum wait for the accepted work to end after the faults.")
	flaggy.Int(&cfg.InjectorCount, "", "injectors", "Number of concurrent fault injectors.")
	flaggy.String(&level, "l", "log-level", "Log level of the fleet.")
	flaggy.String(&format, "o", "output", "Output format: table or json.")
	flaggy.Parse()
	os.Exit(run(cfg, level, format))
}

func run(cfg soak.Config, level, format string) int {
	log, err := app.NewLogger("bf-soak", level)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return app.ExitUsage
	}
	profile, err := dev.Workshop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return app.ExitFailure
	}
	report, err := soak.RunSoak(context.Background(), cfg, soak.WithShortTimeouts(profile), log, func(line string) { fmt.Fprintln(os.Stderr, line) })
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return app.ExitFailure
	}
	if err := printReport(report, format); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return app.ExitFailure
	}
	if len(report.Failures) > 0 {
		return app.ExitFailure
	}
	return app.ExitOK
}

// printReport prints the report to the standard output as JSON if format is json, else as a table.
func printReport(report soak.Report, format string) error {
	if format == "json" {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(report)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "seed\t%d\nseconds\t%.0f\ninvariant checks\t%d\norders\t%d\njobs\t%d\ntask starts\t%d\n",
		report.Seed, report.Seconds, report.InvariantChecks, report.Orders, report.Jobs, report.TaskStarts)
	for _, name := range report.CountNames() {
		fmt.Fprintf(w, "%s\t%d\n", name, report.Counts[name])
	}
	fmt.Fprintf(w, "failures\t%d\n", len(report.Failures))
	for _, f := range report.Failures {
		fmt.Fprintf(w, "FAILED\t%s\n", f)
	}
	return w.Flush()
}
