package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// Table writes the counts, the goodput and the latencies of each class as a row of a table. Below the table it writes the reasons
// why requests were not done.
func (r *Result) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "CLASS\tARRIVED\tDONE\tREFUSED\tUNKNOWN\tFAILED\tWRONG\tGOODPUT/S\tP50\tP99\tP99.9\tMAX\t\n")
	for _, c := range r.Classes {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%s\t%s\t%s\t%s\t\n", c.Class.Name, c.Arrived,
			c.CountByOutcome["done"], c.CountByOutcome["refused"], c.CountByOutcome["unknown"], c.CountByOutcome["failed"],
			c.CountByOutcome["wrong"], c.Goodput,
			formatMillis(c.LatencyAt(50)), formatMillis(c.LatencyAt(99)), formatMillis(c.LatencyAt(99.9)), formatMillis(c.LatencyAt(100)))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, c := range r.Classes {
		for _, reason := range slices.Sorted(maps.Keys(c.CountByReason)) {
			fmt.Fprintf(w, "  %s: %d %s\n", c.Class.Name, c.CountByReason[reason], reason)
		}
	}
	return nil
}

func formatMillis(d time.Duration) string {
	return fmt.Sprintf("%.2fms", float64(d)/float64(time.Millisecond))
}

// formatRatio formats a/b, or returns "-" if b is 0.
func formatRatio(a, b float64) string {
	if b == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", a/b)
}

// Compare writes the figures of other as ratios to the figures of base, for each class that both results have. It returns an
// error if they have no class in common.
func Compare(w io.Writer, base, other *Result) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "%s / %s\tDONE SHARE\tGOODPUT\tP50\tP99\tP99.9\t\n", other.Name, base.Name)
	hasCommonClass := false
	for _, b := range base.Classes {
		o, ok := other.Class(b.Class.Name)
		if !ok {
			continue
		}
		hasCommonClass = true
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t\n", b.Class.Name, formatRatio(o.DoneShare(), b.DoneShare()), formatRatio(o.Goodput, b.Goodput),
			formatRatio(float64(o.LatencyAt(50)), float64(b.LatencyAt(50))), formatRatio(float64(o.LatencyAt(99)), float64(b.LatencyAt(99))),
			formatRatio(float64(o.LatencyAt(99.9)), float64(b.LatencyAt(99.9))))
	}
	if !hasCommonClass {
		return fmt.Errorf("the runs have no class in common")
	}
	return t.Flush()
}
