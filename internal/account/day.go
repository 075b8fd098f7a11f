package account

import (
	"slices"
	"strings"

	"bamboofork/internal/jobs"
)

// Day is the account of the log lines of one fleet.
type Day struct {
	Workers map[string]*Worker
	// UnplacedRuns is the number of runs that have a start or an end but no placement in the log. Their use is missing in the account.
	UnplacedRuns int

	runs             map[runID]*run
	earlyStarts      map[runID]int64 // starts and ends whose placement has not been read yet
	jobs             map[string]*job
	order            []*run
	servingSeen      []servingSeen
	ownerless        []interval
	owner            string
	ownerSeenMs      int64 // time of the last line of the owner
	ownerlessSinceMs int64
	firstMs, lastMs  int64
}

// Worker is a worker with its CPU in thousandths of a core.
type Worker struct {
	Name string
	CPU  int
}

type runID struct {
	task string
	run  int
}

type pace struct {
	atMs    int64
	percent int
}

type interval struct{ fromMs, toMs int64 }

// run is one run of a task.
type run struct {
	id                           runID
	job                          *job
	agent, kind, how, why        string
	cpu                          int // thousandths of a core
	estMs                        int64
	readyMs                      int64 // when the task could first have been placed
	placedMs, startedMs, endedMs int64 // 0: not known
	paces                        []pace
	kept                         bool // a checkpoint saves the work of the run
}

type job struct {
	id, queue, state           string
	acceptedMs, ackMs, endedMs int64
	runsByStep                 map[string][]*run
	lastDoneMs                 int64
}

// servingSeen is the owner's view of all serving tasks at one time: their number, those over their target, those of them with best-effort runs
// at work beside them, and the mean load by their users.
type servingSeen struct {
	atMs                  int64
	serving, over, beside int
	load                  float64
}

func newDay() *Day {
	return &Day{Workers: map[string]*Worker{}, runs: map[runID]*run{}, earlyStarts: map[runID]int64{}, jobs: map[string]*job{}}
}

func (d *Day) worker(name string) *Worker {
	w := d.Workers[name]
	if w == nil {
		w = &Worker{Name: name}
		d.Workers[name] = w
	}
	return w
}

func (d *Day) job(id string) *job {
	j := d.jobs[id]
	if j == nil {
		j = &job{id: id, runsByStep: map[string][]*run{}}
		d.jobs[id] = j
	}
	return j
}

// owned begins the term of an owner. The time since the last line of the owner before counts as time without an owner.
func (d *Day) owned(l *line) {
	since := d.ownerlessSinceMs
	if d.owner != "" {
		since = d.ownerSeenMs
	}
	if since > 0 && l.TimeMs > since {
		d.ownerless = append(d.ownerless, interval{since, l.TimeMs})
	}
	d.owner, d.ownerlessSinceMs = l.Process, 0
}

func (d *Day) placed(l *line) {
	j := d.job(l.Job)
	id := runID{l.Task, l.Run}
	r := &run{id: id, job: j, agent: l.Agent, kind: l.Kind, cpu: l.CPU, estMs: l.EstMs, placedMs: l.TimeMs, startedMs: d.earlyStarts[id],
		paces: []pace{{l.TimeMs, l.Pace}}}
	delete(d.earlyStarts, id)
	r.readyMs = max(j.acceptedMs, j.lastDoneMs)
	if before := d.runs[runID{l.Task, l.Run - 1}]; before != nil && before.endedMs > 0 {
		r.readyMs = before.endedMs
	}
	if r.readyMs == 0 || r.readyMs > r.placedMs {
		r.readyMs = r.placedMs
	}
	step := stepOf(l.Task)
	// A task of a step that has begun was ready with the first tasks of the step.
	if earlier := j.runsByStep[step]; len(earlier) > 0 && l.Run == 1 {
		r.readyMs = min(r.readyMs, earlier[0].readyMs)
	}
	j.runsByStep[step] = append(j.runsByStep[step], r)
	d.runs[id] = r
	d.order = append(d.order, r)
}

func (d *Day) ended(l *line) {
	r := d.runs[runID{l.Task, l.Run}]
	if r == nil {
		d.earlyStarts[runID{l.Task, l.Run}] = l.TimeMs
		return
	}
	if r.endedMs > 0 {
		return
	}
	r.endedMs, r.how, r.kept, r.why = l.TimeMs, l.How, l.Kept, l.Why
	if l.How == "done" {
		r.job.lastDoneMs = l.TimeMs
	}
}

func (d *Day) finish() {
	d.UnplacedRuns = len(d.earlyStarts)
	for _, r := range d.order {
		if r.startedMs == 0 || r.startedMs < r.placedMs {
			r.startedMs = r.placedMs
		}
		if r.endedMs == 0 {
			r.endedMs = d.unseenEnd(r)
		}
		r.startedMs = min(r.startedMs, r.endedMs)
	}
	if d.owner == "" && d.ownerlessSinceMs > 0 {
		d.ownerless = append(d.ownerless, interval{d.ownerlessSinceMs, d.lastMs})
	}
}

// unseenEnd returns the latest time at which a run can have ended whose end was not read: the placement of the next run of the task, the end of the job,
// or the last line.
func (d *Day) unseenEnd(r *run) int64 {
	if next := d.runs[runID{r.id.task, r.id.run + 1}]; next != nil {
		return max(r.placedMs, next.placedMs)
	}
	if r.job.endedMs > 0 {
		return max(r.placedMs, r.job.endedMs)
	}
	return max(r.placedMs, d.lastMs)
}

