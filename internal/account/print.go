package account

import (
	"fmt"
	"io"
	"strings"
)

// plotColumns is the width of a bar of the plot in characters.
const plotColumns = 64

// Write writes the account: the totals, a table and a plot with one line for everySeconds seconds, the paths of the jobs and the workers. Seconds are
// counted from the first line of the log.
func (d *Day) Write(w io.Writer, everySeconds int, withWorkers bool) {
	seconds := d.Seconds()
	var total Use
	for i := range seconds {
		total.add(&seconds[i].Total)
	}
	fmt.Fprintf(w, "%d workers, %d runs, %d seconds\n", len(d.Workers), len(d.order), len(seconds))
	if d.UnplacedRuns > 0 {
		fmt.Fprintf(w, "%d runs are missing: the log has no line about their placement\n", d.UnplacedRuns)
	}
	fmt.Fprintln(w)
	d.writeTotals(w, &total)
	d.writeSeconds(w, seconds, max(1, everySeconds))
	d.writePaths(w)
	if withWorkers {
		d.writeWorkers(w, seconds)
	}
}

func (d *Day) writeTotals(w io.Writer, u *Use) {
	fmt.Fprintf(w, "%-12s %12s %7s\n", "use", "core-s", "share")
	row := func(name string, v float64) {
		fmt.Fprintf(w, "%-12s %12.0f %6.1f%%\n", name, v, 100*v/max(1, u.Capacity))
	}
	row("capacity", u.Capacity)
	row("serving", u.Serving)
	row("short", u.Short)
	row("best effort", u.BestEffort)
	row("thrown away", u.Thrown)
	row("starting", u.Starting)
	row("unused", u.Unused())
	fmt.Fprintln(w, "wanted and not had:")
	row("paced", u.Paced)
	row("no owner", u.NoOwner)
	row("no room", u.NoRoom)
	fmt.Fprintln(w)
}

func (d *Day) writeSeconds(w io.Writer, seconds []Second, every int) {
	fmt.Fprintln(w, "share of the capacity in percent; plot: S serving, s short, b best effort, x thrown away, i starting, . unused | p paced, o no owner, w no room")
	fmt.Fprintf(w, "%6s %5s %5s %5s %5s %5s %5s %6s %6s %6s %8s %5s\n", "second", "serv", "short", "best", "thrwn", "start", "unusd", "paced", "noownr", "noroom", "over/by", "load")
	for i := 0; i < len(seconds); i += every {
		var u Use
		over, beside, serving, load, seen := 0, 0, 0, 0.0, 0
		for _, s := range seconds[i:min(len(seconds), i+every)] {
			u.add(&s.Total)
			if s.Over >= 0 {
				over, beside, serving, load, seen = over+s.Over, beside+s.Beside, serving+s.Serving, load+s.Load, seen+1
			}
		}
		if u.Capacity == 0 {
			continue
		}
		share := func(v float64) float64 { return 100 * v / u.Capacity }
		harmed := "-"
		if serving > 0 {
			harmed = fmt.Sprintf("%.1f/%.1f", 100*float64(over)/float64(serving), 100*float64(beside)/float64(serving))
		}
		fmt.Fprintf(w, "%6d %5.1f %5.1f %5.1f %5.1f %5.1f %5.1f %6.1f %6.1f %6.1f %8s %5.2f %s\n", i, share(u.Serving), share(u.Short), share(u.BestEffort), share(u.Thrown),
			share(u.Starting), share(u.Unused()), share(u.Paced), share(u.NoOwner), share(u.NoRoom), harmed, load/float64(max(1, seen)), bar(&u))
	}
	fmt.Fprintln(w)
}

// bar returns the plot of one line.
func bar(u *Use) string {
	var b strings.Builder
	drawn, sum := 0, 0.0
	draw := func(symbol string, v float64) {
		sum += v
		upTo := int(sum/u.Capacity*plotColumns + 0.5)
		if n := min(2*plotColumns, upTo) - drawn; n > 0 {
			b.WriteString(strings.Repeat(symbol, n))
			drawn += n
		}
	}
	draw("S", u.Serving)
	draw("s", u.Short)
	draw("b", u.BestEffort)
	draw("x", u.Thrown)
	draw("i", u.Starting)
	draw(".", u.Unused())
	b.WriteString("|")
	draw("p", u.Paced)
	draw("o", u.NoOwner)
	draw("w", u.NoRoom)
	return b.String()
}

func (d *Day) writePaths(w io.Writer) {
	fmt.Fprintln(w, "completed jobs, ms of the tasks that ended their steps, mean for each job")
	fmt.Fprintf(w, "%-16s %5s %7s %7s %6s %7s %7s %6s %7s %7s %7s %7s %9s\n", "queue", "jobs", "total", "est", "ack", "noownr", "wait", "start", "lost", "paced", "excess", "behind", "lost runs")
	for _, p := range d.Paths() {
		fmt.Fprintf(w, "%-16s %5d %7.0f %7.0f %6.0f %7.0f %7.0f %6.0f %7.0f %7.0f %7.0f %7.0f %9.2f\n", p.Queue, p.Jobs, p.TotalMs, p.EstMs, p.AckMs, p.NoOwnerMs, p.WaitMs,
			p.StartMs, p.LostMs, p.PacedMs, p.ExcessMs, p.BehindMs, p.LostRuns)
	}
	fmt.Fprintln(w)
}

func (d *Day) writeWorkers(w io.Writer, seconds []Second) {
	byWorker := map[string]*Use{}
	for i := range seconds {
		for name, u := range seconds[i].ByWorker {
			if byWorker[name] == nil {
				byWorker[name] = &Use{}
			}
			byWorker[name].add(u)
		}
	}
	fmt.Fprintln(w, "workers; speed: median of run time to declared run time, without paces")
	fmt.Fprintf(w, "%-24s %6s %6s %6s %6s %5s %5s %5s %5s %5s %5s %6s\n", "worker", "cores", "runs", "failed", "stoppd", "speed", "serv", "short", "best", "thrwn", "unusd", "paced")
	for _, s := range d.Speeds() {
		u := byWorker[s.Worker.Name]
		if u == nil || u.Capacity == 0 {
			continue
		}
		share := func(v float64) float64 { return 100 * v / u.Capacity }
		fmt.Fprintf(w, "%-24s %6.1f %6d %6d %6d %5.2f %5.1f %5.1f %5.1f %5.1f %5.1f %6.1f\n", s.Worker.Name, float64(s.Worker.CPU)/1000, s.Runs, s.Failed, s.Stopped, s.MedianRatio,
			share(u.Serving), share(u.Short), share(u.BestEffort), share(u.Thrown), share(u.Unused()), share(u.Paced))
	}
}
