package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	runnerCPU   = 40_000
	runnerMemMB = 128_000
	beatTime    = 1500 * time.Millisecond // heartbeat_ms
	maxHoldMs   = 10_000
	maxHoldWait = 2000 // ms
	maxEnds     = 500  // in one list
)

// runner is a stand-in of a worker that runs tasks. Its fields below client are guarded by the mutex of the world.
type runner struct {
	world                      *world
	id, address, control, zone string
	labels                     []string
	client                     *http.Client

	born     int64
	started  time.Time
	seq      int64
	token    int64
	deadline int64 // of all runs, on the runner's clock; 0: none
	active   map[string]*taskRun
	highest  map[string]int // by task: the highest run that has ended or was stopped
	ends     []listedEnd
	lastEnd  int64
	changed  chan struct{} // closed and replaced when a run ends
}

type listedEnd struct {
	number int64
	run    *taskRun
	how    string
}

func (w *world) newRunner(i int, zone string) *runner {
	return &runner{world: w, id: fmt.Sprintf("i-%04d", i+1), zone: zone, labels: []string{"a", fmt.Sprintf("r1-%d", i/3)},
		client: &http.Client{Timeout: time.Second}, born: time.Now().UnixMilli(), started: time.Now(),
		active: map[string]*taskRun{}, highest: map[string]int{}, changed: make(chan struct{})}
}

func (r *runner) clock() int64 { return 1000 + time.Since(r.started).Milliseconds() }

