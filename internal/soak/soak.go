// Package soak runs a fleet while faults of processes, the store and workers overlap. It checks that no request or task is lost, runs
// twice or is reported with a wrong outcome. The seed determines the faults and the load. Their order relative to events in the fleet
// varies between runs, because the processes run in real time.
package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bamboofork/internal/app"
	"bamboofork/internal/dev"
	"bamboofork/internal/entry"
	"bamboofork/internal/invariant"
	"bamboofork/internal/ledger"
	"bamboofork/internal/standin"
	"bamboofork/internal/store/memstore"
)

// Config configures a run.
type Config struct {
	Seed          uint64
	Duration      time.Duration // duration of the fault injection and the load
	SettleTimeout time.Duration // maximum wait after the faults until the accepted work has ended; 0: DefaultSettleTimeout
	InjectorCount int           // number of concurrent fault injectors; 0: DefaultInjectorCount
}

// Defaults of Config.
const (
	DefaultSettleTimeout = 2 * time.Minute
	DefaultInjectorCount = 2
)

// Run is the state of one run on one fleet. mu guards counts, orders, jobs and failures.
type Run struct {
	cfg        Config
	fleet      *dev.Fleet
	entryCount int // number of entries
	observer   *observer
	client     *http.Client

	storeFaultMu   sync.Mutex    // held while a store fault is active
	restartMu      [2]sync.Mutex // held while a process is down: the first for agents, the second for entries
	latestRevision atomic.Int64  // latest accepted settings revision

	mu       sync.Mutex
	counts   map[string]int // number of events by name
	orders   []order
	jobs     []jobRecord
	failures []string
}

// Report is the result of a run. The run passed if Failures is empty.
type Report struct {
	Seed            uint64         `json:"seed"`
	Seconds         float64        `json:"seconds"`          // duration of the run
	Counts          map[string]int `json:"counts"`           // number of events by name
	InvariantChecks int64          `json:"invariant_checks"` // number of invariant checks that were evaluated
	Orders          int            `json:"orders"`           // number of requests with an idempotency key
	Jobs            int            `json:"jobs"`             // number of accepted jobs
	TaskStarts      int            `json:"task_starts"`      // number of task starts on the workers
	Failures        []string       `json:"failures"`
}

// RunSoak starts a fleet of the profile, injects faults while the fleet is under load, and returns the report. progress is called with
// each progress message.
func RunSoak(ctx context.Context, cfg Config, profile dev.Profile, log zerolog.Logger, progress func(string)) (Report, error) {
	if cfg.SettleTimeout == 0 {
		cfg.SettleTimeout = DefaultSettleTimeout
	}
	if cfg.InjectorCount == 0 {
		cfg.InjectorCount = DefaultInjectorCount
	}
	r := &Run{cfg: cfg, counts: map[string]int{}, observer: newObserver(), entryCount: profile.Entries,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	profile.Observer = r.observer
	fleet, err := dev.Start(profile, log)
	if err != nil {
		return Report{}, err
	}
	r.fleet = fleet
	readyCtx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	if err := fleet.WaitReady(readyCtx); err != nil {
		return Report{}, err
	}
	startedAt := time.Now()
	r.runLoad(ctx, progress)
	r.settle(ctx, progress)
	r.checkOrders()
	if err := fleet.Stop(); err != nil {
		r.recordFailure("stop: %v", err)
	}
	return r.buildReport(time.Since(startedAt)), nil
}

// Numbers of concurrent callers, and the interval between progress messages.
const (
	scanCallers      = 6
	orderCallers     = 3
	jobCallers       = 2
	progressInterval = 5 * time.Second
)

// runLoad generates load and injects faults for Config.Duration. Each caller and each injector has a random generator of its own, with
// the same seed and a different stream number: from 100 for latency-critical requests, from 200 for orders, from 300 for jobs, 400 for
// the editor, and from 500 for injectors.
func (r *Run) runLoad(ctx context.Context, progress func(string)) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Duration)
	defer cancel()
	var wg sync.WaitGroup
	start := func(n int, run func(context.Context, int)) {
		for i := range n {
			wg.Add(1)
			go func() {
				defer wg.Done()
				run(ctx, i)
			}()
		}
	}
	start(scanCallers, r.runScanCaller)
	start(orderCallers, r.runOrderCaller)
	start(jobCallers, r.runJobCaller)
	start(1, func(ctx context.Context, _ int) { r.runEditor(ctx) })
	start(r.cfg.InjectorCount, func(ctx context.Context, i int) { r.injectFaults(ctx, 500+uint64(i)) })
	start(1, func(ctx context.Context, _ int) { r.reportProgress(ctx, progress) })
	wg.Wait()
}

