package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"go.yaml.in/yaml/v3"

	"bamboofork/internal/hostconfig"
	"bamboofork/platform/standin"
)

// Ports of a process on its own loopback address.
const (
	peersPort         = "7720"
	callersPort       = "8161"
	workerPort        = "8165"
	registrationsPort = "8166"
	readinessPort     = "8167"
)

// bounds are those of the workshop's site.
var bounds = hostconfig.Bounds{MaxHoldMs: 10000, StopTimeoutMs: 200, GraceS: 6, StatusS: 120}

const (
	frontMemoryMB = 284
	hostMemoryMB  = 152
	readyTimeout  = 15 * time.Second
)

// heartbeatOffset spreads the heartbeats of the workers, which are independent of each other.
const heartbeatOffset = 137 * time.Millisecond

// lab is a small deployment: the simulated store and workers, and the processes of the system.
type lab struct {
	rec     *record
	trouble bool
	dir     string // temporary folder with the settings and the logs of the processes
	subnet  string // the first three bytes of the processes' addresses
	command map[string]string
	store   *standin.Store
	storeAt string
	runs    *runBook
	gangs   *gangBook
	procs   []*proc
	workers []*worker
	fronts  []string // addresses for callers

	stopOnce sync.Once
	mu       sync.Mutex
	servers  []*http.Server
}

// proc is one process of the system, which may be killed and started again.
type proc struct {
	lab      *lab
	name     string
	role     string
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{} // closed when cmd has ended
	stopped  bool          // the lab has ended the process
	ownEnds  int           // how often the process has ended by itself
}

func newLab(rec *record, trouble bool) (*lab, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	l := &lab{rec: rec, trouble: trouble, dir: dir, store: standin.NewStore(1), runs: newRunBook()}
	l.gangs = newGangBook(l)
	if l.command, err = deployCommands("deploy/system.toml"); err != nil {
		return nil, err
	}
	if l.subnet, err = freeSubnet(); err != nil {
		return nil, err
	}
	if l.storeAt, err = l.serve("127.0.0.1:0", l.store.NewEndpoint()); err != nil {
		return nil, err
	}
	l.putManifest()
	return l, nil
}

// deployCommands returns the command of each role in the deploy file.
func deployCommands(path string) (map[string]string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	commands, role := map[string]string{}, ""
	for _, line := range strings.Split(string(data), "\n") {
		if name, ok := strings.CutPrefix(line, "[roles."); ok {
			role = strings.TrimSuffix(name, "]")
		}
		if command, ok := strings.CutPrefix(line, "run = "); ok {
			commands[role] = strings.Trim(command, `"`)
		}
	}
	if commands["front"] == "" || commands["host"] == "" {
		return nil, errors.New("the deploy file names no command for the roles front and host")
	}
	return commands, nil
}

// freeSubnet returns the first three bytes of loopback addresses that no other process seems to use.
func freeSubnet() (string, error) {
	for i := range 200 {
		subnet := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+i)%200, 1+os.Getpid()/200%250)
		listener, err := net.Listen("tcp", subnet+".1:"+peersPort)
		if err == nil {
			return subnet, listener.Close()
		}
	}
	return "", errors.New("no free loopback addresses")
}

// serve serves h on the address until the lab stops and returns the address.
func (l *lab) serve(addr string, h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	l.mu.Lock()
	l.servers = append(l.servers, server)
	l.mu.Unlock()
	go server.Serve(listener)
	return listener.Addr().String(), nil
}

// Names of the manifest's only queue.
const (
	queueHost   = "counter.example"
	queuePrefix = "/plans/"
	serviceName = "fitting-desk"
)

// putManifest writes the manifest to the store, as the operator does.
func (l *lab) putManifest() {
	manifest, err := json.Marshal(map[string]any{
		"version": 7,
		"routes": []map[string]any{{"name": "r-plans", "host": queueHost, "prefix": queuePrefix, "kind": "unsafe", "timeout_ms": 3000,
			"target_latency_ms": 1000, "priority": 2, "service": serviceName, "max_attempts": 3, "stretch": 2.0}},
		"services": []map[string]any{{"name": serviceName, "rejects_overload": false}},
		"limits":   map[string]any{"max_body_bytes": 262144},
	})
	if err != nil {
		panic(err) // cannot happen: the value has only plain types
	}
	l.store.Put("op/config", manifest)
}

// startFleet starts the numbers of entries and of hosts with a worker each, and waits until the entries are ready and the owner has
// heard of the workers.
func (l *lab) startFleet(numFronts, numHosts int) error {
	for i := range numHosts {
		if err := l.startHost(i); err != nil {
			return err
		}
	}
	for i := range numFronts {
		if err := l.startFront(numHosts + i); err != nil {
			return err
		}
	}
	for _, p := range l.procs[numHosts:] {
		if err := l.awaitReady(p); err != nil {
			return err
		}
	}
	time.Sleep(time.Duration(numHosts)*heartbeatOffset + 2*heartbeat)
	return nil
}