// beat sends heartbeats until ctx is done.
func (r *runner) beat(ctx context.Context) {
	for ctx.Err() == nil {
		wait := beatTime
		if !r.beatOnce(ctx) {
			wait = 200 * time.Millisecond // the agent has not started yet
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// beatOnce sends a heartbeat and reports whether it has been acknowledged.
func (r *runner) beatOnce(ctx context.Context) bool {
	r.world.mu.Lock()
	r.seq++
	body, err := json.Marshal(map[string]any{"service": service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8,
		"state": "ready", "cold_left_ms": 0, "capacity": map[string]int{"cpu": runnerCPU, "mem_mb": runnerMemMB, "gpu": 0}, "labels": r.labels,
		"clock_ms": r.clock(), "seq": r.seq, "born": r.born})
	r.world.mu.Unlock()
	if err != nil {
		cannotRun(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+r.control+"/api/instances/"+r.id, bytes.NewReader(body))
	if err != nil {
		cannotRun(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := r.client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// order is a call to the runner.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	Ticket   string `json:"ticket"`
	Percent  int    `json:"percent"`
	LastSeen int64  `json:"last_seen"`
	WaitMs   int64  `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(writer http.ResponseWriter, req *http.Request) {
	var o order
	if json.NewDecoder(req.Body).Decode(&o) != nil {
		answer(writer, http.StatusBadRequest, struct{}{})
		return
	}
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		answer(writer, http.StatusMisdirectedRequest, struct{}{})
		return
	}
	if req.URL.Path == "/api/hold" {
		r.hold(writer, req, &o)
		return
	}
	r.world.mu.Lock()
	reason := r.execute(req.URL.Path, &o)
	body := map[string]any{"clock_ms": r.clock(), "born": r.born}
	r.world.mu.Unlock()
	if reason != "" {
		body["reason"] = reason
		answer(writer, http.StatusConflict, body)
		return
	}
	answer(writer, http.StatusOK, body)
}

// execute carries out an order and returns why it is rejected, "" if it is not. The caller holds the mutex of the world.
func (r *runner) execute(path string, o *order) string {
	if o.Token < r.token {
		return "fence"
	}
	r.token = o.Token
	run := r.active[o.Task]
	switch path {
	case "/api/run-start":
		return r.start(o)
	case "/api/pace":
		if run != nil && run.number == o.Run {
			run.pace = o.Percent
			r.world.record.note("runner %s: %s run %d works at %d%%", r.id, o.Task, o.Run, o.Percent)
		}
	case "/api/run-stop":
		r.highest[o.Task] = max(r.highest[o.Task], o.Run)
		if run != nil && run.number <= o.Run {
			r.world.end(run, "stopped")
		}
	}
	return ""
}

func (r *runner) start(o *order) string {
	r.extend(o.Deadline)
	t := r.world.taskNamed(o.Task)
	run := r.active[o.Task]
	switch {
	case run != nil && run.number == o.Run:
		return ""
	case run != nil || o.Run <= r.highest[o.Task]:
		return "old"
	case o.Deadline <= r.clock():
		return "late"
	case t == nil:
		r.world.record.note("runner %s: no client has asked for %s", r.id, o.Task)
		return "old"
	case t.job.advised && time.Now().After(r.world.tickets[ticketKey(o.Task, r.id, o.Ticket)]):
		r.world.record.note("runner %s: no valid ticket for %s run %d", r.id, o.Task, o.Run)
		return "ticket"
	}
	r.world.record.note("runner %s: starts %s run %d", r.id, o.Task, o.Run)
	run = &taskRun{task: t, number: o.Run, on: r, begun: time.Now(), pace: 100}
	t.runs[run], r.active[o.Task] = true, run
	r.world.begin(run)
	return ""
}

// ticketKey identifies a ticket for the step of a task and a runner.
func ticketKey(taskName, runner, ticket string) string {
	return taskName[:strings.LastIndexByte(taskName, '.')] + " " + runner + " " + ticket
}

// extend makes the lease of everything that runs last until the deadline, if that is later than before.
func (r *runner) extend(deadline int64) {
	deadline = min(deadline, r.clock()+maxHoldMs)
	if deadline <= r.deadline {
		return
	}
	r.deadline = deadline
	r.world.after(time.Duration(deadline-r.clock()+1)*time.Millisecond, r.lapse)
}

// lapse ends everything that runs once the lease is over.
func (r *runner) lapse() {
	if r.deadline == 0 || r.clock() <= r.deadline {
		return
	}
	for _, run := range r.active {
		r.world.end(run, "lapsed")
	}
}

// listEnd lists the end of a run.
func (r *runner) listEnd(run *taskRun, how string) {
	delete(r.active, run.task.name)
	r.highest[run.task.name] = max(r.highest[run.task.name], run.number)
	r.lastEnd++
	r.ends = append(r.ends, listedEnd{number: r.lastEnd, run: run, how: how})
	r.world.record.note("runner %s: ends %s run %d %s", r.id, run.task.name, run.number, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

// hold extends the lease, forgets ends and answers with both lists, at once or when a run ends.
func (r *runner) hold(writer http.ResponseWriter, req *http.Request, o *order) {
	timeout := time.After(time.Duration(min(o.WaitMs, maxHoldWait)) * time.Millisecond)
	for wait := o.WaitMs > 0; ; {
		r.world.mu.Lock()
		if o.Token < r.token {
			body := map[string]any{"clock_ms": r.clock(), "born": r.born, "reason": "fence"}
			r.world.mu.Unlock()
			answer(writer, http.StatusConflict, body)
			return
		}
		r.token = o.Token
		r.lapse()
		r.extend(o.Deadline)
		for len(r.ends) > 0 && r.ends[0].number <= o.LastSeen {
			r.ends = r.ends[1:]
		}
		ready, changed, body := !wait || len(r.ends) > 0, r.changed, r.lists()
		r.world.mu.Unlock()
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
	for name, run := range r.active {
		active = append(active, []any{name, run.number, "", run.percent(), r.figure(run)})
	}
	for _, e := range r.ends[:min(maxEnds, len(r.ends))] {
		ended = append(ended, []any{e.number, e.run.task.name, e.run.number, e.how, ""})
	}
	return map[string]any{"clock_ms": r.clock(), "born": r.born, "active": active, "ended": ended}
}

// percent returns the progress of the run; 100: a lasting task is at work.
func (r *taskRun) percent() int {
	switch {
	case r.task.step.Perpetual:
		return 100
	case r.gang != nil && !r.gang.working:
		return 0
	}
	return int(min(99, 80*time.Since(r.begun).Milliseconds()/int64(max(1, r.task.step.EstimateMs))))
}

const (
	// The tail latency of a serving task is unloadedMs / (1 - u). u is its users' load and, for each task that fills beside it, pressure
	// times the share of the runner that this task uses.
	unloadedMs = 10
	usersLoad  = 0.45
	pressure   = 1.5
	mostLoad   = 0.95
)

// figure returns the tail latency of a run that serves, in ms, and the CPU in use of any other.
func (r *runner) figure(run *taskRun) int {
	if run.task.step.TargetMs == 0 {
		return run.task.step.CPU * run.pace / 100
	}
	load := usersLoad
	for _, other := range r.active {
		if other.task.step.Fills {
			load += pressure * float64(other.task.step.CPU) / runnerCPU * float64(other.pace) / 100
		}
	}
	return int(unloadedMs / (1 - min(mostLoad, load)))
}