// Use is an amount of CPU time, in core-seconds, by what became of it.
type Use struct {
	Capacity   float64
	Serving    float64 // reserved by serving runs
	Short      float64 // reserved by short runs whose work counts
	BestEffort float64 // used by best-effort runs whose work counts, at the paces ordered
	Paced      float64 // not used by best-effort runs because they were slowed for serving runs
	Thrown     float64 // used by runs that were stopped, failed or lost, and whose work is not kept
	Starting   float64 // reserved between the placement and the start of a run: the record in the store, the command, the worker
	NoOwner    float64 // wanted by tasks that waited while no owner was at work
	NoRoom     float64 // wanted by tasks that waited for any other reason
}

func (u *Use) add(o *Use) {
	u.Capacity += o.Capacity
	u.Serving += o.Serving
	u.Short += o.Short
	u.BestEffort += o.BestEffort
	u.Paced += o.Paced
	u.Thrown += o.Thrown
	u.Starting += o.Starting
	u.NoOwner += o.NoOwner
	u.NoRoom += o.NoRoom
}

// Unused returns the CPU time that no run reserved or used.
func (u *Use) Unused() float64 {
	return max(0, u.Capacity-u.Serving-u.Short-u.BestEffort-u.Thrown-u.Starting)
}

// Second is the use of the workers in one second of the day. What tasks wanted has no worker and is in Total only.
type Second struct {
	AtMs     int64 // Unix milliseconds
	Total    Use
	ByWorker map[string]*Use
	// Over and Beside are the serving tasks over their target, and those of them with best-effort runs beside; -1: not known.
	Serving, Over, Beside int
	Load                  float64
}

// Seconds returns the use of each second.
func (d *Day) Seconds() []Second {
	if d.lastMs == 0 {
		return nil
	}
	seconds := make([]Second, (d.lastMs-d.firstMs)/1000+1)
	for i := range seconds {
		seconds[i] = Second{AtMs: d.firstMs + int64(i)*1000, ByWorker: map[string]*Use{}, Over: -1, Beside: -1}
		for name, w := range d.Workers {
			seconds[i].ByWorker[name] = &Use{Capacity: float64(w.CPU) / 1000}
		}
	}
	for _, r := range d.order {
		d.addRun(seconds, r)
	}
	for _, s := range d.servingSeen {
		at := &seconds[(s.atMs-d.firstMs)/1000]
		at.Serving, at.Over, at.Beside, at.Load = s.serving, s.over, s.beside, s.load
	}
	for i := range seconds {
		for _, u := range seconds[i].ByWorker {
			seconds[i].Total.add(u)
		}
	}
	return seconds
}

// spread calls add with the part of the interval that lies in each second, in seconds.
func (d *Day) spread(seconds []Second, fromMs, toMs int64, add func(s *Second, part float64)) {
	for at := max(fromMs, d.firstMs); at < toMs; {
		index := (at - d.firstMs) / 1000
		if index >= int64(len(seconds)) {
			return
		}
		end := min(toMs, d.firstMs+(index+1)*1000)
		add(&seconds[index], float64(end-at)/1000)
		at = end
	}
}

func (d *Day) addRun(seconds []Second, r *run) {
	cores := float64(r.cpu) / 1000
	use := func(s *Second) *Use {
		u := s.ByWorker[r.agent]
		if u == nil {
			u = &Use{}
			s.ByWorker[r.agent] = u
		}
		return u
	}
	d.addWait(seconds, r, cores)
	d.spread(seconds, r.placedMs, r.startedMs, func(s *Second, part float64) { use(s).Starting += cores * part })
	counts := r.how == "done" || r.how == "" || r.kept
	switch {
	case r.kind == jobs.KindServing:
		d.spread(seconds, r.startedMs, r.endedMs, func(s *Second, part float64) { use(s).Serving += cores * part })
	case r.kind == jobs.KindBestEffort:
		for i, p := range r.paces {
			to := r.endedMs
			if i+1 < len(r.paces) {
				to = min(to, r.paces[i+1].atMs)
			}
			share := float64(p.percent) / 100
			d.spread(seconds, max(r.startedMs, p.atMs), to, func(s *Second, part float64) {
				u := use(s)
				u.Paced += cores * part * (1 - share)
				if counts {
					u.BestEffort += cores * part * share
				} else {
					u.Thrown += cores * part * share
				}
			})
		}
	default:
		d.spread(seconds, r.startedMs, r.endedMs, func(s *Second, part float64) {
			if counts {
				use(s).Short += cores * part
			} else {
				use(s).Thrown += cores * part
			}
		})
	}
}

// addWait adds the time from which the task could have been placed to the placement.
func (d *Day) addWait(seconds []Second, r *run, cores float64) {
	d.spread(seconds, r.readyMs, r.placedMs, func(s *Second, part float64) {
		without := 0.0
		for _, gap := range d.ownerless {
			from, to := max(gap.fromMs, s.AtMs, r.readyMs), min(gap.toMs, s.AtMs+1000, r.placedMs)
			without += float64(max(0, to-from)) / 1000
		}
		without = min(without, part)
		s.Total.NoOwner += cores * without
		s.Total.NoRoom += cores * (part - without)
	})
}

// sortedWorkers returns the names of the workers in order.
func (d *Day) sortedWorkers() []*Worker {
	var list []*Worker
	for _, w := range d.Workers {
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b *Worker) int { return strings.Compare(a.Name, b.Name) })
	return list
}
