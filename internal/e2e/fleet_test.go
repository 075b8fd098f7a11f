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

// process is a program that a test runs as a separate process. mu guards log. start also holds mu while it sets cmd and done.
type process struct {
	name        string
	programPath string
	args        []string

	mu   sync.Mutex
	cmd  *exec.Cmd
	log  bytes.Buffer
	done chan struct{} // closed when the current process has exited
}

// start runs the program in a new process.
func (p *process) start(t *testing.T) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(p.programPath, p.args...)
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

// lockedWriter appends to the log of a process under the mutex of the process.
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

// signal sends a signal to the current process.
func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	qt.Assert(t, p.cmd.Process.Signal(s), qt.IsNil)
}

// stop sends the signal and waits until the process has exited. A process that has not exited within 20 s fails the test and is
// killed.
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

// fleet is a set of separate processes on loopback addresses.
type fleet struct {
	t           *testing.T
	programDir  string // directory of the compiled programs
	settingsDir string // directory of the settings files
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

// startFleet builds the programs and starts the simulated platform, the runners, the agents and the entries. It returns when a
// request has succeeded.
func startFleet(t *testing.T) *fleet {
	f := &fleet{t: t, programDir: t.TempDir(), settingsDir: t.TempDir(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
	buildCmd := exec.Command("go", "build", "-o", f.programDir, "bamboofork/cmd/...")
	out, err := buildCmd.CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	storeAddr := f.freeAddr()
	f.storeURL = "http://" + storeAddr
	platformArgs := []string{"--store", storeAddr, "--log-level", "error"}
	for range agentCount {
		f.workerAddrs = append(f.workerAddrs, f.freeAddr())
		platformArgs = append(platformArgs, "--worker", f.workerAddrs[len(f.workerAddrs)-1]+"/16/64000/0")
	}
	f.platform = f.startProgram("bf-platform", platformArgs...)
	seedAddrs := []string{}
	for range entryCount {
		seedAddrs = append(seedAddrs, f.freeAddr())
	}
	for i := range agentCount {
		f.startAgent(i, seedAddrs)
	}
	for i := range entryCount {
		f.startEntry(i, seedAddrs)
	}
	f.applySettings()
	return f
}

// freeAddr returns a loopback address whose port is currently unused.
func (f *fleet) freeAddr() string {
	addr, err := dev.FreeAddr()
	qt.Assert(f.t, err, qt.IsNil)
	return addr
}

// startProgram starts a program, which is killed at the end of the test. If the test has failed and E2E_LOGS is set, the program's
// log is printed.
func (f *fleet) startProgram(name string, args ...string) *process {
	p := &process{name: name, programPath: filepath.Join(f.programDir, name), args: args}
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

// writeConfig writes a settings file and returns its path.
func (f *fleet) writeConfig(name string, lines ...string) string {
	configPath := filepath.Join(f.settingsDir, name+".yaml")
	qt.Assert(f.t, os.WriteFile(configPath, []byte(strings.Join(lines, "\n")+"\n"), 0o600), qt.IsNil)
	return configPath
}

// commonConfig returns the lines that the settings files of agents and entries have in common. index selects the failure domain and
// the rack. The last line is within the section listen.
func (f *fleet) commonConfig(id string, index int, controlAddr string, seedAddrs []string) []string {
	return []string{
		"id: " + id, fmt.Sprintf("domain: domain-%d", index%3+1), fmt.Sprintf("rack: rack-%d", index/2+1),
		"store: " + f.storeURL, "seeds: [" + strings.Join(seedAddrs, ", ") + "]",
		"lease_ttl: 3s", "outage_hold: 5s", "drain: 4s", "log_level: info", "partitions: 4", "max_partitions: 4",
		"listen:", "  control: " + controlAddr,
	}
}

// startAgent starts a runner and an agent, which uses the worker of the same index.
func (f *fleet) startAgent(index int, seedAddrs []string) {
	runnerAddr := f.freeAddr()
	f.runnerAddrs = append(f.runnerAddrs, runnerAddr)
	f.startProgram("bf-runner", "--addr", runnerAddr, "--backend-name", fmt.Sprintf("runner-%d", index+1), "--log-level", "error")
	configLines := append(f.commonConfig(fmt.Sprintf("agent-%d", index+1), index, f.freeAddr(), seedAddrs), "  data: "+f.freeAddr(),
		"backend:", "  name: fitting-desk", "  addr: "+runnerAddr, "  slots: 8", "  conns: 64",
		"worker:", "  url: http://"+f.workerAddrs[index], "  reserve: {cores: 2, memory_mb: 4000}")
	f.agents = append(f.agents, f.startProgram("bf-agent", "--config", f.writeConfig(fmt.Sprintf("agent-%d", index+1), configLines...)))
}

// startEntry starts an entry that listens for other processes on the seed address of the same index.
func (f *fleet) startEntry(index int, seedAddrs []string) {
	callerAddr := f.freeAddr()
	f.callerAddrs = append(f.callerAddrs, callerAddr)
	configLines := append(f.commonConfig(fmt.Sprintf("entry-%d", index+1), index, seedAddrs[index], seedAddrs), "  callers: "+callerAddr)
	f.entries = append(f.entries, f.startProgram("bf-entry", "--config", f.writeConfig(fmt.Sprintf("entry-%d", index+1), configLines...)))
}

// applySettings applies the workshop's settings tree with short holds through the command-line client. It waits until the tree is
// active on all entries and a request has succeeded.
func (f *fleet) applySettings() {
	treeYAML := bytes.Replace(examples.WorkshopSettings, []byte("  deadline: 2s\n"), []byte("  deadline: 3s\n  hold: 2s\n"), 1)
	treePath := filepath.Join(f.settingsDir, "tree.yaml")
	qt.Assert(f.t, os.WriteFile(treePath, treeYAML, 0o600), qt.IsNil)
	f.eventually("settings are accepted", 20*time.Second, func() error {
		cmd := exec.Command(filepath.Join(f.programDir, "bf"), "--store", f.storeURL, "settings", "apply", treePath)
		out, err := cmd.CombinedOutput()
		if err != nil {
			return fmt.Errorf("%w: %s", err, out)
		}
		return nil
	})
	f.eventually("every entry knows every agent and the tree", 30*time.Second, f.checkAllAgentsKnown)
	f.eventually("latency-critical requests succeed", 30*time.Second, func() error {
		_, err := f.sendScan(0, "warm-up")
		return err
	})
}

// checkAllAgentsKnown returns an error unless every entry knows all agents and has an active settings tree.
func (f *fleet) checkAllAgentsKnown() error {
	for _, callerAddr := range f.callerAddrs {
		_, respBody, err := f.request(http.MethodGet, "http://"+callerAddr+"/v1/status", "", "")
		if err != nil {
			return err
		}
		var status operatorapi.Status
		if err := json.Unmarshal([]byte(respBody), &status); err != nil {
			return err
		}
		knownAgents := 0
		for _, m := range status.Members {
			if m.Load.Slots > 0 && m.SettingsRev > 0 {
				knownAgents++
			}
		}
		if knownAgents < agentCount || status.SettingsRevision == 0 {
			return fmt.Errorf("%s knows %d agents at revision %d", status.Self.ID, knownAgents, status.SettingsRevision)
		}
	}
	return nil
}

// eventually repeats the check until it succeeds, and fails the test after the timeout.
func (f *fleet) eventually(what string, timeout time.Duration, check func() error) {
	f.t.Helper()
	deadline := time.Now().Add(timeout)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("%s: not within %s: %v", what, timeout, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// sendScan sends one foot-scan request, which is latency-critical, to an entry. It verifies the response and returns the response's
// body.
func (f *fleet) sendScan(entryIndex int, body string) (string, error) {
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

// request sends a request, with an idempotency key unless key is empty. It returns the status code and the response body.
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

// submit submits a job, retries until the job is accepted, and returns the job's ID. The idempotency key makes the retries safe.
func (f *fleet) submit(key string, taskCount int, runDuration time.Duration) string {
	f.t.Helper()
	body, err := json.Marshal(entry.JobRequest{
		Branch: "workshop/moulding-plans", Tasks: taskCount, Need: worker.Resources{Cores: 2, MemoryMB: 1000}, RunMs: runDuration.Milliseconds(),
	})
	qt.Assert(f.t, err, qt.IsNil)
	var acceptedJob struct{ ID string }
	f.eventually("job is accepted", 30*time.Second, func() error {
		status, respBody, err := f.request(http.MethodPost, "http://"+f.callerAddrs[0]+entry.PathJobs, key, string(body))
		if err != nil || status != http.StatusAccepted {
			return fmt.Errorf("status %d %s %w", status, respBody, err)
		}
		return json.Unmarshal([]byte(respBody), &acceptedJob)
	})
	return acceptedJob.ID
}

// awaitDone waits until all tasks of the job are done, and returns the last status of the job.
func (f *fleet) awaitDone(id string, timeout time.Duration) ledger.Job {
	f.t.Helper()
	var job ledger.Job
	f.eventually("job "+id+" finishes", timeout, func() error {
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

// setStoreDown starts an outage of the simulated store if down is true, and ends the outage otherwise.
func (f *fleet) setStoreDown(down bool) {
	f.t.Helper()
	status, respBody, err := f.request(http.MethodPut, f.storeURL+"/faults/store", "", fmt.Sprintf(`{"down": %v}`, down))
	qt.Assert(f.t, err, qt.IsNil)
	qt.Assert(f.t, status, qt.Equals, http.StatusNoContent, qt.Commentf("%s", respBody))
}

// startScans sends latency-critical requests through all entries until stop is called. stop returns the number of successful
// requests and the errors of the others.
func (f *fleet) startScans(callerCount int) (stop func() (int, []error)) {
	return f.repeat(callerCount, 5*time.Millisecond, func(c, i int) error {
		_, err := f.sendScan((c+i)%len(f.callerAddrs), fmt.Sprintf("scan-%d-%d", c, i))
		return err
	})
}

// repeat calls send from concurrent goroutines, with a pause after each call, until stop is called. send receives the index of the
// goroutine and the number of its earlier calls. stop returns the number of successful calls and the errors of the others.
func (f *fleet) repeat(callerCount int, pauseDuration time.Duration,
	send func(callerIndex, callIndex int) error) (stop func() (int, []error)) {
	ctx, cancel := context.WithCancel(context.Background())
	var mu sync.Mutex
	var wg sync.WaitGroup
	succeeded, errs := 0, []error{}
	for callerIndex := range callerCount {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for callIndex := 0; ctx.Err() == nil; callIndex++ {
				err := send(callerIndex, callIndex)
				mu.Lock()
				if err == nil {
					succeeded++
				} else {
					errs = append(errs, err)
				}
				mu.Unlock()
				time.Sleep(pauseDuration)
			}
		}()
	}
	return func() (int, []error) {
		cancel()
		wg.Wait()
		return succeeded, errs
	}
}