func (l *lab) startHost(index int) error {
	ip := fmt.Sprintf("%s.%d", l.subnet, index+1)
	w := newWorker(l, fmt.Sprintf("w%d", index+1), fmt.Sprintf("r1-%d", index/3+1), ip)
	if _, err := l.serve(w.addr, w); err != nil {
		return err
	}
	w.server = l.servers[len(l.servers)-1]
	l.workers = append(l.workers, w)
	go w.register(time.Duration(index) * heartbeatOffset)
	return l.startProc("host", fmt.Sprintf("side-%d", index+1), hostconfig.Process{MemoryMB: hostMemoryMB, Worker: w.addr,
		Listen: hostconfig.Listen{Peers: ip + ":" + peersPort, Registrations: ip + ":" + registrationsPort, Metrics: ip}})
}

func (l *lab) startFront(index int) error {
	ip := fmt.Sprintf("%s.%d", l.subnet, index+1)
	l.fronts = append(l.fronts, ip+":"+callersPort)
	return l.startProc("front", fmt.Sprintf("front-%d", len(l.fronts)), hostconfig.Process{MemoryMB: frontMemoryMB,
		Listen: hostconfig.Listen{Peers: ip + ":" + peersPort, Callers: ip + ":" + callersPort, Readiness: ip + ":" + readinessPort, Metrics: ip}})
}

// startProc writes the settings of a process, as the template of the deploy file does, and starts the process.
func (l *lab) startProc(role, name string, cfg hostconfig.Process) error {
	cfg.Name, cfg.Store, cfg.Bounds = name, l.storeAt, bounds
	data, err := yaml.Marshal(cfg)
	if err != nil {
		return err
	}
	p := &proc{lab: l, name: name, role: role, settings: filepath.Join(l.dir, name+".yaml")}
	if err := os.WriteFile(p.settings, data, 0o600); err != nil {
		return err
	}
	l.procs = append(l.procs, p)
	return p.start()
}

func (p *proc) start() error {
	words := strings.Fields(p.lab.command[p.role])
	log, err := os.OpenFile(filepath.Join(p.lab.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"BAMBOOFORK_BOOT=" + p.settings, "PATH=" + os.Getenv("PATH"), "LANG=C"}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.exited, p.stopped = cmd, make(chan struct{}), false
	p.lab.rec.logf("process %s started", p.name)
	go p.supervise(cmd, p.exited)
	return nil
}

// restartDelay is how long after its own end a process is started again, as the platform does.
const restartDelay = 500 * time.Millisecond

// supervise waits for the end of a process and starts it again if it has ended by itself.
func (p *proc) supervise(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	close(exited)
	p.mu.Lock()
	isOwnEnd := !p.stopped
	if isOwnEnd {
		p.ownEnds++
		p.lab.rec.logf("process %s ended by itself: %v", p.name, err)
	}
	p.mu.Unlock()
	if !isOwnEnd {
		return
	}
	time.Sleep(restartDelay)
	p.mu.Lock()
	isStopped := p.stopped
	p.mu.Unlock()
	if isStopped {
		return
	}
	if err := p.start(); err != nil {
		p.lab.rec.logf("process %s could not be started again: %v", p.name, err)
	}
}

// kill ends the process with SIGKILL and waits for its end.
func (p *proc) kill() {
	p.mu.Lock()
	p.stopped = true
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // it fails only if the process has ended
	<-exited
	p.lab.rec.logf("process %s killed", p.name)
}

// ownEndCount returns how often the process has ended by itself.
func (p *proc) ownEndCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ownEnds
}

func (l *lab) awaitReady(p *proc) error {
	ip := l.fronts[0][:strings.LastIndexByte(l.fronts[0], ':')]
	for i, front := range l.fronts {
		if p.name == fmt.Sprintf("front-%d", i+1) {
			ip = front[:strings.LastIndexByte(front, ':')]
		}
	}
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if standin.IsReady(client, ip+":"+readinessPort) {
			return nil
		}
	}
	return fmt.Errorf("%s did not become ready", p.name)
}

// stop ends all processes that the lab has started and removes the temporary folder.
func (l *lab) stop() {
	l.stopOnce.Do(func() {
		for _, p := range l.procs {
			p.kill()
		}
		l.mu.Lock()
		for _, server := range l.servers {
			server.Close()
		}
		l.mu.Unlock()
		if os.Getenv("KEEP") == "" {
			os.RemoveAll(l.dir)
		} else {
			fmt.Println("kept", l.dir)
		}
	})
}
