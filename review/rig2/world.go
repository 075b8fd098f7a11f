package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// step is a step of a job as clients submit it.
type step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu,omitempty"`
	MemMB         int    `json:"mem_mb,omitempty"`
	GPU           int    `json:"gpu,omitempty"`
	EstimateMs    int    `json:"estimate_ms,omitempty"`
	After         []int  `json:"after,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	SameRack      bool   `json:"same_rack,omitempty"`
	Requirements  string `json:"requirements,omitempty"`
	Affinity      string `json:"affinity,omitempty"`
	AntiAffinity  int    `json:"anti_affinity,omitempty"`
	Perpetual     bool   `json:"perpetual,omitempty"`
	Fills         bool   `json:"fills,omitempty"`
	Image         string `json:"image,omitempty"`
	TargetMs      int    `json:"target_ms,omitempty"`
}

type job struct {
	id         string
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	Repeats    int    `json:"repeats,omitempty"`
	StartAtMs  int64  `json:"start_at_ms,omitempty"`
	IntervalMs int64  `json:"interval_ms,omitempty"`

	sentAt, ackedAt       time.Time
	cancelSent, cancelAck time.Time
}

type task struct {
	name          string
	job           *job
	occ, stp, idx int
	running       map[*taskRun]bool
	donePending   bool // a start came after done, not noted yet
	doneNoted     bool
	fails         int
	notedFails    int
	saved         map[string]float64 // checkpoint -> progress
	ended         bool               // done, not void
	everDone      bool
}

type gang struct {
	present map[int]*taskRun
	working bool
	begun   time.Time
}

type taskRun struct {
	t       *task
	number  int
	on      *runner
	begun   time.Time
	base    float64 // progress at begin
	lastCP  string
	cpAt    time.Time
	ended   bool
	willBad bool
	gang    *gang
	step    *step
	pace    int
}

type world struct {
	mu         sync.Mutex
	rng        *rand.Rand
	jobs       map[string]*job
	tasks      map[string]*task
	gangs      map[string]*gang
	violations []string
	record     *record
	calmFrom   time.Time
	counts     map[string]int
	nextCP     int
	lateShare  float64
	tickets    map[string]time.Time // nil: no queue has advice
	adviseLock sync.Mutex
	advised    int
	failAfter  map[string]time.Duration // by job: the time after which each run of a lasting task fails
}

func newWorld(r *record, seed uint64) *world {
	return &world{rng: rand.New(rand.NewPCG(seed, seed)), jobs: map[string]*job{}, tasks: map[string]*task{}, gangs: map[string]*gang{}, record: r, counts: map[string]int{},
		failAfter: map[string]time.Duration{}}
}

// add tells the world about a job that a client hands in.
func (w *world) add(j *job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[j.id] = j
}

// runsOf returns the number of tasks of the job that run.
func (w *world) runsOf(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, t := range w.tasks {
		if t.job.id == id {
			n += len(t.running)
		}
	}
	return n
}

// failEach makes each run of the lasting tasks of the job fail the time after its start.
func (w *world) failEach(id string, after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failAfter[id] = after
}

// isIdle watches for the time and reports whether no task of the job ran.
func (w *world) isIdle(id string, watch time.Duration) bool {
	for end := time.Now().Add(watch); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if w.runsOf(id) > 0 {
			return false
		}
	}
	return true
}

// isDone reports whether all tasks of the job have ended done.
func (w *world) isDone(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobDone(w.jobs[id])
}

func (w *world) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.violations = append(w.violations, text)
	w.record.note("VIOLATION %s", text)
}

func (w *world) task(name string) *task {
	if t := w.tasks[name]; t != nil {
		return t
	}
	f := strings.Split(name, ".")
	if len(f) != 4 {
		return nil
	}
	j := w.jobs[f[0]]
	if j == nil {
		return nil
	}
	n := [3]int{}
	for i := range n {
		n[i], _ = strconv.Atoi(f[i+1])
	}
	if n[0] >= max(1, j.Repeats) || n[1] >= len(j.Steps) || n[2] >= j.Steps[n[1]].Count {
		return nil
	}
	t := &task{name: name, job: j, occ: n[0], stp: n[1], idx: n[2], running: map[*taskRun]bool{}, saved: map[string]float64{}}
	w.tasks[name] = t
	return t
}

func (t *task) step() *step { return &t.job.Steps[t.stp] }

// stepDone reports whether all tasks of the step have ended done.
func (w *world) stepDone(j *job, occ, stp int) bool {
	if j.Steps[stp].Gang {
		for i := range j.Steps[stp].Count {
			if t := w.tasks[fmt.Sprintf("%s.%d.%d.%d", j.id, occ, stp, i)]; t != nil && t.everDone {
				return true
			}
		}
		return false
	}
	for i := range j.Steps[stp].Count {
		if t := w.tasks[fmt.Sprintf("%s.%d.%d.%d", j.id, occ, stp, i)]; t == nil || !t.everDone {
			return false
		}
	}
	return true
}

func (w *world) jobDone(j *job) bool {
	for k := range max(1, j.Repeats) {
		for s := range j.Steps {
			if !w.stepDone(j, k, s) {
				return false
			}
		}
	}
	return true
}

type end struct {
	seq  int64
	run  *taskRun
	how  string
	save string
	void bool
}

type runner struct {
	w                          *world
	id, address, control, zone string
	labels                     []string
	cpu, mem, gpu              int
	client                     *http.Client

	born     int64
	started  time.Time
	token    int64
	deadline int64
	active   map[string]*taskRun
	highest  map[string]int
	ends     []end
	lastEnd  int64
	changed  chan struct{}
	draining bool
	drainAck time.Time
	down     bool
	mute     bool
	seq      int64
	life     int
}

func (w *world) newRunner(i int, zone string) *runner {
	r := &runner{w: w, id: fmt.Sprintf("i-%04d", i+1), zone: zone, labels: []string{string(rune('a' + i%2)), fmt.Sprintf("r1-%d", i/3)}, cpu: 40_000, mem: 128_000,
		client: &http.Client{Timeout: time.Second}}
	if i%3 == 0 {
		r.gpu = 4
	}
	r.begin()
	return r
}

func (r *runner) begin() {
	r.born, r.started = max(time.Now().UnixMilli(), r.born+1), time.Now()
	r.token, r.deadline, r.lastEnd, r.seq = 0, 0, 0, 0
	r.active, r.highest, r.ends, r.changed = map[string]*taskRun{}, map[string]int{}, nil, make(chan struct{})
	r.life++
}

func (r *runner) clock() int64 { return 1000 + time.Since(r.started).Milliseconds() }

// crash ends everything; the runner is back after the pause.
func (r *runner) crash(pause time.Duration) {
	r.w.mu.Lock()
	if r.down {
		r.w.mu.Unlock()
		return
	}
	r.w.record.note("runner %s crashes", r.id)
	runs := []*taskRun{}
	for _, run := range r.active {
		runs = append(runs, run)
	}
	r.active = map[string]*taskRun{}
	for _, run := range runs {
		run.ended = true
		delete(run.t.running, run)
		r.w.breakGang(run)
	}
	for i := range r.ends {
		r.void(&r.ends[i])
	}
	r.down = true
	close(r.changed)
	r.changed = make(chan struct{})
	r.w.mu.Unlock()
	time.AfterFunc(pause, func() {
		r.w.mu.Lock()
		defer r.w.mu.Unlock()
		r.begin()
		r.down = false
		r.w.record.note("runner %s is back", r.id)
	})
}

// void makes an end that nobody has noted not count.
func (r *runner) void(e *end) {
	if e.void {
		return
	}
	e.void = true
	t := e.run.t
	if e.how == "done" && !t.doneNoted {
		t.ended, t.donePending = false, false
	}
}

func (r *runner) beat(ctx context.Context) {
	for ctx.Err() == nil {
		r.beatOnce(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

func (r *runner) beatOnce(ctx context.Context) {
	r.w.mu.Lock()
	r.seq++
	down := r.down
	state := "ready"
	if r.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{"service": service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8,
		"state": state, "cold_left_ms": 0, "capacity": map[string]int{"cpu": r.cpu, "mem_mb": r.mem, "gpu": r.gpu}, "labels": r.labels,
		"clock_ms": r.clock(), "seq": r.seq, "born": r.born})
	r.w.mu.Unlock()
	if err != nil {
		panic(err)
	}
	if !down {
		req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+r.control+"/api/instances/"+r.id, bytes.NewReader(body))
		if err != nil {
			panic(err)
		}
		if resp, err := r.client.Do(req); err == nil {
			resp.Body.Close()
			r.w.mu.Lock()
			if state == "draining" && resp.StatusCode/100 == 2 && r.drainAck.IsZero() {
				r.drainAck = time.Now()
				r.w.record.note("runner %s has the ack that it drains", r.id)
			}
			r.w.mu.Unlock()
		}
	}
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Checkpoint string `json:"checkpoint"`
	Deadline   int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	LastSeen   int64  `json:"last_seen"`
	WaitMs     int64  `json:"wait_ms"`
	Percent    int    `json:"percent"`
	Ticket     string `json:"ticket"`
}

func (r *runner) ServeHTTP(writer http.ResponseWriter, req *http.Request) {
	var o order
	if json.NewDecoder(req.Body).Decode(&o) != nil {
		answer(writer, http.StatusBadRequest, struct{}{})
		return
	}
	w := r.w
	w.mu.Lock()
	down, mute, life := r.down, r.mute, r.life
	late := req.URL.Path != "/api/hold" && w.lateShare > 0 && w.rng.Float64() < w.lateShare
	wait := 2 + 10*w.rng.Float64()
	w.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	if mute {
		<-req.Context().Done()
		return
	}
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		answer(writer, http.StatusMisdirectedRequest, struct{}{})
		return
	}
	if late {
		time.AfterFunc(time.Duration(wait*float64(time.Second)), func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if r.life == life && !r.down {
				w.record.note("runner %s carries out late: %s %s run %d: %q", r.id, req.URL.Path, o.Task, o.Run, r.execute(req.URL.Path, &o))
			}
		})
		<-req.Context().Done()
		return
	}
	if req.URL.Path == "/api/hold" {
		r.hold(writer, req, &o, life)
		return
	}
	w.mu.Lock()
	reason := r.execute(req.URL.Path, &o)
	body := map[string]any{"clock_ms": r.clock(), "born": r.born}
	w.mu.Unlock()
	if reason != "" {
		body["reason"] = reason
		answer(writer, http.StatusConflict, body)
		return
	}
	answer(writer, http.StatusOK, body)
}

func (r *runner) extend(deadline int64) {
	deadline = min(deadline, r.clock()+10_000)
	if deadline <= r.deadline {
		return
	}
	r.deadline = deadline
	life := r.life
	time.AfterFunc(time.Duration(deadline-r.clock()+5)*time.Millisecond, func() {
		r.w.mu.Lock()
		defer r.w.mu.Unlock()
		if r.life == life {
			r.lapse()
		}
	})
}

func (r *runner) lapse() {
	if r.deadline == 0 || r.clock() <= r.deadline {
		return
	}
	for i := range r.ends {
		r.void(&r.ends[i])
	}
	for _, run := range r.active {
		r.w.endRun(run, "lapsed")
	}
}

func (r *runner) execute(path string, o *order) string {
	if o.Token < r.token {
		return "fence"
	}
	r.token = o.Token
	switch path {
	case "/api/run-start":
		return r.start(o)
	case "/api/pace":
		if run := r.active[o.Task]; run != nil && run.number == o.Run {
			r.w.record.note("runner %s pace %s %d", r.id, o.Task, o.Percent)
			run.pace = o.Percent
		}
	case "/api/run-stop":
		r.highest[o.Task] = max(r.highest[o.Task], o.Run)
		if run := r.active[o.Task]; run != nil && run.number <= o.Run {
			time.AfterFunc(time.Duration(r.w.rng.IntN(180))*time.Millisecond, func() {
				r.w.mu.Lock()
				defer r.w.mu.Unlock()
				if !run.ended {
					r.w.endRun(run, "stopped")
				}
			})
		}
	}
	return ""
}

const taskMs = 1500

func (r *runner) start(o *order) string {
	w := r.w
	r.extend(o.Deadline)
	if run := r.active[o.Task]; run != nil && run.number == o.Run {
		return ""
	}
	if o.Run <= r.highest[o.Task] {
		return "old"
	}
	if o.Deadline <= r.clock() {
		return "late"
	}
	if w.tickets != nil {
		stepName := o.Task[:strings.LastIndexByte(o.Task, '.')]
		if expires, ok := w.tickets[fmt.Sprintf("%s %s %d %s", stepName, r.id, r.life, o.Ticket)]; !ok || time.Now().After(expires) {
			w.counts["ticket"]++
			w.record.note("runner %s rejects %s run %d: ticket %q", r.id, o.Task, o.Run, o.Ticket)
			return "ticket"
		}
	}
	if run := r.active[o.Task]; run != nil {
		w.violate("TWICE %s run %d on %s while run %d there", o.Task, o.Run, r.id, run.number)
		return "old"
	}
	t := w.task(o.Task)
	if t == nil {
		w.violate("UNASKED start of %s", o.Task)
		return "old"
	}
	st := t.step()
	w.counts["start"]++
	w.record.note("runner %s starts %s run %d checkpoint %q", r.id, o.Task, o.Run, o.Checkpoint)
	for other := range t.running {
		w.violate("TWICE %s run %d on %s while run %d on %s", o.Task, o.Run, r.id, other.number, other.on.id)
	}
	if t.ended {
		if t.doneNoted {
			w.violate("TWICE %s run %d on %s after it was done and noted", o.Task, o.Run, r.id)
		} else {
			t.donePending = true
		}
	}
	if st.Gang && w.stepDone(t.job, t.occ, t.stp) {
		w.record.note("gang %s starts again after a member was done", o.Task)
	}
	for _, a := range st.After {
		if !w.stepDone(t.job, t.occ, a) {
			w.violate("ORDER %s run %d started before step %d", o.Task, o.Run, a)
		}
	}
	if t.job.Repeats > 0 && time.Now().UnixMilli() < t.job.StartAtMs+int64(t.occ)*t.job.IntervalMs-250 {
		w.violate("ORDER %s started too early", o.Task)
	}
	if st.Requirements != "" && st.Requirements != r.labels[0] && st.Requirements != r.labels[1] {
		w.violate("ROUTE %s on %s without label %s", o.Task, r.id, st.Requirements)
	}
	if t.notedFails >= 3 {
		w.violate("BUDGET %s starts after %d failed runs", o.Task, t.notedFails)
	}
	if !t.job.cancelAck.IsZero() && time.Since(t.job.cancelAck) > 3*time.Second {
		w.violate("UNASKED %s starts %s after the ack of the cancel", o.Task, time.Since(t.job.cancelAck))
	}
	if since := time.Since(r.drainAck); !r.drainAck.IsZero() && since > 2*time.Second {
		w.violate("DRAIN %s starts on %s %s after the ack", o.Task, r.id, since)
	}
	if o.Spec != t.job.Spec {
		w.violate("UNASKED %s with another spec", o.Task)
	}
	cpu, mem, gpu, same := st.CPU, st.MemMB, st.GPU, 1
	if st.Fills {
		cpu = 0
	}
	for _, run := range r.active {
		if !run.step.Fills {
			cpu += run.step.CPU
		}
		mem += run.step.MemMB
		gpu += run.step.GPU
		if run.t.job == t.job && run.t.occ == t.occ && run.t.stp == t.stp {
			same++
		}
	}
	if cpu > r.cpu || mem > r.mem || gpu > r.gpu {
		w.violate("LIMIT %s on %s: cpu %d mem %d gpu %d", o.Task, r.id, cpu, mem, gpu)
	}
	if st.AntiAffinity > 0 && same > st.AntiAffinity {
		w.violate("ROUTE %s on %s: %d of the step there", o.Task, r.id, same)
	}
	run := &taskRun{t: t, number: o.Run, on: r, begun: time.Now(), step: st, lastCP: o.Checkpoint, cpAt: time.Now(), pace: 100}
	if o.Checkpoint != "" {
		owner := t
		known := false
		if st.Gang {
			for i := range st.Count {
				if m := w.tasks[fmt.Sprintf("%s.%d.%d.%d", t.job.id, t.occ, t.stp, i)]; m != nil {
					if p, ok := m.saved[o.Checkpoint]; ok {
						known, run.base = true, p
					}
				}
			}
		} else if p, ok := owner.saved[o.Checkpoint]; ok {
			known, run.base = true, p
		}
		if !known {
			w.violate("UNASKED %s with checkpoint %q that is not the task's", o.Task, o.Checkpoint)
		}
	}
	run.willBad = !st.Perpetual && w.rng.Float64() < 0.03
	t.running[run] = true
	r.active[o.Task] = run
	if st.Gang {
		w.joinGang(run)
	} else {
		w.schedule(run)
	}
	return ""
}

func (w *world) joinGang(run *taskRun) {
	t := run.t
	key := fmt.Sprintf("%s.%d.%d/%d", t.job.id, t.occ, t.stp, run.number)
	g := w.gangs[key]
	if g == nil {
		g = &gang{present: map[int]*taskRun{}}
		w.gangs[key] = g
	}
	run.gang = g
	for _, other := range g.present {
		if other.lastCP != run.lastCP && !other.ended {
			w.violate("UNASKED gang %s: checkpoints %q and %q", key, other.lastCP, run.lastCP)
		}
	}
	g.present[t.idx] = run
	if len(g.present) == run.step.Count {
		g.working, g.begun = true, time.Now()
		bad := false
		for _, m := range g.present {
			bad = bad || m.willBad
			m.begun, m.cpAt = time.Now(), time.Now()
		}
		left := time.Duration((1 - run.base) * taskMs * float64(time.Millisecond) * (1 + w.rng.Float64()))
		w.tick(run)
		time.AfterFunc(left, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if len(g.present) != run.step.Count {
				return
			}
			members := []*taskRun{}
			for _, m := range g.present {
				if m.ended {
					return
				}
				members = append(members, m)
			}
			if bad {
				w.endRun(members[0], "failed")
				return
			}
			g.working = false
			for _, m := range members {
				w.endRun(m, "done")
			}
		})
		return
	}
	time.AfterFunc(3*time.Second, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !run.ended && !g.working {
			w.counts["alone"]++
			if t.job.cancelSent.IsZero() {
				w.record.note("ALONE %s run %d on %s", t.name, run.number, run.on.id)
				if time.Now().After(w.calmFrom) && w.calmFrom.Unix() > 0 {
					w.violate("GANG %s run %d on %s ends alone", t.name, run.number, run.on.id)
				}
			}
			w.endRun(run, "alone")
		}
	})
}

// tick makes checkpoints of the run while it works.
func (w *world) tick(run *taskRun) {
	if !run.step.Checkpointing {
		return
	}
	time.AfterFunc(500*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if run.ended {
			return
		}
		if run.gang != nil {
			for _, m := range run.gang.present {
				w.save(m)
			}
		} else {
			w.save(run)
		}
		w.tick(run)
	})
}

func (w *world) progress(run *taskRun) float64 {
	if run.gang != nil && !run.gang.working {
		return run.base
	}
	return min(0.99, run.base+float64(time.Since(run.begun).Milliseconds())/taskMs/2)
}

func (w *world) save(run *taskRun) string {
	if !run.step.Checkpointing || run.ended {
		return run.lastCP
	}
	w.nextCP++
	run.lastCP = fmt.Sprintf("%016x", w.nextCP)
	run.t.saved[run.lastCP] = w.progress(run)
	return run.lastCP
}

func (w *world) schedule(run *taskRun) {
	if run.step.Perpetual {
		if d := w.failAfter[run.t.job.id]; d > 0 {
			time.AfterFunc(d, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				if !run.ended {
					w.endRun(run, "failed")
				}
			})
		}
		return
	}
	left := time.Duration((1 - run.base) * taskMs * float64(time.Millisecond) * (0.3 + 1.5*w.rng.Float64()))
	w.tick(run)
	time.AfterFunc(left, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if run.ended {
			return
		}
		if run.willBad {
			w.endRun(run, "failed")
		} else {
			w.endRun(run, "done")
		}
	})
}

func (w *world) breakGang(run *taskRun) {
	g := run.gang
	if g == nil {
		return
	}
	delete(g.present, run.t.idx)
	if !g.working {
		return
	}
	g.working = false
	rest := []*taskRun{}
	for _, m := range g.present {
		if !m.ended {
			rest = append(rest, m)
		}
	}
	for _, m := range rest {
		w.endRun(m, "broken")
	}
}

func (w *world) endRun(run *taskRun, how string) {
	if run.ended {
		return
	}
	saved := ""
	if how == "stopped" || how == "broken" {
		saved = w.save(run)
	} else if how != "done" {
		saved = run.lastCP
	}
	run.ended = true
	t, r := run.t, run.on
	delete(t.running, run)
	delete(r.active, t.name)
	r.highest[t.name] = max(r.highest[t.name], run.number)
	r.lastEnd++
	r.ends = append(r.ends, end{seq: r.lastEnd, run: run, how: how, save: saved})
	w.record.note("runner %s ends %s run %d %s", r.id, t.name, run.number, how)
	w.counts[how]++
	switch how {
	case "done":
		t.ended, t.everDone, t.doneNoted, t.donePending = true, true, false, false
	case "failed":
		t.fails++
	}
	if how != "done" {
		w.breakGang(run)
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *runner) hold(writer http.ResponseWriter, req *http.Request, o *order, life int) {
	timeout := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	wait := o.WaitMs > 0
	w := r.w
	for {
		w.mu.Lock()
		if r.life != life || r.down {
			w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if o.Token < r.token {
			body := map[string]any{"clock_ms": r.clock(), "born": r.born, "reason": "fence"}
			w.mu.Unlock()
			answer(writer, http.StatusConflict, body)
			return
		}
		r.token = o.Token
		r.lapse()
		r.extend(o.Deadline)
		for len(r.ends) > 0 && r.ends[0].seq <= o.LastSeen {
			e := &r.ends[0]
			t := e.run.t
			if !e.void {
				switch e.how {
				case "done":
					t.doneNoted = true
					if t.donePending {
						w.violate("TWICE %s started again, its done run %d was noted later", t.name, e.run.number)
					}
				case "failed":
					t.notedFails++
				}
			}
			r.ends = r.ends[1:]
		}
		ready, changed := !wait || len(r.ends) > 0, r.changed
		body := r.lists()
		w.mu.Unlock()
		if ready {
			answer(writer, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = false
		case <-req.Context().Done():
			return
		}
	}
}

func (r *runner) lists() map[string]any {
	active, ended := [][]any{}, [][]any{}
	for _, run := range r.active {
		p := int(100 * r.w.progress(run))
		if run.step.Perpetual {
			p = 100
		}
		figure := run.step.CPU
		if run.step.TargetMs > 0 {
			u := 0.45
			for _, other := range r.active {
				if other.step.Fills {
					u += 1.5 * float64(other.step.CPU) / float64(r.cpu) * float64(other.pace) / 100
				}
			}
			figure = int(10 / (1 - min(0.95, u)))
		}
		active = append(active, []any{run.t.name, run.number, run.lastCP, p, figure})
	}
	for _, e := range r.ends[:min(500, len(r.ends))] {
		ended = append(ended, []any{e.seq, e.run.t.name, e.run.number, e.how, e.save})
	}
	return map[string]any{"clock_ms": r.clock(), "born": r.born, "active": active, "ended": ended}
}
