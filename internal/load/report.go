package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// Table writes a row for each class, followed by the reasons why requests were not done.
func (r *Result) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "CLASS\tARRIVED\tDONE\tREFUSED\tUNKNOWN\tFAILED\tWRONG\tGOODPUT/S\tP50\tP99\tP99.9\tMAX\t\n")
	for _, c := range r.Classes {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%s\t%s\t%s\t%s\t\n", c.Class.Name, c.Arrived,
			c.Count["done"], c.Count["refused"], c.Count["unknown"], c.Count["failed"], c.Count["wrong"], c.Goodput,
			formatMillis(c.LatencyAt(50)), formatMillis(c.LatencyAt(99)), formatMillis(c.LatencyAt(99.9)), formatMillis(c.LatencyAt(100)))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, c := range r.Classes {
		for _, why := range slices.Sorted(maps.Keys(c.Reasons)) {
			fmt.Fprintf(w, "  %s: %d %s\n", c.Class.Name, c.Reasons[why], why)
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

// Compare writes the figures of other as ratios to those of base, for the classes that both have.
func Compare(w io.Writer, base, other *Result) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "%s / %s\tDONE SHARE\tGOODPUT\tP50\tP99\tP99.9\t\n", other.Name, base.Name)
	found := false
	for _, b := range base.Classes {
		o, ok := other.Class(b.Class.Name)
		if !ok {
			continue
		}
		found = true
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t\n", b.Class.Name, formatRatio(o.DoneShare(), b.DoneShare()), formatRatio(o.Goodput, b.Goodput),
			formatRatio(float64(o.LatencyAt(50)), float64(b.LatencyAt(50))), formatRatio(float64(o.LatencyAt(99)), float64(b.LatencyAt(99))),
			formatRatio(float64(o.LatencyAt(99.9)), float64(b.LatencyAt(99.9))))
	}
	if !found {
		return fmt.Errorf("the runs have no class in common")
	}
	return t.Flush()
}