func (r *Run) reportProgress(ctx context.Context, progress func(string)) {
	app.Every(ctx, progressInterval, func() {
		starts, _ := r.observer.totals()
		r.mu.Lock()
		line := fmt.Sprintf("%d quick responses, %d orders, %d jobs, %d task starts, %d failures",
			r.counts["quick answered"], len(r.orders), len(r.jobs), starts, len(r.failures))
		r.mu.Unlock()
		progress(line)
	})
}

// settle ends all faults. It then waits until every accepted job has ended and the latest settings revision is active in every process.
// A job or revision that does not get there within Config.SettleTimeout is recorded as a failure.
func (r *Run) settle(ctx context.Context, progress func(string)) {
	r.fleet.Store.FaultyStore.SetFaults(memstore.Faults{})
	for _, id := range r.fleet.AgentIDs() {
		r.fleet.Worker(id).SetFaults(standin.WorkerFaults{})
	}
	progress("fault injection ended; waiting for the accepted work to end")
	deadline := time.Now().Add(r.cfg.SettleTimeout)
	unfinished := r.unfinishedJobs(ctx, r.jobs)
	for len(unfinished) > 0 && time.Now().Before(deadline) {
		app.Sleep(ctx, 500*time.Millisecond)
		unfinished = r.unfinishedJobs(ctx, unfinished)
	}
	for _, j := range unfinished {
		r.recordFailure("job %s did not end within %s after the faults: %s", j.id, r.cfg.SettleTimeout, r.describeTasks(ctx, j.id))
	}
	for !r.fleet.SettingsActive(r.latestRevision.Load()) {
		if time.Now().After(deadline) {
			r.recordFailure("settings revision %d is not active on all processes", r.latestRevision.Load())
			return
		}
		app.Sleep(ctx, 100*time.Millisecond)
	}
}

// unfinishedJobs returns those of the jobs that have not ended as expected or whose state could not be read.
func (r *Run) unfinishedJobs(ctx context.Context, jobs []jobRecord) []jobRecord {
	unfinished := []jobRecord{}
	for _, j := range jobs {
		job, err := r.readJob(ctx, j.id)
		if err != nil || !hasEnded(job, j) {
			unfinished = append(unfinished, j)
		}
	}
	return unfinished
}

func (r *Run) readJob(ctx context.Context, id string) (ledger.Job, error) {
	var job ledger.Job
	resp, err := r.send(ctx, http.MethodGet, entry.PathJobs+"/"+id, "", "", 0)
	if err != nil {
		return job, err
	}
	if resp.status != http.StatusOK {
		return job, eris.Errorf("status %d: %s", resp.status, resp.body)
	}
	return job, json.Unmarshal([]byte(resp.body), &job)
}

// hasEnded reports whether every task of the job is done. If the caller requested the cancellation of the job, a task may also be
// cancelled.
func hasEnded(job ledger.Job, rec jobRecord) bool {
	for _, t := range job.Tasks {
		if t.State != ledger.TaskDone && !(rec.cancelRequested && t.State == ledger.TaskCancelled) {
			return false
		}
	}
	return len(job.Tasks) > 0
}

func (r *Run) describeTasks(ctx context.Context, id string) string {
	job, err := r.readJob(ctx, id)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%+v", job.Tasks)
}

// checkOrders compares the outcomes that the callers received with the runs that the backend servers recorded. It also checks that no
// backend server received more requests than it has slots.
func (r *Run) checkOrders() {
	runsByKey := r.fleet.BackendRuns()
	for _, o := range r.orders {
		runCount := runsByKey[o.key]
		switch {
		case runCount > 1:
			r.recordFailure("order %s ran %d times", o.key, runCount)
		case o.succeeded && runCount != 1:
			r.recordFailure("order %s was answered with status 200 but ran %d times", o.key, runCount)
		case o.reportedNotRun && runCount != 0:
			r.recordFailure("order %s was reported as not run but ran", o.key)
		}
	}
	if n := r.fleet.BackendOverruns(); n > 0 {
		r.recordFailure("%d requests found all slots of a backend server in use", n)
	}
}

func (r *Run) buildReport(duration time.Duration) Report {
	starts, ends := r.observer.totals()
	r.mu.Lock()
	defer r.mu.Unlock()
	for state, n := range ends {
		r.counts["task "+string(state)] = n
	}
	return Report{
		Seed: r.cfg.Seed, Seconds: duration.Seconds(), Counts: r.counts, InvariantChecks: invariant.CheckCount(),
		Orders: len(r.orders), Jobs: len(r.jobs), TaskStarts: starts, Failures: r.failures,
	}
}

// CountNames returns the sorted keys of Counts.
func (rep Report) CountNames() []string {
	names := make([]string, 0, len(rep.Counts))
	for name := range rep.Counts {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (r *Run) countEvent(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[name]++
}

func (r *Run) recordFailure(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, fmt.Sprintf(format, args...))
}

func (r *Run) addOrder(o order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = append(r.orders, o)
}

func (r *Run) addJob(j jobRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs = append(r.jobs, j)
}
