// Package soak runs a fleet under all faults at once for a long time and checks that
// nothing was lost, doubled or misreported. Faults and work follow from a seed; their
// interleaving with the fleet does not, because the processes run in real time.
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
	Seed      uint64
	Duration  time.Duration // of the faults and the work
	Settle    time.Duration // longest wait for everything to end after the faults, default 2m
	Injectors int           // faults at the same time, default 2
}

// Defaults of Config.
const (
	DefaultSettle    = 2 * time.Minute
	DefaultInjectors = 2
)

// Run is one run on one fleet. mu guards counts, orders, jobs and failures.
type Run struct {
	cfg     Config
	fleet   *dev.Fleet
	entries int
	watch   *observer
	client  *http.Client

	storeFaulty    sync.Mutex    // held while a store fault is in force
	replacing      [2]sync.Mutex // agents, entries: held while one is missing
	newestRevision atomic.Int64

	mu       sync.Mutex
	counts   map[string]int
	orders   []order
	jobs     []jobRecord
	failures []string
}

// Report is the result of a run.
type Report struct {
	Seed       uint64         `json:"seed"`
	Seconds    float64        `json:"seconds"`
	Counts     map[string]int `json:"counts"`
	Invariants int64          `json:"invariant_checks"`
	Orders     int            `json:"orders"`
	Jobs       int            `json:"jobs"`
	TaskStarts int            `json:"task_starts"`
	Failures   []string       `json:"failures"`
}

// Execute runs the profile's fleet under faults and returns the report. Progress lines go to the function progress.
func Execute(ctx context.Context, cfg Config, profile dev.Profile, log zerolog.Logger, progress func(string)) (Report, error) {
	if cfg.Settle == 0 {
		cfg.Settle = DefaultSettle
	}
	if cfg.Injectors == 0 {
		cfg.Injectors = DefaultInjectors
	}
	r := &Run{cfg: cfg, counts: map[string]int{}, watch: newObserver(), entries: profile.Entries,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	profile.Observer = r.watch
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
	started := time.Now()
	r.work(ctx, progress)
	r.settle(ctx, progress)
	r.check()
	if err := fleet.Stop(); err != nil {
		r.fail("stop: %v", err)
	}
	return r.report(time.Since(started)), nil
}

const (
	quickCallers = 6
	orderCallers = 3
	jobCallers   = 2
	progressTick = 5 * time.Second
)

// work runs faults and work until the duration ends.
func (r *Run) work(ctx context.Context, progress func(string)) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Duration)
	defer cancel()
	var wg sync.WaitGroup
	start := func(n int, do func(context.Context, int)) {
		for i := range n {
			wg.Add(1)
			go func() {
				defer wg.Done()
				do(ctx, i)
			}()
		}
	}
	start(quickCallers, r.quickWork)
	start(orderCallers, r.orderWork)
	start(jobCallers, r.jobWork)
	start(1, func(ctx context.Context, _ int) { r.editWork(ctx) })
	start(r.cfg.Injectors, func(ctx context.Context, i int) { r.injectFaults(ctx, 500+uint64(i)) })
	start(1, func(ctx context.Context, _ int) { r.showProgress(ctx, progress) })
	wg.Wait()
}

func (r *Run) showProgress(ctx context.Context, progress func(string)) {
	app.Every(ctx, progressTick, func() {
		starts, _ := r.watch.totals()
		r.mu.Lock()
		line := fmt.Sprintf("%d quick answers, %d orders, %d jobs, %d task starts, %d failures",
			r.counts["quick answered"], len(r.orders), len(r.jobs), starts, len(r.failures))
		r.mu.Unlock()
		progress(line)
	})
}

// settle ends all faults and waits until every accepted job has ended and the newest revision is in force.
func (r *Run) settle(ctx context.Context, progress func(string)) {
	r.fleet.Store.Faulty.Set(memstore.Faults{})
	for _, id := range r.fleet.AgentIDs() {
		r.fleet.Worker(id).SetFaults(standin.WorkerFaults{})
	}
	progress("faults ended, waiting for the accepted work")
	deadline := time.Now().Add(r.cfg.Settle)
	open := r.openJobs(ctx, r.jobs)
	for len(open) > 0 && time.Now().Before(deadline) {
		app.Sleep(ctx, 500*time.Millisecond)
		open = r.openJobs(ctx, open)
	}
	for _, j := range open {
		r.fail("job %s did not end within %s after the faults: %s", j.id, r.cfg.Settle, r.describe(ctx, j.id))
	}
	for !r.fleet.InForce(r.newestRevision.Load()) {
		if time.Now().After(deadline) {
			r.fail("revision %d is not in force everywhere", r.newestRevision.Load())
			return
		}
		app.Sleep(ctx, 100*time.Millisecond)
	}
}

// openJobs returns those of the jobs that have not ended as they must.
func (r *Run) openJobs(ctx context.Context, jobs []jobRecord) []jobRecord {
	open := []jobRecord{}
	for _, j := range jobs {
		job, err := r.job(ctx, j.id)
		if err != nil || !ended(job, j) {
			open = append(open, j)
		}
	}
	return open
}

func (r *Run) job(ctx context.Context, id string) (ledger.Job, error) {
	var job ledger.Job
	got, err := r.send(ctx, http.MethodGet, entry.PathJobs+"/"+id, "", "", 0)
	if err != nil {
		return job, err
	}
	if got.status != http.StatusOK {
		return job, eris.Errorf("status %d: %s", got.status, got.body)
	}
	return job, json.Unmarshal([]byte(got.body), &job)
}

// ended reports whether all tasks are done, or final in a job that was cancelled.
func ended(job ledger.Job, rec jobRecord) bool {
	for _, t := range job.Tasks {
		if t.State != ledger.TaskDone && !(rec.cancelled && t.State == ledger.TaskCancelled) {
			return false
		}
	}
	return len(job.Tasks) > 0
}

func (r *Run) describe(ctx context.Context, id string) string {
	job, err := r.job(ctx, id)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%+v", job.Tasks)
}

// check compares what callers were told with what the backend servers and workers saw.
func (r *Run) check() {
	runs := r.fleet.BackendRuns()
	for _, o := range r.orders {
		n := runs[o.key]
		switch {
		case n > 1:
			r.fail("order %s ran %d times", o.key, n)
		case o.success && n != 1:
			r.fail("order %s was answered and ran %d times", o.key, n)
		case o.notRun && n != 0:
			r.fail("order %s was reported as not run and ran", o.key)
		}
	}
	if n := r.fleet.BackendOverruns(); n > 0 {
		r.fail("%d requests found all slots of a backend server in use", n)
	}
}

func (r *Run) report(took time.Duration) Report {
	starts, ends := r.watch.totals()
	r.mu.Lock()
	defer r.mu.Unlock()
	for state, n := range ends {
		r.counts["task "+string(state)] = n
	}
	return Report{
		Seed: r.cfg.Seed, Seconds: took.Seconds(), Counts: r.counts, Invariants: invariant.Checked(),
		Orders: len(r.orders), Jobs: len(r.jobs), TaskStarts: starts, Failures: r.failures,
	}
}

// CountNames returns the names of the report's counts in order.
func (rep Report) CountNames() []string {
	names := make([]string, 0, len(rep.Counts))
	for name := range rep.Counts {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (r *Run) count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[name]++
}

func (r *Run) fail(format string, args ...any) {
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
