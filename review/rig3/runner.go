package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

// maxHoldMs is the longest lease that a runner grants.
const maxHoldMs = 10_000

// interval is one run of a task, as its runner has seen it.
type interval struct {
	task, host string
	run        int
	from, to   time.Time // to is zero while the run goes on
	how        string
}

// journal collects the runs of all runners.
type journal struct {
	mu   sync.Mutex
	runs []*interval
}

func (j *journal) begin(task, host string, run int) *interval {
	j.mu.Lock()
	defer j.mu.Unlock()
	i := &interval{task: task, host: host, run: run, from: time.Now()}
	j.runs = append(j.runs, i)
	return i
}

func (j *journal) end(i *interval, at time.Time, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	i.to, i.how = at, how
}

// active returns the number of runs that go on, by host.
func (j *journal) active() map[string]int {
	j.mu.Lock()
	defer j.mu.Unlock()
	count := map[string]int{}
	for _, i := range j.runs {
		if i.to.IsZero() {
			count[i.host]++
		}
	}
	return count
}

// activeRun is a run that goes on.
type activeRun struct {
	number int
	seen   *interval
}

// runner is a stand-in for a worker as PROTOCOL describes it. Its steady clock runs at speed times the true one. Its runs never end by
// themselves.
type runner struct {
	host    string
	id      string
	speed   float64
	journal *journal
	born    time.Time

	mu         sync.Mutex
	token      int64
	deadlineMs int64
	active     map[string]*activeRun
	last       map[string]int // highest run that was stopped or has ended, by task
	ended      [][]any
	seq        int64
	changed    chan struct{}
	// kind is the first label of the worker.
	kind string
	// fails reports after how long a run of the job fails by its own fault, and how long other runs take; 0: never.
	fails, takes func(job string) time.Duration
}

func newRunner(host string, seen *journal) *runner {
	w := &runner{host: host, id: "i-" + host, speed: 1, journal: seen, born: time.Now(), active: map[string]*activeRun{},
		last: map[string]int{}, changed: make(chan struct{}), kind: "a"}
	go func() {
		for range time.Tick(time.Millisecond) {
			w.mu.Lock()
			w.expire()
			w.mu.Unlock()
		}
	}()
	return w
}

// clock returns the runner's steady clock in milliseconds.
func (w *runner) clock() int64 {
	return 1000 + int64(w.speed*float64(time.Since(w.born))/float64(time.Millisecond))
}

// expire kills everything once the lease is over. The runs count as ended at the moment at which the lease was over.
func (w *runner) expire() {
	if w.deadlineMs == 0 || w.clock() < w.deadlineMs || len(w.active) == 0 {
		return
	}
	over := w.born.Add(time.Duration(float64(w.deadlineMs-1000) / w.speed * float64(time.Millisecond)))
	for task := range w.active {
		w.finish(task, "lapsed", over)
	}
}

func (w *runner) finish(task, how string, at time.Time) {
	run := w.active[task]
	delete(w.active, task)
	w.last[task] = max(w.last[task], run.number)
	w.seq++
	w.ended = append(w.ended, []any{w.seq, task, run.number, how, ""})
	w.journal.end(run.seen, at, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *runner) extend(deadlineMs int64) {
	w.deadlineMs = max(w.deadlineMs, min(deadlineMs, w.clock()+maxHoldMs))
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	DeadlineMs int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	LastSeen   int64  `json:"last_seen"`
	WaitMs     int64  `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (w *runner) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	w.expire()
	if o.Token < w.token {
		w.answer(out, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	w.token = o.Token
	switch r.URL.Path {
	case "/api/run-start":
		w.extend(o.DeadlineMs)
		if reason := w.start(&o); reason != "" {
			w.answer(out, http.StatusConflict, map[string]any{"reason": reason})
			return
		}
	case "/api/run-stop":
		w.last[o.Task] = max(w.last[o.Task], o.Run)
		if run := w.active[o.Task]; run != nil && run.number <= o.Run {
			w.finish(o.Task, "stopped", time.Now())
		}
	case "/api/hold":
		w.extend(o.DeadlineMs)
		for len(w.ended) > 0 && w.ended[0][0].(int64) <= o.LastSeen {
			w.ended = w.ended[1:]
		}
		if changed := w.changed; len(w.ended) == 0 && o.WaitMs > 0 {
			w.mu.Unlock()
			select {
			case <-changed:
			case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
			w.mu.Lock()
		}
		active := [][]any{}
		for task, run := range w.active {
			active = append(active, []any{task, run.number, "", min(99, int(time.Since(run.seen.from)/time.Second)), 0})
		}
		w.answer(out, http.StatusOK, map[string]any{"active": active, "ended": append([][]any{}, w.ended...)})
		return
	}
	w.answer(out, http.StatusOK, map[string]any{})
}

// start begins a run, or returns why not.
func (w *runner) start(o *order) string {
	switch run := w.active[o.Task]; {
	case run != nil && run.number == o.Run:
		return ""
	case o.Run <= w.last[o.Task] || run != nil:
		return "old"
	case o.DeadlineMs <= w.clock():
		return "late"
	}
	run := &activeRun{number: o.Run, seen: w.journal.begin(o.Task, w.host, o.Run)}
	w.active[o.Task] = run
	w.endAfter(o.Task, run, w.takes, "done")
	w.endAfter(o.Task, run, w.fails, "failed")
	return ""
}

// endAfter ends the run after the time for its job, unless the time is 0.
func (w *runner) endAfter(task string, run *activeRun, after func(job string) time.Duration, how string) {
	if after == nil {
		return
	}
	job, _, _ := strings.Cut(task, ".")
	if wait := after(job); wait > 0 {
		time.AfterFunc(wait, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.active[task] == run {
				w.finish(task, how, time.Now())
			}
		})
	}
}

// answer releases the lock and writes the response.
func (w *runner) answer(out http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"], body["born"] = w.clock(), w.born.UnixMilli()
	w.mu.Unlock()
	data, err := json.Marshal(body)
	if err != nil {
		out.WriteHeader(http.StatusInternalServerError)
		return
	}
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	out.Write(data) //nolint:errcheck // the caller may be gone
}

// register sends a heartbeat to the host at control. The worker is reached at address.
func (w *runner) register(client *http.Client, control, address, state string) int {
	w.mu.Lock()
	w.seq++ // heartbeats and ends may share a counter: both only have to rise
	body, err := json.Marshal(map[string]any{"service": "pool", "address": address, "zone": "z", "version": "v1", "slots": 8, "state": state,
		"cold_left_ms": 0, "born": w.born.UnixMilli(), "capacity": map[string]int{"cpu": 16000, "mem_mb": 64000, "gpu": 0},
		"labels": []string{w.kind, "r1-1"}, "clock_ms": w.clock(), "seq": w.seq})
	w.mu.Unlock()
	if err != nil {
		return 0
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+control+"/api/instances/"+w.id, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}
