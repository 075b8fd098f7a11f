// Command bf-scale runs fleets in one process over an in-memory network with loss and delay. It measures the cost of membership and of
// settings dissemination per node. The nodes run only these two protocols and report a simulated load.
package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"bamboofork/internal/app"
	"bamboofork/internal/scale"
)

func main() {
	cfg := scale.Config{Domains: 4, RackSize: 16, Entries: 3, Delay: 4 * time.Millisecond, Branches: 200, SteadyDuration: 20 * time.Second, EditCount: 20, Departures: 5}
	nodeCounts, lossRates, seed := "10,50,200", "0.01,0.05", 1
	flaggy.SetName("bf-scale")
	flaggy.SetDescription("Measure membership and settings dissemination per node.")
	flaggy.SetVersion(app.Version)
	flaggy.String(&nodeCounts, "n", "nodes", "Node counts, comma-separated.")
	flaggy.String(&lossRates, "l", "loss", "Message loss between failure domains, comma-separated fractions.")
	flaggy.Int(&cfg.Domains, "d", "domains", "Number of failure domains.")
	flaggy.Int(&cfg.RackSize, "r", "rack", "Nodes per rack within a failure domain.")
	flaggy.Int(&cfg.Entries, "e", "entries", "Number of entries.")
	flaggy.Int(&cfg.MaxScopeMembers, "f", "full-limit", "Maximum number of members of a scope before it is narrowed; 0: the default.")
	flaggy.Int(&cfg.Branches, "b", "branches", "Number of branches of the settings tree.")
	flaggy.Int(&cfg.EditCount, "", "edits", "Number of edits whose propagation is measured.")
	flaggy.Int(&cfg.Departures, "", "churn", "Number of nodes that leave, and of nodes that crash.")
	flaggy.Int(&seed, "s", "seed", "Seed of message loss and load.")
	flaggy.Bool(&cfg.DomainLoadReports, "u", "unmerged", "Baseline: load reports are not merged per rack.")
	flaggy.Duration(&cfg.Delay, "", "delay", "One-way delay between failure domains.")
	flaggy.Duration(&cfg.SteadyDuration, "t", "steady", "Length of the steady phase, in which all nodes are alive.")
	measureTrees := false
	flaggy.Bool(&measureTrees, "", "trees", "Measure the cost of an edit against the size of the tree instead.")
	flaggy.Parse()
	cfg.Seed = uint64(seed)
	if measureTrees {
		os.Exit(measureTreeSizes(cfg.Seed))
	}
	os.Exit(run(cfg, nodeCounts, lossRates))
}

// run measures a fleet for each combination of loss rate and node count. Both lists are comma-separated. run returns the exit code.
func run(cfg scale.Config, nodeCounts, lossRates string) int {
	for _, loss := range strings.Split(lossRates, ",") {
		lossRate, err := strconv.ParseFloat(loss, 64)
		if err != nil || lossRate < 0 || lossRate >= 1 {
			fmt.Fprintf(os.Stderr, "loss %q: must be a number of at least 0 and below 1\n", loss)
			return app.ExitUsage
		}
		cfg.LossRate = lossRate
		if code := runNodeCounts(cfg, nodeCounts); code != app.ExitOK {
			return code
		}
	}
	return app.ExitOK
}

// measureTreeSizes measures the cost of an edit for settings trees of 200, 2000 and 10000 branches, prints the results and returns
// the exit code.
func measureTreeSizes(seed uint64) int {
	if err := scale.MeasureAndPrintTrees(os.Stdout, []int{200, 2000, 10000}, seed); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return app.ExitFailure
	}
	return app.ExitOK
}

// runNodeCounts measures one fleet for each node count of the comma-separated list, prints the results and returns the exit code.
func runNodeCounts(cfg scale.Config, nodeCounts string) int {
	results := []scale.Result{}
	for _, size := range strings.Split(nodeCounts, ",") {
		n, err := strconv.Atoi(size)
		if err != nil || n < cfg.Entries+2 || n > 1000 {
			fmt.Fprintf(os.Stderr, "nodes %q: must be an integer from entries+2 to 1000\n", size)
			return app.ExitUsage
		}
		cfg.Nodes = n
		r, err := scale.Run(context.Background(), cfg)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return app.ExitFailure
		}
		r.Print(os.Stdout)
		results = append(results, r)
	}
	scale.PrintFits(os.Stdout, results)
	return app.ExitOK
}
