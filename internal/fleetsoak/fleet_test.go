// Package fleetsoak_test runs the deployed programs as separate processes, injects faults from outside them, and checks the
// guarantees of the design by what callers and workers observe.
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

// maxHold is the maximum hold of runs. It is short, so that holds expire while the faults are injected.
const maxHold = 3 * time.Second

// proc is one program and the relays through which it reaches others and is reached. mu guards the fields below it.
type proc struct {
	name    string
	program string
	cfg     hostconfig.Process
	path    string // of its settings file
	store   *standin.Endpoint
	relays  []*faultnet.Relay

	faultLock        sync.Mutex // held by the fault that stops or pauses the process
	mu               sync.Mutex
	cmd              *exec.Cmd
	done             chan struct{} // closed when the current process has exited
	stopRequested    bool          // the exit of the current process is expected
	log              bytes.Buffer
	unexpectedEvents []string // failures to start or signal the process, and exits that no fault caused
}

// fleet holds the processes and the simulated store and workers.
type fleet struct {
	t       *testing.T
	dir     string // directory of the programs
	store   *standin.Store
	checker *standin.RunChecker
	workers []*standin.Worker
	hosts   []*proc
	fronts  []*proc
	urls    []string
}

// build compiles the programs once and returns the directory that holds them.
var build = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "fleetsoak")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "bamboofork/cmd/bf-front", "bamboofork/cmd/bf-host").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return dir, nil
})

func newFleet(t *testing.T, seed uint64, fronts, hosts int) *fleet {
	dir, err := build()
	qt.Assert(t, err, qt.IsNil)
	f := &fleet{t: t, dir: dir, store: standin.NewStore(seed), checker: standin.NewRunChecker()}
	f.store.PutManifest()
	for i := range hosts {
		f.addHost(seed, i)
	}
	for i := range fronts {
		p := f.startProgram("bf-front", fmt.Sprint("front-", i), seed, hosts+i, "")
		f.fronts = append(f.fronts, p)
		f.urls = append(f.urls, "http://"+p.cfg.Listen.Callers)
	}
	t.Cleanup(f.stop)
	f.eventually("an entry is ready", 10*time.Second, func() bool { return standin.Ready(http.DefaultClient, f.fronts[0].cfg.Listen.Readiness) })
	return f
}

func (f *fleet) addHost(seed uint64, i int) {
	name := fmt.Sprint("host-", i)
	w := standin.NewWorker(name, workerCPU, f.checker, seed+uint64(i), taskProfile)
	workerRelay := f.relay(f.serve(w), seed)
	p := f.startProgram("bf-host", name, seed, i, workerRelay.Addr())
	p.relays = append(p.relays, workerRelay)
	f.workers, f.hosts = append(f.workers, w), append(f.hosts, p)
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	client := &http.Client{Timeout: 500 * time.Millisecond}
	go app.Every(ctx, 300*time.Millisecond, func() { w.Register(client, p.cfg.Listen.Registrations, workerRelay.Addr()) })
}

func (f *fleet) relay(target string, seed uint64) *faultnet.Relay {
	r, err := faultnet.New(target, seed)
	qt.Assert(f.t, err, qt.IsNil)
	f.t.Cleanup(r.Close)
	return r
}

// startProgram starts a program whose store and peers are reached through relays. Each process has its own loopback address: no
// outgoing connection can take one of its ports during a restart, and the fixed port of its metrics cannot collide.
func (f *fleet) startProgram(program, name string, seed uint64, i int, worker string) *proc {
	p := &proc{name: name, program: program, store: f.store.NewEndpoint(), path: filepath.Join(f.t.TempDir(), name+".yaml")}
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%200, os.Getpid()/200%250, 1+i)
	peers := ip + ":7001"
	p.relays = []*faultnet.Relay{f.relay(f.serve(p.store), seed), f.relay(peers, seed)}
	p.cfg = hostconfig.Process{
		Name: name, MemoryMB: 150, Worker: worker, Store: p.relays[0].Addr(),
		Listen: hostconfig.Listen{Peers: peers, Advertise: p.relays[1].Addr(), Callers: ip + ":7002", Readiness: ip + ":7003",
			Registrations: ip + ":7004", Metrics: ip},
		Bounds: hostconfig.Bounds{MaxHoldMs: maxHold.Milliseconds(), StopTimeoutMs: 200, GraceS: 6, StatusS: 120},
	}
	data, err := yaml.Marshal(p.cfg)
	qt.Assert(f.t, err, qt.IsNil)
	qt.Assert(f.t, os.WriteFile(p.path, data, 0o600), qt.IsNil)
	f.start(p)
	return p
}

// start runs the program in a new process.
func (f *fleet) start(p *proc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(filepath.Join(f.dir, p.program), "--config", p.path)
	cmd.Stdout, cmd.Stderr = p, p
	if err := cmd.Start(); err != nil {
		p.unexpectedEvents = append(p.unexpectedEvents, err.Error())
		return
	}
	done := make(chan struct{})
	p.cmd, p.done, p.stopRequested = cmd, done, false
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		if !p.stopRequested {
			p.unexpectedEvents = append(p.unexpectedEvents, fmt.Sprint("exited unexpectedly: ", err))
		}
		p.mu.Unlock()
		close(done)
	}()
}

// Write collects the program's log.
func (p *proc) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

// signal sends a signal to the current process; ends marks the exit of the process as expected.
func (p *proc) signal(s syscall.Signal, ends bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopRequested = p.stopRequested || ends
	if err := p.cmd.Process.Signal(s); err != nil && !p.stopRequested {
		p.unexpectedEvents = append(p.unexpectedEvents, fmt.Sprintf("signal %s: %v", s, err))
	}
}

// end sends a signal that ends the process and waits for its exit; after the grace period it is killed.
func (p *proc) end(s syscall.Signal) {
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
		p.end(syscall.SIGKILL)
	}
}

func (f *fleet) procs() []*proc { return append(append([]*proc(nil), f.hosts...), f.fronts...) }

func (f *fleet) eventually(what string, within time.Duration, ok func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	f.t.Errorf("not within %s: %s", within, what)
	return false
}

func (f *fleet) listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(f.t, err, qt.IsNil)
	return l
}

func (f *fleet) serve(h http.Handler) string {
	l := f.listen()
	srv := &http.Server{Handler: h}
	go srv.Serve(l)
	f.t.Cleanup(func() { srv.Close() })
	return l.Addr().String()
}

// keepLogs writes the logs of all processes to the directory given by the logs flag if the test has failed.
func (f *fleet) keepLogs(seed uint64) {
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
