package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"bamboofork/internal/entry"
	"bamboofork/internal/ledger"
	"bamboofork/internal/settings"
	"bamboofork/internal/store/etcdgw"
	"bamboofork/internal/worker"
)

// stepResult is the result of one step of the demonstration, printed as one line of its summary.
type stepResult struct {
	name   string
	detail string
	err    error
}

// Demo runs the main features on a fleet of the workshop profile. It prints a line for each step and a table of the results at the end.
type Demo struct {
	fleet  *Fleet
	out    io.Writer
	client *http.Client
	steps  []stepResult
}

// NewDemo returns a demonstration that runs on the fleet and prints to out.
func NewDemo(f *Fleet, out io.Writer) *Demo {
	return &Demo{fleet: f, out: out, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

func (d *Demo) printf(format string, args ...any) { fmt.Fprintf(d.out, format+"\n", args...) }

func (d *Demo) recordStep(name string, err error, format string, args ...any) {
	s := stepResult{name: name, detail: fmt.Sprintf(format, args...), err: err}
	d.steps = append(d.steps, s)
	if err != nil {
		s.detail = err.Error()
	}
	d.printf("  %s: %s", name, s.detail)
}

// demoTimeout limits the duration of the whole demonstration.
const demoTimeout = 60 * time.Second

// Run executes the demonstration. It returns an error if a step failed.
func (d *Demo) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	defer d.client.CloseIdleConnections()
	d.printf("A long-lived watch stays open throughout.")
	watch := d.openWatch(ctx)
	d.printf("Quick requests are answered by the runners.")
	correctResponses, err := d.sendFootScans(ctx, 200, 8, "")
	d.recordStep("quick requests", err, "%d responses, each checked against its request", correctResponses)
	d.printf("A moulding plan is submitted as a batch job.")
	id, err := d.submitJob(ctx)
	d.recordStep("batch job accepted", err, "job %s is durable", id)
	if err == nil {
		d.followJob(ctx, id)
	}
	d.printf("An operator edits the settings tree; the edit must take effect in every process.")
	propagationTime, err := d.editSettings(ctx)
	d.recordStep("settings edit", err, "active in all %d processes after %s",
		len(d.fleet.Agents)+len(d.fleet.Entries), propagationTime.Round(time.Millisecond))
	d.printf("A moulding order is sent three times with one key.")
	d.recordStep("at most once", d.checkAtMostOnce(ctx), "3 requests, 1 run, the same response")
	d.recordStep("long-lived watch", watch.close(), "%d lines without a gap", watch.lineCount.Load())
	return d.printSummary()
}

// printSummary prints the result of each step. It returns an error that names the last failed step, if any.
func (d *Demo) printSummary() error {
	d.printf("")
	table := tabwriter.NewWriter(d.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "STEP\tRESULT\tDETAIL")
	var stepErr error
	for _, s := range d.steps {
		result, detail := "ok", s.detail
		if s.err != nil {
			result, detail = "FAILED", s.err.Error()
			stepErr = eris.Errorf("step %q failed", s.name)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\n", s.name, result, detail)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return stepErr
}

// sendFootScans sends n latency-critical requests from concurrent callers and verifies every response. It returns the number of
// correct responses and one of the errors, if any request failed. query is appended to the URL.
func (d *Demo) sendFootScans(ctx context.Context, n, callers int, query string) (int64, error) {
	var correct atomic.Int64
	var failure atomic.Pointer[error]
	var wg sync.WaitGroup
	for c := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range n / callers {
				if err := d.sendFootScan(ctx, c, fmt.Sprintf("scan-%d-%d", c, i), query); err != nil {
					failure.Store(&err)
					continue
				}
				correct.Add(1)
			}
		}()
	}
	wg.Wait()
	if err := failure.Load(); err != nil {
		return correct.Load(), *err
	}
	return correct.Load(), nil
}

func (d *Demo) sendFootScan(ctx context.Context, caller int, body, query string) error {
	url := d.fleet.EntryURL(caller%d.fleet.Profile.Entries) + "/v1/run/workshop/foot-scan/fitting-desk/-/scan" + query
	status, respBody, err := d.request(ctx, http.MethodPost, url, "", []byte(body))
	if err != nil {
		return err
	}
	if status != http.StatusOK || !bytes.HasSuffix(respBody, []byte("/scan "+body+"\n")) {
		return eris.Errorf("status %d, response %q to request %q", status, respBody, body)
	}
	return nil
}

func (d *Demo) request(ctx context.Context, method, url, key string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(resp.Body)
	return resp.StatusCode, respBody, err
}

// demoTaskRunTime is the declared run time of each task of the batch job.
const demoTaskRunTime = 4 * time.Second

func (d *Demo) submitJob(ctx context.Context) (string, error) {
	body, err := json.Marshal(entry.JobRequest{
		Branch: "workshop/moulding-plans", Tasks: 11,
		Need: worker.Resources{Cores: 40, MemoryMB: 40_000}, RunMs: demoTaskRunTime.Milliseconds(),
	})
	if err != nil {
		return "", err
	}
	for {
		status, respBody, err := d.request(ctx, http.MethodPost, d.fleet.EntryURL(0)+entry.PathJobs, "demo-plan", body)
		if err != nil {
			return "", err
		}
		if status == http.StatusAccepted {
			var out struct{ ID string }
			return out.ID, json.Unmarshal(respBody, &out)
		}
		select { // right after the start, partitions may not have an owner yet
		case <-ctx.Done():
			return "", eris.Errorf("status %d: %s", status, respBody)
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// followJob records three steps: a task of the job is placed, a task is evicted during a burst of latency-critical requests, and
// all tasks are done, with one resume per eviction.
func (d *Demo) followJob(ctx context.Context, id string) {
	job, err := d.awaitJob(ctx, id, func(j ledger.Job) bool { return countTasks(j, ledger.TaskPlaced) > 0 })
	d.recordStep("batch job placed", err, "%d of %d tasks placed", countTasks(job, ledger.TaskPlaced), len(job.Tasks))
	d.printf("A burst of quick work arrives; the batch tasks slow it down, so the agents throttle and evict them.")
	burstCtx, stopBurst := context.WithCancel(ctx)
	burstEnded := make(chan struct{})
	go func() {
		defer close(burstEnded)
		for burstCtx.Err() == nil {
			d.sendFootScans(burstCtx, 160, 40, "") //nolint:errcheck // requests may be cancelled when the burst ends
		}
	}()
	job, err = d.awaitJob(ctx, id, func(j ledger.Job) bool { return totalEvictions(j) > 0 })
	stopBurst()
	<-burstEnded
	d.recordStep("batch task evicted", err, "%d evictions for quick work", totalEvictions(job))
	job, err = d.awaitJob(ctx, id, func(j ledger.Job) bool { return j.Finished() })
	if err == nil && (totalResumes(job) != totalEvictions(job) || countTasks(job, ledger.TaskDone) != len(job.Tasks)) {
		err = eris.Errorf("%d evictions, %d resumes, %d of %d tasks done",
			totalEvictions(job), totalResumes(job), countTasks(job, ledger.TaskDone), len(job.Tasks))
	}
	d.recordStep("batch job resumed and finished", err, "%d evictions, %d resumes, %d tasks done",
		totalEvictions(job), totalResumes(job), countTasks(job, ledger.TaskDone))
}

func countTasks(j ledger.Job, state ledger.TaskState) int {
	n := 0
	for _, t := range j.Tasks {
		if t.State == state {
			n++
		}
	}
	return n
}

func totalEvictions(j ledger.Job) int {
	n := 0
	for _, t := range j.Tasks {
		n += t.Evictions
	}
	return n
}

func totalResumes(j ledger.Job) int {
	n := 0
	for _, t := range j.Tasks {
		n += t.Resumes
	}
	return n
}

func (d *Demo) awaitJob(ctx context.Context, id string, ok func(ledger.Job) bool) (ledger.Job, error) {
	var job ledger.Job
	for {
		status, respBody, err := d.request(ctx, http.MethodGet, d.fleet.EntryURL(1)+entry.PathJobs+"/"+id, "", nil)
		if err == nil && status == http.StatusOK {
			if err := json.Unmarshal(respBody, &job); err != nil {
				return job, err
			}
			if ok(job) {
				return job, nil
			}
		}
		select {
		case <-ctx.Done():
			return job, eris.Errorf("job did not reach the expected state within %s", demoTimeout)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// editSettings commits an edit and returns the time from its acceptance until it is active in every process.
func (d *Demo) editSettings(ctx context.Context) (time.Duration, error) {
	st := etcdgw.NewClientOn(d.fleet.Profile.Network, d.fleet.StoreURL, 0)
	defer st.Close()
	repo := settings.NewRepository(st, "demo-operator")
	_, base, err := repo.Load(ctx)
	if err != nil {
		return 0, err
	}
	weight := "55"
	edit := settings.Edit{Author: "demo", Changes: []settings.Change{{Branch: "workshop/foot-scan/fitting-desk", Set: map[string]*string{"weight": &weight}}}}
	rev, err := repo.Commit(ctx, base, edit)
	if err != nil {
		return 0, err
	}
	acceptedAt := time.Now()
	for !d.fleet.SettingsActive(rev) {
		select {
		case <-ctx.Done():
			return 0, eris.Errorf("settings revision %d is not active in all processes", rev)
		case <-time.After(5 * time.Millisecond):
		}
	}
	return time.Since(acceptedAt), nil
}

// SettingsActive reports whether the settings revision, or a later one, is active in every process.
func (f *Fleet) SettingsActive(rev int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, hosts := range []map[string]*Host{f.Agents, f.Entries} {
		for _, h := range hosts {
			if h.Node.LiveSettings.Current().Revision < rev {
				return false
			}
		}
	}
	return true
}

func (d *Demo) checkAtMostOnce(ctx context.Context) error {
	var first []byte
	for i := range 3 {
		url := d.fleet.EntryURL(i%d.fleet.Profile.Entries) + "/v1/run/workshop/moulding-orders/-/order"
		status, respBody, err := d.request(ctx, http.MethodPost, url, "demo-order-1", []byte("one shell"))
		if err != nil {
			return err
		}
		if status != http.StatusOK {
			return eris.Errorf("status %d: %s", status, respBody)
		}
		if i == 0 {
			first = respBody
		}
		if !bytes.Equal(first, respBody) {
			return eris.Errorf("response %q differs from the first response %q", respBody, first)
		}
	}
	runs := 0
	for _, h := range d.fleet.Agents {
		runs += h.Backend.RunsByKey()["demo-order-1"]
	}
	if runs != 1 {
		return eris.Errorf("order ran %d times, want 1", runs)
	}
	return nil
}

// watchStream reads a long-lived streaming response and counts its lines.
type watchStream struct {
	lineCount atomic.Int64
	cancel    context.CancelFunc
	result    chan error // receives the result of readWatch
}

func (d *Demo) openWatch(ctx context.Context) *watchStream {
	ctx, cancel := context.WithCancel(ctx)
	w := &watchStream{cancel: cancel, result: make(chan error, 1)}
	go func() { w.result <- d.readWatch(ctx, w) }()
	return w
}

func (d *Demo) readWatch(ctx context.Context, w *watchStream) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.fleet.EntryURL(0)+"/v1/run/workshop/liner-heating/-/stream", nil)
	if err != nil {
		return err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("watch: status %d", resp.StatusCode)
	}
	var name string
	for i := 0; ; i++ {
		var n int
		if _, err := fmt.Fscanf(resp.Body, "%s line %d\n", &name, &n); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return eris.Wrapf(err, "watch ended after %d lines", i)
		}
		if n != i {
			return eris.Errorf("watch: got line %d, want line %d", n, i)
		}
		w.lineCount.Add(1)
	}
}

// close ends the watch. It returns an error if the stream had already ended or a line was missing from it.
func (w *watchStream) close() error {
	select {
	case err := <-w.result:
		if err == nil {
			err = eris.New("watch ended before it was closed")
		}
		return err
	default:
	}
	w.cancel()
	return <-w.result
}
