// Package fleetsoak_test runs the deployed programs as separate processes and injects faults from outside these processes. It
// checks the guarantees to callers and workers by what the callers and workers observe.
package fleetsoak_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.yaml.in/yaml/v3"

	"bamboofork/internal/app"
	"bamboofork/internal/faultnet"
	"bamboofork/internal/hostconfig"
	"bamboofork/platform/standin"
)

// maxHold is the maximum time for which an agent keeps a run without a new confirmation from the job owner. It is short, so that
// holds expire while faults are injected.
const maxHold = 3 * time.Second

// proc is an entry or an agent that runs as a separate process and is restarted by faults. All its connections to the store, the
// worker and other processes pass through the relays. mu guards the fields below it.
type proc struct {
	name         string
	program      string
	cfg          hostconfig.Process
	settingsPath string
	store        *standin.Endpoint // endpoint through which only this process uses the store
	relays       []*faultnet.Relay

	faultLock        sync.Mutex // held by the fault that has stopped or paused the process
	mu               sync.Mutex
	cmd              *exec.Cmd
	done             chan struct{} // closed when the current process has exited
	exitExpected     bool          // a fault or the end of the test ends the current process
	log              bytes.Buffer
	unexpectedEvents []string // failures to start or signal the process, and exits that no fault caused
}

// fleet holds the processes and the simulated store and workers.
type fleet struct {
	t          *testing.T
	programDir string // directory of the compiled programs
	store      *standin.Store
	checker    *standin.RunChecker
	workers    []*standin.Worker
	hosts      []*proc
	fronts     []*proc
	entryURLs  []string
}

// buildPrograms compiles the programs on the first call. It returns the directory that holds the compiled programs.
var buildPrograms = sync.OnceValues(standin.BuildPrograms)

// newFleet starts the given numbers of entries and of hosts, each with an agent and a worker. It returns when the first entry is
// ready.
func newFleet(t *testing.T, seed uint64, numEntries, numHosts int) *fleet {
	programDir, err := buildPrograms()
	qt.Assert(t, err, qt.IsNil)
	f := &fleet{t: t, programDir: programDir, store: standin.NewStore(seed), checker: standin.NewRunChecker()}
	f.store.PutManifest()
	for i := range numHosts {
		f.addHost(seed, i)
	}
	for i := range numEntries {
		p := f.startProgram("bf-front", fmt.Sprint("front-", i), seed, numHosts+i, "")
		f.fronts = append(f.fronts, p)
		f.entryURLs = append(f.entryURLs, "http://"+p.cfg.Listen.Callers)
	}
	t.Cleanup(f.stop)
	f.eventually("an entry is ready", 10*time.Second,
		func() bool { return standin.IsReady(http.DefaultClient, f.fronts[0].cfg.Listen.Readiness) })
	return f
}

func (f *fleet) addHost(seed uint64, i int) {
	name := fmt.Sprint("host-", i)
	w := standin.NewWorker(name, workerMillicores, f.checker, seed+uint64(i), taskProfile)
	w.Zone = failureDomain(i)
	workerRelay := f.relay(f.serve(w), seed)
	p := f.startProgram("bf-host", name, seed, i, workerRelay.Addr())
	p.relays = append(p.relays, workerRelay)
	f.workers, f.hosts = append(f.workers, w), append(f.hosts, p)
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	client := &http.Client{Timeout: 500 * time.Millisecond}
	go app.Every(ctx, 300*time.Millisecond, func() { w.Register(client, p.cfg.Listen.Registrations, workerRelay.Addr()) })
}

// relay returns a relay to the target address that runs until the test ends.
func (f *fleet) relay(targetAddr string, seed uint64) *faultnet.Relay {
	r, err := faultnet.NewRelay(targetAddr, seed)
	qt.Assert(f.t, err, qt.IsNil)
	f.t.Cleanup(r.Close)
	return r
}

