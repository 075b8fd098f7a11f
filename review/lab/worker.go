package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of a worker, as the sheet of the workshop has them.
const (
	workerCPU       = 64_000
	workerMemMB     = 256_000
	heartbeat       = 1500 * time.Millisecond
	maxHoldMs       = 10_000
	gangWait        = 3 * time.Second
	restore         = 100 * time.Millisecond
	checkpointEvery = 2 * time.Second
	endsPerList     = 500 // "The others are returned again (500 at a time)"
)

// worker simulates a runner of the platform. It does not guard its capacity. mu guards the fields below it.
type worker struct {
	lab  *lab
	name string
	id   string
	rack string
	addr string
	ip   string

	server *http.Server

	mu         sync.Mutex
	down       bool
	unhealthy  bool // starts get 503 and have no effect
	born       int64
	clockStart time.Time
	token      int64
	deadlineMs int64
	active     map[string]*activeRun
	lastRun    map[string]int // by task: highest run that was stopped or has ended
	ended      []endedRun
	endCount   int64
	changed    chan struct{} // closed and replaced when a run ends
}

// activeRun is a run on a worker.
type activeRun struct {
	worker     *worker
	task       string
	run        int
	spec       taskSpec
	checkpoint string    // with which the run was started
	saved      string    // newest checkpoint
	workFrom   time.Time // zero: the run waits for the other members of its gang
	progress   time.Duration
	gang       *gang
	entry      *runEntry
}

type endedRun struct {
	number int64
	task   string
	run    int
	how    string
	saved  string
	entry  *runEntry
}

// taskSpec is what the clients of the lab write into the spec of a job.
type taskSpec struct {
	RunMs int64  `json:"run_ms"`
	Gang  int    `json:"gang,omitempty"` // members of the gang; 0: no gang
	Saves bool   `json:"saves,omitempty"`
	Plan  string `json:"plan,omitempty"` // the client's data
}

func newWorker(l *lab, name, rack, ip string) *worker {
	w := &worker{lab: l, name: name, id: "i-" + name, rack: rack, ip: ip, addr: ip + ":" + workerPort}
	w.startLife()
	go w.expireLoop()
	return w
}

// startLife begins a lifetime in which nothing runs. The caller holds mu, except in newWorker.
func (w *worker) startLife() {
	w.born = max(time.Now().UnixMilli(), w.born+1)
	w.clockStart, w.token, w.deadlineMs, w.endCount = time.Now(), 0, 0, 0
	w.active, w.lastRun, w.ended, w.changed = map[string]*activeRun{}, map[string]int{}, nil, make(chan struct{})
}

// clockMs returns the worker's clock. The caller holds mu.
func (w *worker) clockMs() int64 { return 1000 + time.Since(w.clockStart).Milliseconds() }

// register sends the heartbeats, the first after the delay.
func (w *worker) register(delay time.Duration) {
	time.Sleep(delay)
	client := &http.Client{Timeout: time.Second}
	for number := 1; ; number++ {
		w.mu.Lock()
		body, err := json.Marshal(map[string]any{
			"service": serviceName, "address": w.addr, "zone": "escazu", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"capacity": map[string]int{"cpu": workerCPU, "mem_mb": workerMemMB, "gpu": 0}, "labels": []string{"a", w.rack},
			"clock_ms": w.clockMs(), "seq": number, "born": w.born,
		})
		down := w.down
		w.mu.Unlock()
		if err != nil {
			panic(err) // cannot happen: the value has only plain types
		}
		if !down {
			request, err := http.NewRequest(http.MethodPut, "http://"+w.ip+":"+registrationsPort+"/api/instances/"+w.id, bytes.NewReader(body))
			if err != nil {
				panic(err) // the address comes from the lab
			}
			request.Header.Set("Content-Type", "application/json")
			if response, err := client.Do(request); err == nil {
				response.Body.Close()
			}
		}
		time.Sleep(heartbeat)
	}
}

// order is a call to the worker.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   int64  `json:"last_seen"`
	WaitMs     int64  `json:"wait_ms"`
}

