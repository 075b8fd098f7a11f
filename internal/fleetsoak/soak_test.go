package fleetsoak_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/app"
	"bamboofork/platform/standin"
)

var (
	firstSeed  = flag.Uint64("first", 1, "first seed of the soak")
	seedCount  = flag.Uint64("seeds", 1, "number of seeds")
	faultTime  = flag.Duration("faults-for", 6*time.Second, "time under faults for each seed")
	hostCount  = flag.Int("hosts", 4, "hosts with a worker")
	entryCount = flag.Int("fronts", 2, "entries")
	logDir     = flag.String("logs", "", "directory for the logs of a seed that fails; empty: none are kept")
)

const (
	workerCPU     = 16_000
	injectorCount = 3
	callerCount   = 4
	settleTimeout = 60 * time.Second // for accepted jobs to end after the faults
	// maxStartAfterCancel is how long after the response to the cancellation a task of the job may still start: 3 s according to the
	// platform's documentation, plus the injected delay of commands to workers.
	maxStartAfterCancel = 3*time.Second + 1500*time.Millisecond
	// perpetualPrefix starts the IDs of jobs whose tasks run until they are cancelled.
	perpetualPrefix = "fe"
)

// taskProfile returns the duration of a task and the resources it needs.
func taskProfile(task string) (time.Duration, standin.Need) {
	if strings.HasPrefix(task, perpetualPrefix) {
		return time.Hour, standin.Need{CPU: 1000}
	}
	return 80 * time.Millisecond, standin.Need{CPU: 2000}
}

// jobRecord is what the caller of one job observed. Only the caller writes it; it is read after all callers have returned.
type jobRecord struct {
	id        string
	tasks     int
	accepted  bool
	uncertain bool // an attempt had no certain outcome
	cancelled time.Time
}

// soakRun is the soak of one seed. mu guards jobs and counts.
type soakRun struct {
	*fleet
	client *http.Client
	mu     sync.Mutex
	jobs   []*jobRecord
	counts map[string]int
}

// TestSoak checks the guarantees to callers under overlapping faults: accepted jobs end and stay known, no task runs twice or
// after its end, rejected jobs never run, cancelled jobs stop, no worker is given more than its capacity, and no process exits
// unexpectedly.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts separate processes")
	}
	for _, r := range regressions {
		t.Run(fmt.Sprint("regression=", r.seed), func(t *testing.T) {
			t.Log(r.cause)
			runSeed(t, r.seed)
		})
	}
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { runSeed(t, seed) })
	}
}

// regressions are seeds that have failed, each with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{2, "ends of runs on a restarted worker were acknowledged with sequence numbers from before the restart"},
	{11, "as seed 2, and runs were started after a worker restart that the agent had not detected"},
	{13, "as seed 2 and seed 11"},
}

func runSeed(t *testing.T, seed uint64) {
	r := &soakRun{fleet: newFleet(t, seed, *entryCount, *hostCount), client: &http.Client{Timeout: 4 * time.Second}, counts: map[string]int{}}
	defer func() { r.keepLogs(seed) }()
	ctx, cancel := context.WithTimeout(context.Background(), *faultTime)
	defer cancel()
	var wg sync.WaitGroup
	for i := range uint64(injectorCount) {
		rng := rand.New(rand.NewPCG(seed, i))
		wg.Go(func() {
			for ctx.Err() == nil {
				fault := pickFault(rng)
				r.count("fault: " + fault.name)
				fault.inject(ctx, r.fleet, rng)
				app.Sleep(ctx, randomDuration(rng, 50*time.Millisecond, 600*time.Millisecond))
			}
		})
	}
	for i := range uint64(callerCount) {
		rng := rand.New(rand.NewPCG(seed, 100+i))
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				r.submitJob(ctx, rng, i, n)
				app.Sleep(ctx, randomDuration(rng, 10*time.Millisecond, 150*time.Millisecond))
			}
		})
	}
	wg.Wait()
	r.settle()
	r.check()
	t.Logf("%d jobs, %d starts, %v", len(r.jobs), r.checker.Starts(), r.counts)
}

func (r *soakRun) count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[name]++
}

