package account_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/account"
)

// log builds log lines of one owner; times are in ms after the start.
type log struct{ strings.Builder }

func (l *log) line(process string, atMs int64, event int, format string, args ...any) {
	fmt.Fprintf(l, `{"level":"info","process":%q,"event":%d,%s,"time":%d}`+"\n", process, event, fmt.Sprintf(format, args...), 1_000_000+atMs)
}

func (l *log) placed(atMs int64, task string, run int, agent, kind string, cpu int, paceAndEst ...int) {
	l.line("o1", atMs, 3611, `"job":"j","task":%q,"run":%d,"agent":%q,"kind":%q,"cpu":%d,"pace":%d,"est_ms":%d`, task, run, agent, kind, cpu, paceAndEst[0], paceAndEst[1])
}

func (l *log) ended(atMs int64, task string, run int, how string, kept bool) {
	l.line("o1", atMs, 3612, `"job":"j","task":%q,"run":%d,"how":%q,"kept":%v`, task, run, how, kept)
}

func read(c *qt.C, text string) *account.Day {
	day, err := account.Read(strings.NewReader(text))
	c.Assert(err, qt.IsNil)
	return day
}

// Two tasks of one step: one is slowed, stopped and run again, while the other one is done at once; the owner is away for a while.
func exampleLog() *log {
	l := &log{}
	l.line("o1", 0, 3601, `"epoch":1`)
	l.line("o1", 0, 3607, `"agent":"w1","cpu":10000`)
	l.line("o1", 0, 3607, `"agent":"w2","cpu":20000`)
	l.line("o1", 0, 3101, `"job":"j","queue":"q","after_ms":0`)
	l.placed(0, "j.0.0.0", 1, "w1", "best_effort", 4000, 100, 1000)
	l.placed(0, "j.0.0.1", 1, "w2", "best_effort", 4000, 100, 1000)
	l.line("o1", 1000, 3619, `"task":"j.0.0.0","run":1,"to":50`)
	l.ended(1000, "j.0.0.1", 1, "done", false)
	l.ended(2000, "j.0.0.0", 1, "stopped", false)
	l.line("o1", 2000, 3602, `"cause":"x"`)
	l.line("o2", 2500, 3601, `"epoch":2`)
	l.placed(3000, "j.0.0.0", 2, "w2", "best_effort", 4000, 100, 1000)
	l.line("w2", 3100, 2711, `"task":"j.0.0.0","run":2`)
	l.ended(4100, "j.0.0.0", 2, "done", false)
	l.line("o1", 4100, 3614, `"job":"j","state":"completed"`)
	return l
}

func TestSecondsSayWhatBecameOfTheCPUTime(t *testing.T) {
	c := qt.New(t)
	seconds := read(c, exampleLog().String()).Seconds()
	c.Assert(seconds, qt.HasLen, 5)
	first := seconds[0]
	c.Check(first.Total.Capacity, qt.Equals, 30.0)
	c.Check(first.ByWorker["w1"].Thrown, qt.Equals, 4.0) // stopped later, and the work was not kept
	c.Check(first.ByWorker["w2"].BestEffort, qt.Equals, 4.0)
	c.Check(seconds[1].Total.Thrown, qt.Equals, 2.0)
	c.Check(seconds[1].Total.Paced, qt.Equals, 2.0)
	c.Check(seconds[2].Total.NoOwner, qt.Equals, 2.0)
	c.Check(seconds[2].Total.NoRoom, qt.Equals, 2.0)
	c.Check(seconds[3].Total.Starting > 0.39 && seconds[3].Total.Starting < 0.41, qt.IsTrue)
}

func TestPathFollowsTheTaskThatEndsLast(t *testing.T) {
	c := qt.New(t)
	paths := read(c, exampleLog().String()).Paths()
	c.Assert(paths, qt.HasLen, 1)
	c.Check(paths[0], qt.Equals, account.Path{Queue: "q", Jobs: 1, TotalMs: 4100, EstMs: 1000, NoOwnerMs: 500, WaitMs: 500, StartMs: 100,
		LostMs: 1500, PacedMs: 500, ExcessMs: 0, BehindMs: 0, LostRuns: 1})
}

func TestLinesOfSeveralProcessesMayBeMixed(t *testing.T) {
	c := qt.New(t)
	text := strings.ReplaceAll(exampleLog().String(), "}\n", `}  -2.1 side-7 {"level":"info","pro`)
	c.Check(read(c, text).Paths(), qt.DeepEquals, read(c, exampleLog().String()).Paths())
	c.Check(read(c, "\nno log line\n{\"level\":").Seconds(), qt.HasLen, 0)
}

func TestRunWithoutEndEndsWithItsJob(t *testing.T) {
	c := qt.New(t)
	l := &log{}
	l.line("o1", 0, 3607, `"agent":"w1","cpu":10000`)
	l.placed(0, "j.0.0.0", 1, "w1", "short", 4000, 100, 1000)
	l.line("o1", 1000, 3614, `"job":"j","state":"completed"`)
	l.line("o1", 5000, 3607, `"agent":"w1","cpu":10000`)
	seconds := read(c, l.String()).Seconds()
	c.Check(seconds[0].Total.Short, qt.Equals, 4.0)
	c.Check(seconds[3].Total.Short, qt.Equals, 0.0)
}

func TestAccountIsWritten(t *testing.T) {
	c := qt.New(t)
	var out strings.Builder
	read(c, exampleLog().String()).Write(&out, 1, true)
	for _, want := range []string{"2 workers, 3 runs, 5 seconds", "thrown away", "completed jobs", "w2"} {
		c.Check(out.String(), qt.Contains, want)
	}
}

// Guards against an account that looks complete although lines of the log were lost.
func TestRunsWithoutPlacementAreCounted(t *testing.T) {
	c := qt.New(t)
	l := exampleLog()
	l.line("w1", 4200, 2711, `"task":"j.0.0.7","run":1`)
	l.ended(4300, "j.0.0.7", 1, "done", false)
	l.ended(4400, "j.0.0.8", 1, "done", false)
	day := read(c, l.String())
	c.Check(day.UnplacedRuns, qt.Equals, 2)
	var out strings.Builder
	day.Write(&out, 1, false)
	c.Check(out.String(), qt.Contains, "2 runs are missing")
}
