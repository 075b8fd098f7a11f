package e2e_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/examples"
	"bamboofork/internal/dev"
	"bamboofork/internal/entry"
	"bamboofork/internal/ledger"
	"bamboofork/internal/operatorapi"
	"bamboofork/internal/worker"
)

// process is a program started by a test. mu guards log, and cmd and done while start sets them.
type process struct {
	name string
	path string
	args []string

	mu   sync.Mutex
	cmd  *exec.Cmd
	log  bytes.Buffer
	done chan struct{}
}

func (p *process) start(t *testing.T) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(p.path, p.args...)
	p.cmd.Stderr = &lockedWriter{p: p}
	qt.Assert(t, p.cmd.Start(), qt.IsNil)
	done := make(chan struct{})
	p.done = done
	cmd := p.cmd
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
}

// lockedWriter appends to the log of a process.
type lockedWriter struct{ p *process }

func (w *lockedWriter) Write(b []byte) (int, error) {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	return w.p.log.Write(b)
}

func (p *process) logText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	qt.Assert(t, p.cmd.Process.Signal(s), qt.IsNil)
}

// stop sends the signal and waits until the process has ended.
func (p *process) stop(t *testing.T, s syscall.Signal) {
	t.Helper()
	p.signal(t, s)
	select {
	case <-p.done:
	case <-time.After(20 * time.Second):
		t.Errorf("%s did not exit within 20 s after signal %v", p.name, s)
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// fleet is a fleet of separate processes on loopback.
type fleet struct {
	t           *testing.T
	bin         string // directory of the programs
	dir         string // directory of the settings files
	storeURL    string
	platform    *process
	agents      []*process
	entries     []*process
	callerAddrs []string // addresses of the entries' caller APIs
	runnerAddrs []string // addresses of the backend servers
	workerAddrs []string // addresses of the workers
	client      *http.Client
}

const (
	agentCount = 4
	entryCount = 2
)

// startFleet builds the programs and starts the simulated platform, runners, agents and entries.
func startFleet(t *testing.T) *fleet {
	f := &fleet{t: t, bin: t.TempDir(), dir: t.TempDir(), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
	build := exec.Command("go", "build", "-o", f.bin, "bamboofork/cmd/...")
	out, err := build.CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	store := f.freeAddr()
	f.storeURL = "http://" + store
	args := []string{"--store", store, "--log-level", "error"}
	for range agentCount {
		f.workerAddrs = append(f.workerAddrs, f.freeAddr())
		args = append(args, "--worker", f.workerAddrs[len(f.workerAddrs)-1]+"/16/64000/0")
	}
	f.platform = f.startProgram("bf-platform", args...)
	seeds := []string{}
	for range entryCount {
		seeds = append(seeds, f.freeAddr())
	}
	for i := range agentCount {
		f.startAgent(i, seeds)
	}
	for i := range entryCount {
		f.startEntry(i, seeds)
	}
	f.applySettings()
	return f
}

func (f *fleet) freeAddr() string {
	addr, err := dev.FreeAddr()
	qt.Assert(f.t, err, qt.IsNil)
	return addr
}

func (f *fleet) startProgram(name string, args ...string) *process {
	p := &process{name: name, path: filepath.Join(f.bin, name), args: args}
	p.start(f.t)
	f.t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
		if f.t.Failed() && os.Getenv("E2E_LOGS") != "" {
			f.t.Logf("log of %s %v:\n%s", p.name, p.args, p.logText())
		}
	})
	return p
}

func (f *fleet) writeConfig(name string, lines ...string) string {
	file := filepath.Join(f.dir, name+".yaml")
	qt.Assert(f.t, os.WriteFile(file, []byte(strings.Join(lines, "\n")+"\n"), 0o600), qt.IsNil)
	return file
}

func (f *fleet) commonConfig(id string, i int, control string, seeds []string) []string {
	return []string{
		"id: " + id, fmt.Sprintf("domain: domain-%d", i%3+1), fmt.Sprintf("rack: rack-%d", i/2+1),
		"store: " + f.storeURL, "seeds: [" + strings.Join(seeds, ", ") + "]",
		"lease_ttl: 3s", "outage_hold: 5s", "drain: 4s", "log_level: info", "partitions: 4", "max_partitions: 4",
		"listen:", "  control: " + control,
	}
}

func (f *fleet) startAgent(i int, seeds []string) {
	runner := f.freeAddr()
	f.runnerAddrs = append(f.runnerAddrs, runner)
	f.startProgram("bf-runner", "--addr", runner, "--backend-name", fmt.Sprintf("runner-%d", i+1), "--log-level", "error")
	lines := append(f.commonConfig(fmt.Sprintf("agent-%d", i+1), i, f.freeAddr(), seeds), "  data: "+f.freeAddr(),
		"backend:", "  name: fitting-desk", "  addr: "+runner, "  slots: 8", "  conns: 64",
		"worker:", "  url: http://"+f.workerAddrs[i], "  reserve: {cores: 2, memory_mb: 4000}")
	f.agents = append(f.agents, f.startProgram("bf-agent", "--config", f.writeConfig(fmt.Sprintf("agent-%d", i+1), lines...)))
}

func (f *fleet) startEntry(i int, seeds []string) {
	callerAddr := f.freeAddr()
	f.callerAddrs = append(f.callerAddrs, callerAddr)
	lines := append(f.commonConfig(fmt.Sprintf("entry-%d", i+1), i, seeds[i], seeds), "  callers: "+callerAddr)
	f.entries = append(f.entries, f.startProgram("bf-entry", "--config", f.writeConfig(fmt.Sprintf("entry-%d", i+1), lines...)))
}

// applySettings applies the workshop's settings tree with short holds through the command line, and waits until it is active.
func (f *fleet) applySettings() {
	text := bytes.Replace(examples.Workshop, []byte("  deadline: 2s\n"), []byte("  deadline: 3s\n  hold: 2s\n"), 1)
	file := filepath.Join(f.dir, "tree.yaml")
	qt.Assert(f.t, os.WriteFile(file, text, 0o600), qt.IsNil)
	f.eventually("settings are accepted", 20*time.Second, func() error {
		cmd := exec.Command(filepath.Join(f.bin, "bf"), "--store", f.storeURL, "settings", "apply", file)
		out, err := cmd.CombinedOutput()
		if err != nil {
			return fmt.Errorf("%w: %s", err, out)
		}
		return nil
	})
	f.eventually("every entry knows every agent and the tree", 30*time.Second, f.allAgentsKnown)
	f.eventually("quick requests succeed", 30*time.Second, func() error {
		_, err := f.sendQuick(0, "warm-up")
		return err
	})
}

func (f *fleet) allAgentsKnown() error {
	for _, callerAddr := range f.callerAddrs {
		_, respBody, err := f.request(http.MethodGet, "http://"+callerAddr+"/v1/status", "", "")
		if err != nil {
			return err
		}
		var status operatorapi.Status
		if err := json.Unmarshal([]byte(respBody), &status); err != nil {
			return err
		}
		agents := 0
		for _, m := range status.Members {
			if m.Load.Slots > 0 && m.SettingsRev > 0 {
				agents++
			}
		}
		if agents < agentCount || status.Revision == 0 {
			return fmt.Errorf("%s knows %d agents at revision %d", status.Self.ID, agents, status.Revision)
		}
	}
	return nil
}

// eventually repeats the check until it succeeds, and fails the test after the limit.
func (f *fleet) eventually(what string, limit time.Duration, check func() error) {
	f.t.Helper()
	deadline := time.Now().Add(limit)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("%s: not within %s: %v", what, limit, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// sendQuick sends one foot-scan request to an entry and verifies the response.
func (f *fleet) sendQuick(entryIndex int, body string) (string, error) {
	url := "http://" + f.callerAddrs[entryIndex] + "/v1/run/workshop/foot-scan/fitting-desk/-/scan"
	status, respBody, err := f.request(http.MethodPost, url, "", body)
	if err != nil {
		return "", err
	}
	if status != http.StatusOK || !strings.HasSuffix(respBody, " /scan "+body+"\n") {
		return "", fmt.Errorf("status %d, response %q to request %q", status, respBody, body)
	}
	return respBody, nil
}

func (f *fleet) request(method, url, key, body string) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(respBody), err
}

// submit submits a job, with retries until it is accepted. The idempotency key makes the retries safe.
func (f *fleet) submit(key string, tasks int, run time.Duration) string {
	f.t.Helper()
	body, err := json.Marshal(entry.JobRequest{
		Branch: "workshop/moulding-plans", Tasks: tasks, Need: worker.Resources{Cores: 2, MemoryMB: 1000}, RunMs: run.Milliseconds(),
	})
	qt.Assert(f.t, err, qt.IsNil)
	var out struct{ ID string }
	f.eventually("job is accepted", 30*time.Second, func() error {
		status, respBody, err := f.request(http.MethodPost, "http://"+f.callerAddrs[0]+entry.PathJobs, key, string(body))
		if err != nil || status != http.StatusAccepted {
			return fmt.Errorf("status %d %s %w", status, respBody, err)
		}
		return json.Unmarshal([]byte(respBody), &out)
	})
	return out.ID
}

// awaitDone waits until all tasks of the job are done, and returns the job.
func (f *fleet) awaitDone(id string, limit time.Duration) ledger.Job {
	f.t.Helper()
	var job ledger.Job
	f.eventually("job "+id+" finishes", limit, func() error {
		status, respBody, err := f.request(http.MethodGet, "http://"+f.callerAddrs[0]+entry.PathJobs+"/"+id, "", "")
		if err != nil || status != http.StatusOK {
			return fmt.Errorf("status %d %s %w", status, respBody, err)
		}
		if err := json.Unmarshal([]byte(respBody), &job); err != nil {
			return err
		}
		for i, task := range job.Tasks {
			if task.State != ledger.TaskDone {
				return fmt.Errorf("task %d is %s (attempt %d, %s)", i, task.State, task.Attempt, task.Reason)
			}
		}
		return nil
	})
	return job
}

// setStoreDown starts or ends an outage of the simulated store.
func (f *fleet) setStoreDown(down bool) {
	f.t.Helper()
	status, respBody, err := f.request(http.MethodPut, f.storeURL+"/faults/store", "", fmt.Sprintf(`{"down": %v}`, down))
	qt.Assert(f.t, err, qt.IsNil)
	qt.Assert(f.t, status, qt.Equals, http.StatusNoContent, qt.Commentf("%s", respBody))
}

// startLoad sends quick requests through all entries until stop is called. stop returns the number of successful requests and
// the errors of the others.
func (f *fleet) startLoad(callers int) (stop func() (int, []error)) {
	return f.repeat(callers, 5*time.Millisecond, func(c, i int) error {
		_, err := f.sendQuick((c+i)%len(f.callerAddrs), fmt.Sprintf("scan-%d-%d", c, i))
		return err
	})
}

// repeat calls send from concurrent callers, with a pause after each call, until stop is called. stop returns the number of
// successful calls and the errors of the others.
func (f *fleet) repeat(callers int, pause time.Duration, send func(caller, i int) error) (stop func() (int, []error)) {
	ctx, cancel := context.WithCancel(context.Background())
	var mu sync.Mutex
	var wg sync.WaitGroup
	succeeded, errs := 0, []error{}
	for c := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; ctx.Err() == nil; i++ {
				err := send(c, i)
				mu.Lock()
				if err == nil {
					succeeded++
				} else {
					errs = append(errs, err)
				}
				mu.Unlock()
				time.Sleep(pause)
			}
		}()
	}
	return func() (int, []error) {
		cancel()
		wg.Wait()
		return succeeded, errs
	}
}
