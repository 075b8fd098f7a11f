// Package soak runs a fleet under overlapping faults of all kinds and checks that no request or task was lost, run twice or
// reported with a wrong outcome. The seed determines faults and load, but not their interleaving with the fleet, because the
// processes run in real time.
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
	Duration      time.Duration // of the fault injection and the load
	SettleTimeout time.Duration // maximum wait for the accepted work to end after the faults, default 2m
	Injectors     int           // concurrent fault injectors, default 2
}

// Defaults of Config.
const (
	DefaultSettleTimeout = 2 * time.Minute
	DefaultInjectors     = 2
)

// Run is one run on one fleet. mu guards counts, orders, jobs and failures.
type Run struct {
	cfg      Config
	fleet    *dev.Fleet
	entries  int // number of entries
	observer *observer
	client   *http.Client

	storeFault     sync.Mutex    // held while a store fault is active
	restarting     [2]sync.Mutex // agents, entries: held while one of them is down
	latestRevision atomic.Int64

	mu       sync.Mutex
	counts   map[string]int
	orders   []order
	jobs     []jobRecord
	failures []string
}

// Report is the result of a run.
type Report struct {
	Seed            uint64         `json:"seed"`
	Seconds         float64        `json:"seconds"`
	Counts          map[string]int `json:"counts"`
	InvariantChecks int64          `json:"invariant_checks"`
	Orders          int            `json:"orders"`
	Jobs            int            `json:"jobs"`
	TaskStarts      int            `json:"task_starts"`
	Failures        []string       `json:"failures"`
}

// RunSoak runs the profile's fleet under faults and returns the report. It passes progress messages to progress.
func RunSoak(ctx context.Context, cfg Config, profile dev.Profile, log zerolog.Logger, progress func(string)) (Report, error) {
	if cfg.SettleTimeout == 0 {
		cfg.SettleTimeout = DefaultSettleTimeout
	}
	if cfg.Injectors == 0 {
		cfg.Injectors = DefaultInjectors
	}
	r := &Run{cfg: cfg, counts: map[string]int{}, observer: newObserver(), entries: profile.Entries,
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
	started := time.Now()
	r.runLoad(ctx, progress)
	r.settle(ctx, progress)
	r.check()
	if err := fleet.Stop(); err != nil {
		r.fail("stop: %v", err)
	}
	return r.report(time.Since(started)), nil
}

const (
	quickCallers     = 6
	orderCallers     = 3
	jobCallers       = 2
	progressInterval = 5 * time.Second
)

// runLoad generates load and injects faults for the configured duration. Each caller and injector draws from a random stream of
// its own: 100 and up for quick requests, 200 for orders, 300 for jobs, 400 for the editor, 500 for injectors.
func (r *Run) runLoad(ctx context.Context, progress func(string)) {
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
	start(quickCallers, r.runQuickCaller)
	start(orderCallers, r.runOrderCaller)
	start(jobCallers, r.runJobCaller)
	start(1, func(ctx context.Context, _ int) { r.runEditor(ctx) })
	start(r.cfg.Injectors, func(ctx context.Context, i int) { r.injectFaults(ctx, 500+uint64(i)) })
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

// settle ends all faults and waits until every accepted job has ended and the latest settings revision is active everywhere.
func (r *Run) settle(ctx context.Context, progress func(string)) {
	r.fleet.Store.Faulty.SetFaults(memstore.Faults{})
	for _, id := range r.fleet.AgentIDs() {
		r.fleet.Worker(id).SetFaults(standin.WorkerFaults{})
	}
	progress("fault injection ended; waiting for the accepted work to end")
	deadline := time.Now().Add(r.cfg.SettleTimeout)
	open := r.openJobs(ctx, r.jobs)
	for len(open) > 0 && time.Now().Before(deadline) {
		app.Sleep(ctx, 500*time.Millisecond)
		open = r.openJobs(ctx, open)
	}
	for _, j := range open {
		r.fail("job %s did not end within %s after the faults: %s", j.id, r.cfg.SettleTimeout, r.describeTasks(ctx, j.id))
	}
	for !r.fleet.SettingsActive(r.latestRevision.Load()) {
		if time.Now().After(deadline) {
			r.fail("settings revision %d is not active on all processes", r.latestRevision.Load())
			return
		}
		app.Sleep(ctx, 100*time.Millisecond)
	}
}

// openJobs returns the jobs that have not ended with the expected outcome or could not be read.
func (r *Run) openJobs(ctx context.Context, jobs []jobRecord) []jobRecord {
	open := []jobRecord{}
	for _, j := range jobs {
		job, err := r.readJob(ctx, j.id)
		if err != nil || !ended(job, j) {
			open = append(open, j)
		}
	}
	return open
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

// ended reports whether all tasks are done, or done or cancelled if the job's cancellation was requested.
func ended(job ledger.Job, rec jobRecord) bool {
	for _, t := range job.Tasks {
		if t.State != ledger.TaskDone && !(rec.cancelled && t.State == ledger.TaskCancelled) {
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

// check compares the outcomes reported to callers with the runs that the backend servers recorded.
func (r *Run) check() {
	runs := r.fleet.BackendRuns()
	for _, o := range r.orders {
		n := runs[o.key]
		switch {
		case n > 1:
			r.fail("order %s ran %d times", o.key, n)
		case o.success && n != 1:
			r.fail("order %s was answered with status 200 but ran %d times", o.key, n)
		case o.notRun && n != 0:
			r.fail("order %s was reported as not run but ran", o.key)
		}
	}
	if n := r.fleet.BackendOverruns(); n > 0 {
		r.fail("%d requests found all slots of a backend server in use", n)
	}
}

func (r *Run) report(took time.Duration) Report {
	starts, ends := r.observer.totals()
	r.mu.Lock()
	defer r.mu.Unlock()
	for state, n := range ends {
		r.counts["task "+string(state)] = n
	}
	return Report{
		Seed: r.cfg.Seed, Seconds: took.Seconds(), Counts: r.counts, InvariantChecks: invariant.CheckCount(),
		Orders: len(r.orders), Jobs: len(r.jobs), TaskStarts: starts, Failures: r.failures,
	}
}

// CountNames returns the sorted names of the report's counts.
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