// startProgram starts a program with relays for its connections to the store and for the connections of its peers. index selects
// a loopback address for this program alone. During a restart, no outgoing connection can therefore take one of the program's
// ports, and its fixed metrics port cannot collide with that of another program. workerAddr is empty for an entry.
func (f *fleet) startProgram(program, name string, seed uint64, index int, workerAddr string) *proc {
	p := &proc{name: name, program: program, store: f.store.NewEndpoint(), settingsPath: filepath.Join(f.t.TempDir(), name+".yaml")}
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%200, os.Getpid()/200%250, 1+index)
	peerAddr := ip + ":7001"
	p.relays = []*faultnet.Relay{f.relay(f.serve(p.store), seed), f.relay(peerAddr, seed)}
	p.cfg = hostconfig.Process{
		Name: name, MemoryMB: 150, Worker: workerAddr, Store: p.relays[0].Addr(),
		Listen: hostconfig.Listen{Peers: peerAddr, Advertise: p.relays[1].Addr(), Callers: ip + ":7002", Readiness: ip + ":7003",
			Registrations: ip + ":7004", Metrics: ip},
		Bounds:      hostconfig.Bounds{MaxHoldMs: maxHold.Milliseconds(), StopTimeoutMs: 200, GraceS: 6, StatusS: 120},
		Evacuation:  hostconfig.Evacuation{ApplyMs: 2000},
		Shortage:    hostconfig.Shortage{DelayCost: index%2 == 0}, // owners with and without it follow each other
		SilentStore: &hostconfig.SilentStore{MaxHeld: 2000, MaxHeldKB: 8192},
	}
	data, err := yaml.Marshal(p.cfg)
	qt.Assert(f.t, err, qt.IsNil)
	qt.Assert(f.t, os.WriteFile(p.settingsPath, data, 0o600), qt.IsNil)
	f.start(p)
	return p
}

// start runs the program in a new process and records each exit that no fault has caused.
func (f *fleet) start(p *proc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(filepath.Join(f.programDir, p.program), "--config", p.settingsPath)
	cmd.Stdout, cmd.Stderr = p, p
	if err := cmd.Start(); err != nil {
		p.unexpectedEvents = append(p.unexpectedEvents, err.Error())
		return
	}
	done, logSize := make(chan struct{}), p.log.Len()
	p.cmd, p.done, p.exitExpected = cmd, done, false
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		// Only SIGKILL ends a process at once. Any other signal leaves it the time to drain, except a SIGTERM in the first milliseconds,
		// before the program handles signals: it has logged nothing and listens nowhere then, so no request can be open.
		status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus)
		isKilled := ok && status.Signaled() && status.Signal() == syscall.SIGKILL
		isUnstarted := ok && status.Signaled() && status.Signal() == syscall.SIGTERM && p.log.Len() == logSize
		if !p.exitExpected || (err != nil && !isKilled && !isUnstarted) {
			p.unexpectedEvents = append(p.unexpectedEvents, fmt.Sprint("exited unexpectedly: ", err))
		}
		p.mu.Unlock()
		close(done)
	}()
}

// Write appends to the program's log.
func (p *proc) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

// signal sends a signal to the current process. expectExit marks the exit of the process as expected.
func (p *proc) signal(s syscall.Signal, expectExit bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exitExpected = p.exitExpected || expectExit
	if err := p.cmd.Process.Signal(s); err != nil && !p.exitExpected {
		p.unexpectedEvents = append(p.unexpectedEvents, fmt.Sprintf("signal %s: %v", s, err))
	}
}

// endProcess sends a signal that ends the process and waits for its exit. After the grace period, endProcess kills the
// process.
func (p *proc) endProcess(s syscall.Signal) {
	p.signal(s, true)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done:
	case <-time.After(p.cfg.Bounds.Grace()):
		p.signal(syscall.SIGKILL, true)
		<-done
	}
}

// stop kills all processes, including paused ones.
func (f *fleet) stop() {
	for _, p := range f.procs() {
		p.signal(syscall.SIGCONT, true)
		p.endProcess(syscall.SIGKILL)
	}
}

func (f *fleet) procs() []*proc { return append(append([]*proc(nil), f.hosts...), f.fronts...) }

// eventually repeats the condition until it is true, and reports a test failure after the timeout. It returns whether the
// condition became true.
func (f *fleet) eventually(what string, timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	f.t.Errorf("not within %s: %s", timeout, what)
	return false
}

func (f *fleet) listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(f.t, err, qt.IsNil)
	return l
}

// serve serves h on a loopback address until the test ends, and returns this address.
func (f *fleet) serve(h http.Handler) string {
	l := f.listen()
	srv := &http.Server{Handler: h}
	go srv.Serve(l)
	f.t.Cleanup(func() { srv.Close() })
	return l.Addr().String()
}

// writeFailureLogs writes the logs of all programs to the directory named by the flag -logs if the test has failed.
func (f *fleet) writeFailureLogs(seed uint64) {
	if *logDir == "" || !f.t.Failed() {
		return
	}
	for _, p := range f.procs() {
		p.mu.Lock()
		err := os.WriteFile(filepath.Join(*logDir, fmt.Sprintf("%d-%s.log", seed, p.name)), p.log.Bytes(), 0o600)
		p.mu.Unlock()
		qt.Check(f.t, err, qt.IsNil)
	}
}
