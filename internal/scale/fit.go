package scale

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// LinearFit is a least-squares line y = Intercept + Slope*x.
type LinearFit struct{ Intercept, Slope float64 }

// FitLine returns the least-squares line through the points (x[i], y[i]). With fewer than two distinct x values, the slope is 0 and the
// intercept is the mean of y.
func FitLine(x, y []float64) LinearFit {
	n, sumX, sumY, sumXX, sumXY := float64(len(x)), 0.0, 0.0, 0.0, 0.0
	for i := range x {
		sumX, sumY = sumX+x[i], sumY+y[i]
		sumXX, sumXY = sumXX+x[i]*x[i], sumXY+x[i]*y[i]
	}
	denominator := n*sumXX - sumX*sumX
	if n == 0 || denominator == 0 {
		return LinearFit{Intercept: sumY / max(n, 1)}
	}
	slope := (n*sumXY - sumX*sumY) / denominator
	return LinearFit{Intercept: (sumY - slope*sumX) / n, Slope: slope}
}

// Print writes the result of one run as text.
func (r Result) Print(w io.Writer) {
	c := r.Config
	fmt.Fprintf(w, "nodes %d domains %d rack %d entries %d loss %.0f%% delay %v branches %d seed %d unmerged %v\n",
		c.Nodes, c.Domains, c.RackSize, c.Entries, c.LossRate*100, c.Delay, c.Branches, c.Seed, c.DomainLoadReports)
	for _, role := range slices.Sorted(maps.Keys(r.Roles)) {
		cost := r.Roles[role]
		fmt.Fprintf(w, "  %-6s n %3d  sent B/s p50 %.0f max %.0f  received B/s p50 %.0f max %.0f  calls/s %.1f  connections %.1f  members %.1f\n",
			role, cost.Nodes, cost.SentRate.P50, cost.SentRate.Max, cost.ReceivedRate.P50, cost.ReceivedRate.Max, cost.CallRate, cost.MeanConnections, cost.MeanMembers)
	}
	fmt.Fprintf(w, "  cpu per node %.3f%% of a core  heap per node %.2f MB  settings ready after %.1fs  incorrect member entries %d\n",
		100*r.CPUPerNode, r.HeapMBPerNode, r.ReadyAfter.Seconds(), r.IncorrectMembers)
	fmt.Fprintf(w, "  age of load reports s p50 %.2f p99 %.2f max %.2f\n", r.LoadReportAge.P50, r.LoadReportAge.P99, r.LoadReportAge.Max)
	fmt.Fprintf(w, "  store calls/s")
	for _, kind := range slices.Sorted(maps.Keys(r.StoreCallRates)) {
		fmt.Fprintf(w, " %s %.2f", kind, r.StoreCallRates[kind])
	}
	fmt.Fprintf(w, " open watches %.0f\n", r.OpenWatches)
	fmt.Fprintf(w, "  settings active after s p50 %.3f p99 %.3f max %.3f (n %d, late %d)\n",
		r.PropagationSeconds.P50, r.PropagationSeconds.P99, r.PropagationSeconds.Max, r.PropagationCount, r.LateEdits)
	fmt.Fprintf(w, "  not eligible at any entry after s: leaving p50 %.3f max %.3f, crashed p50 %.3f max %.3f, failure domain %.3f, %.0f B/s sent per remaining node (undetected %d)\n",
		r.LeaveDetectionSeconds.P50, r.LeaveDetectionSeconds.Max, r.CrashDetectionSeconds.P50, r.CrashDetectionSeconds.Max,
		r.DomainLossSeconds, r.DomainLossSentRate, r.UndetectedDepartures)
}

// PrintFits writes a linear fit of each cost against the number of nodes.
func PrintFits(w io.Writer, results []Result) {
	nodes, sent, cpu, heap, calls := []float64{}, []float64{}, []float64{}, []float64{}, []float64{}
	for _, r := range results {
		nodes = append(nodes, float64(r.Config.Nodes))
		sent = append(sent, r.Roles[RoleAgent].SentRate.P50)
		cpu = append(cpu, 100*r.CPUPerNode)
		heap = append(heap, r.HeapMBPerNode)
		callRate := r.OpenWatches
		for _, n := range r.StoreCallRates {
			callRate += n
		}
		calls = append(calls, callRate)
	}
	printFit := func(name, unit string, y []float64) {
		f := FitLine(nodes, y)
		fmt.Fprintf(w, "fit %s: %.4g + %.4g per node %s\n", name, f.Intercept, f.Slope, unit)
	}
	printFit("bytes sent by an agent", "B/s", sent)
	printFit("cpu of a node", "% of a core", cpu)
	printFit("heap of a node", "MB", heap)
	printFit("store calls of the fleet, open watches included", "calls/s", calls)
}