func reply(writer http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // cannot happen: the values have only plain types
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(data) // the caller may have gone
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	var o order
	if err := json.NewDecoder(request.Body).Decode(&o); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	down := w.down
	w.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request.URL.Path == "/api/hold" {
		w.hold(writer, request, &o)
		return
	}
	w.mu.Lock()
	status, reason := w.execute(request.URL.Path, &o)
	body := map[string]any{"clock_ms": w.clockMs()}
	w.mu.Unlock()
	if reason != "" {
		body["reason"] = reason
	}
	reply(writer, status, body)
}

// execute carries out an order and returns the status and the reason of a rejection. The caller holds mu.
func (w *worker) execute(path string, o *order) (int, string) {
	if path == "/api/run-start" && w.unhealthy {
		w.lab.rec.logf("%s start %s run %d -> 503", w.name, o.Task, o.Run)
		return http.StatusServiceUnavailable, ""
	}
	if o.Token < w.token {
		return http.StatusConflict, "fence"
	}
	w.token = o.Token
	switch path {
	case "/api/run-start":
		reason := w.start(o)
		w.lab.rec.logf("%s start %s run %d checkpoint %q -> %s", w.name, o.Task, o.Run, o.Checkpoint, orOK(reason))
		if reason != "" {
			return http.StatusConflict, reason
		}
	case "/api/run-stop":
		w.lastRun[o.Task] = max(w.lastRun[o.Task], o.Run)
		if r := w.active[o.Task]; r != nil && r.run <= o.Run {
			w.end(r, "stopped")
		}
	}
	return http.StatusOK, ""
}

func orOK(reason string) string {
	if reason == "" {
		return "ok"
	}
	return reason
}

// start starts a run and returns the reason of a rejection. The caller holds mu.
func (w *worker) start(o *order) string {
	w.extend(o.DeadlineMs)
	if r := w.active[o.Task]; r != nil && r.run == o.Run {
		return ""
	}
	if o.Run <= w.lastRun[o.Task] {
		return "old"
	}
	if o.DeadlineMs <= w.clockMs() {
		return "late"
	}
	r := &activeRun{worker: w, task: o.Task, run: o.Run, checkpoint: o.Checkpoint, saved: o.Checkpoint}
	if err := json.Unmarshal([]byte(o.Spec), &r.spec); err != nil {
		return "room" // no client of the lab sends such a spec
	}
	r.progress = savedProgress(o.Checkpoint)
	r.entry = w.lab.runs.started(w.name, o.Task, o.Run)
	w.active[o.Task] = r
	if r.spec.Gang > 0 {
		w.lab.gangs.join(r)
		return ""
	}
	w.work(r)
	return ""
}

// work lets a run begin its work. The caller holds mu.
func (w *worker) work(r *activeRun) {
	r.workFrom = time.Now()
	left := time.Duration(r.spec.RunMs)*time.Millisecond - r.progress
	if r.checkpoint != "" {
		left += restore
	}
	time.AfterFunc(left, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.active[r.task] == r {
			w.end(r, "done")
		}
	})
}

