// Package fleetsoak_test runs the deployed programs as separate processes, injects faults from outside them, and checks from
// what callers and workers see that the promises of the design hold.
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

// maxHold is the longest hold of runs; short holds let workers lapse within a run of the soak.
const maxHold = 3 * time.Second

// proc is one program with its ways to the others, each through a relay. mu guards the fields below it.
type proc struct {
	name    string
	program string
	cfg     hostconfig.Process
	path    string // of its settings
	store   *standin.Address
	relays  []*faultnet.Relay

	busy   sync.Mutex // held by the fault that stops or pauses it
	mu     sync.Mutex
	cmd    *exec.Cmd
	done   chan struct{} // closed when the present life has ended
	wanted bool          // an end of the present life was ordered
	log    bytes.Buffer
	deaths []string // ends that nobody ordered
}

// fleet is the programs and the stand-ins of the platform.
type fleet struct {
	t       *testing.T
	dir     string
	store   *standin.Store
	judge   *standin.Judge
	workers []*standin.Worker
	hosts   []*proc
	fronts  []*proc
	urls    []string
}

// build compiles the programs once.
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
	f := &fleet{t: t, dir: dir, store: standin.NewStore(seed), judge: standin.NewJudge()}
	f.store.PutManifest()
	for i := range hosts {
		f.addHost(seed, i)
	}
	for i := range fronts {
		p := f.program("bf-front", fmt.Sprint("front-", i), seed, hosts+i, "")
		f.fronts = append(f.fronts, p)
		f.urls = append(f.urls, "http://"+p.cfg.Listen.Callers)
	}
	t.Cleanup(f.stop)
	f.eventually("an entry is ready", 10*time.Second, func() bool { return standin.Ready(http.DefaultClient, f.fronts[0].cfg.Listen.Readiness) })
	return f
}

func (f *fleet) addHost(seed uint64, i int) {
	name := fmt.Sprint("host-", i)
	w := standin.NewWorker(name, workerCPU, f.judge, seed+uint64(i), workOf)
	way := f.relay(f.serve(w), seed)
	p := f.program("bf-host", name, seed, i, way.Addr())
	p.relays = append(p.relays, way)
	f.workers, f.hosts = append(f.workers, w), append(f.hosts, p)
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	client := &http.Client{Timeout: 500 * time.Millisecond}
	go app.Every(ctx, 300*time.Millisecond, func() { w.Register(client, p.cfg.Listen.Registrations, way.Addr()) })
}

func (f *fleet) relay(target string, seed uint64) *faultnet.Relay {
	r, err := faultnet.New(target, seed)
	qt.Assert(f.t, err, qt.IsNil)
	f.t.Cleanup(r.Close)
	return r
}

// program starts a program whose store and peers are reached through relays. Each has a loopback address of its own, so that
// no outgoing connection takes one of its ports between two lives, and its metrics have a fixed port.
func (f *fleet) program(program, name string, seed uint64, i int, worker string) *proc {
	p := &proc{name: name, program: program, store: f.store.NewAddress(), path: filepath.Join(f.t.TempDir(), name+".yaml")}
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

// start begins a life of the program.
func (f *fleet) start(p *proc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(filepath.Join(f.dir, p.program), "--config", p.path)
	cmd.Stdout, cmd.Stderr = p, p
	if err := cmd.Start(); err != nil {
		p.deaths = append(p.deaths, err.Error())
		return
	}
	done := make(chan struct{})
	p.cmd, p.done, p.wanted = cmd, done, false
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		if !p.wanted {
			p.deaths = append(p.deaths, fmt.Sprint("ended by itself: ", err))
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

// signal sends a signal to the present life; ends tells that it ends the program.
func (p *proc) signal(s syscall.Signal, ends bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wanted = p.wanted || ends
	if err := p.cmd.Process.Signal(s); err != nil && !p.wanted {
		p.deaths = append(p.deaths, fmt.Sprintf("signal %s: %v", s, err))
	}
}

// end stops the present life with a signal and waits for it; a life that does not end within the grace is killed.
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

// stop ends all programs.
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

// keepLogs writes the programs' logs of a seed that failed.
func (f *fleet) keepLogs(seed uint64) {
	if *logs == "" || !f.t.Failed() {
		return
	}
	for _, p := range f.procs() {
		p.mu.Lock()
		err := os.WriteFile(filepath.Join(*logs, fmt.Sprintf("%d-%s.log", seed, p.name)), p.log.Bytes(), 0o600)
		p.mu.Unlock()
		qt.Check(f.t, err, qt.IsNil)
	}
}