// submitJob submits one job, with up to 8 attempts until it is accepted, and sometimes cancels it.
func (r *soakRun) submitJob(ctx context.Context, rng *rand.Rand, caller uint64, n int) {
	prefix, body, tasks := "01", standin.TwoSteps, 7
	if rng.IntN(12) == 0 {
		prefix, body, tasks = perpetualPrefix, `{"spec":"x","steps":[{"count":2,"cpu":1000,"mem_mb":100,"perpetual":true}]}`, 2
	}
	j := &jobRecord{id: fmt.Sprintf("%s%02x%012x", prefix, caller, n), tasks: tasks}
	r.mu.Lock()
	r.jobs = append(r.jobs, j)
	r.mu.Unlock()
	for attempt := 0; attempt < 8 && ctx.Err() == nil; attempt++ {
		code, _ := r.request(rng, http.MethodPost, j.id, body)
		r.count(fmt.Sprint("submit ", code))
		if code == http.StatusOK {
			j.accepted = true
			break
		}
		j.uncertain = j.uncertain || (code != http.StatusServiceUnavailable && code != http.StatusTooManyRequests)
		app.Sleep(ctx, randomDuration(rng, 50*time.Millisecond, 400*time.Millisecond))
	}
	if j.accepted && rng.IntN(8) == 0 {
		r.cancel(rng, j)
	}
}

// cancel cancels a job and records the time of the response.
func (r *soakRun) cancel(rng *rand.Rand, j *jobRecord) {
	for range 100 {
		if code, _ := r.request(rng, http.MethodDelete, j.id, ""); code == http.StatusOK {
			j.cancelled = time.Now()
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	r.t.Errorf("job %s: the cancellation got no response with status 200", j.id)
}

// request sends a request to a random entry over a kept-alive connection. It returns the status code, 0 without a response,
// and the state of the job.
func (r *soakRun) request(rng *rand.Rand, method, id, body string) (int, string) {
	req, err := http.NewRequest(method, pick(rng, r.urls)+standin.QueuePrefix+id, strings.NewReader(body))
	qt.Check(r.t, err, qt.IsNil)
	req.Host = standin.QueueHost
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	var s struct {
		State string `json:"state"`
	}
	if json.Unmarshal(b, &s) != nil {
		return resp.StatusCode, ""
	}
	return resp.StatusCode, s.State
}

// settle waits, without faults, until every accepted job has ended, and cancels the perpetual ones.
func (r *soakRun) settle() {
	rng := rand.New(rand.NewPCG(1, 1))
	end := time.Now().Add(settleTimeout)
	for _, j := range r.jobs {
		if !j.accepted {
			continue
		}
		if strings.HasPrefix(j.id, perpetualPrefix) && j.cancelled.IsZero() {
			r.cancel(rng, j)
		}
		want := "completed"
		if !j.cancelled.IsZero() {
			want = "cancelled"
		}
		for code, state := 0, ""; state != want; code, state = r.request(rng, http.MethodGet, j.id, "") {
			if code == http.StatusGone || state == "failed" || (state == "completed" && want == "cancelled") {
				if state == "" {
					r.t.Errorf("accepted job %s is unknown", j.id)
				}
				break // a job fails when its tasks fail more often than the queue allows, and it may complete before it is cancelled
			}
			if time.Now().After(end) {
				r.t.Errorf("job %s: %d %q, want %s", j.id, code, state, want)
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		if _, state := r.request(rng, http.MethodGet, j.id, ""); state == "completed" && r.checker.DoneTasks(j.id) != j.tasks {
			r.t.Errorf("job %s is reported as completed, but %d of %d tasks are done", j.id, r.checker.DoneTasks(j.id), j.tasks)
		}
	}
}

func (r *soakRun) check() {
	qt.Check(r.t, r.checker.Violations(), qt.HasLen, 0)
	for _, j := range r.jobs {
		last := r.checker.LastStart(j.id)
		if !j.accepted && !j.uncertain && !last.IsZero() {
			r.t.Errorf("job %s ran although every attempt was rejected", j.id)
		}
		if late := last.Sub(j.cancelled); !j.cancelled.IsZero() && late > maxStartAfterCancel {
			r.t.Errorf("job %s: a task started %s after the job was cancelled", j.id, late)
		}
	}
	for _, p := range r.procs() {
		p.mu.Lock()
		qt.Check(r.t, p.unexpectedEvents, qt.HasLen, 0, qt.Commentf("%s", p.name))
		qt.Check(r.t, strings.Contains(p.log.String(), `"event":9100`), qt.IsFalse, qt.Commentf("broken invariant in %s", p.name))
		p.mu.Unlock()
	}
}