// savedProgress returns the progress that a checkpoint stands for.
func savedProgress(checkpoint string) time.Duration {
	if len(checkpoint) != 16 {
		return 0
	}
	ms, err := strconv.ParseInt(checkpoint[4:], 16, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// update computes the newest checkpoint and the percentage of a run. The caller holds mu.
func (r *activeRun) update() int {
	if r.workFrom.IsZero() {
		return 0
	}
	done := r.progress + time.Since(r.workFrom)
	if saved := done.Truncate(checkpointEvery); r.spec.Saves && saved > r.progress {
		r.saved = fmt.Sprintf("%04x%012x", r.worker.hash(), saved.Milliseconds())
	}
	return int(min(99, 100*done.Milliseconds()/max(1, r.spec.RunMs)))
}

// hash tells the checkpoints of different workers apart.
func (w *worker) hash() int {
	sum := 0
	for _, c := range w.name {
		sum = sum*31 + int(c)
	}
	return sum & 0xffff
}

// end ends a run. The caller holds mu.
func (w *worker) end(r *activeRun, how string) {
	r.update()
	delete(w.active, r.task)
	w.lastRun[r.task] = max(w.lastRun[r.task], r.run)
	w.endCount++
	saved := r.saved
	if how == "done" {
		saved = ""
	}
	w.ended = append(w.ended, endedRun{number: w.endCount, task: r.task, run: r.run, how: how, saved: saved, entry: r.entry})
	w.lab.runs.finished(r.entry, how)
	w.lab.rec.logf("%s end %d %s run %d %s saved %q", w.name, w.endCount, r.task, r.run, how, saved)
	close(w.changed)
	w.changed = make(chan struct{})
	if r.gang != nil {
		go w.lab.gangs.left(r, how)
	}
}

// extend moves the deadline of all that runs. It never shortens it. The caller holds mu.
func (w *worker) extend(deadlineMs int64) {
	w.deadlineMs = max(w.deadlineMs, min(deadlineMs, w.clockMs()+maxHoldMs))
}

// expireLoop ends all runs when their deadline has passed.
func (w *worker) expireLoop() {
	for range time.Tick(20 * time.Millisecond) {
		w.mu.Lock()
		if len(w.active)+len(w.ended) > 0 && w.clockMs() > w.deadlineMs {
			for _, r := range w.active {
				w.end(r, "lapsed")
			}
			for i := range w.ended {
				w.lab.runs.lapsed(w.ended[i].entry)
			}
		}
		w.mu.Unlock()
	}
}

// hold serves a call that extends the deadline and lists the runs.
func (w *worker) hold(writer http.ResponseWriter, request *http.Request, o *order) {
	w.mu.Lock()
	if o.Token < w.token {
		body := map[string]any{"clock_ms": w.clockMs(), "born": w.born, "reason": "fence"}
		w.mu.Unlock()
		reply(writer, http.StatusConflict, body)
		return
	}
	w.token = o.Token
	w.extend(o.DeadlineMs)
	for len(w.ended) > 0 && w.ended[0].number <= o.LastSeen {
		w.lab.runs.noted(w.ended[0].entry)
		w.ended = w.ended[1:]
	}
	born, timeout := w.born, time.After(time.Duration(o.WaitMs)*time.Millisecond)
	for len(w.ended) == 0 && o.WaitMs > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			o.WaitMs = 0
		case <-request.Context().Done():
			return
		}
		w.mu.Lock()
		if w.born != born {
			w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
	}
	body := w.lists()
	w.mu.Unlock()
	reply(writer, http.StatusOK, body)
}

// lists returns the active runs and the first endsPerList ended runs. The caller holds mu.
func (w *worker) lists() map[string]any {
	active, ended := [][]any{}, [][]any{}
	tasks := make([]string, 0, len(w.active))
	for task := range w.active {
		tasks = append(tasks, task)
	}
	sort.Strings(tasks)
	for _, task := range tasks {
		r := w.active[task]
		percent := r.update()
		active = append(active, []any{r.task, r.run, r.saved, percent, 0})
	}
	for _, e := range w.ended[:min(len(w.ended), endsPerList)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	return map[string]any{"clock_ms": w.clockMs(), "born": w.born, "active": active, "ended": ended}
}

// setUnhealthy makes the worker reject starts with 503, or ends that.
func (w *worker) setUnhealthy(unhealthy bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unhealthy = unhealthy
	w.lab.rec.logf("%s unhealthy: %v", w.name, unhealthy)
}

// goAway ends the worker for good: its port is closed and it sends no more heartbeats.
func (w *worker) goAway() {
	w.mu.Lock()
	w.down = true
	w.mu.Unlock()
	w.server.Close()
	w.lab.rec.logf("%s is lost for good", w.name)
}

// crash ends everything on the worker for the time, after which a new lifetime begins.
func (w *worker) crash(downFor time.Duration) {
	w.mu.Lock()
	w.lab.rec.logf("%s crashes with %d runs", w.name, len(w.active))
	w.down = true
	for _, r := range w.active {
		w.lab.runs.finished(r.entry, "crashed")
		if r.gang != nil {
			go w.lab.gangs.left(r, "crashed")
		}
	}
	for i := range w.ended {
		w.lab.runs.lapsed(w.ended[i].entry)
	}
	close(w.changed)
	w.startLife()
	w.mu.Unlock()
	time.Sleep(downFor)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startLife()
	w.down = false
	w.lab.rec.logf("%s is back", w.name)
}

// jobOf returns the job of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
