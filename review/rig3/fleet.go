package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"go.yaml.in/yaml/v3"

	"bamboofork/internal/faultnet"
	"bamboofork/internal/hostconfig"
	"bamboofork/platform/standin"
)

// host is a machine with one of the deployed programs, and a worker if it is one of class side.
type host struct {
	name    string
	cfg     hostconfig.Process
	worker  *runner
	links   []*faultnet.Relay // to the store, and from the owner of the jobs
	toWork  *faultnet.Relay   // to the worker
	program string
	command *exec.Cmd
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	dir      string // for settings and logs
	programs string // directory of the deployed programs
	store    *standin.Store
	journal  journal
	sides    []*host
	fronts   []*host
	record   *os.File
	began    time.Time
	client   http.Client
	mu       sync.Mutex // guards record
}

func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
}

func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go http.Serve(l, h) //nolint:errcheck // ends with the process
	return l.Addr().String(), nil
}

// newFleet starts the programs. prepare is called with each worker before its host starts.
func newFleet(programs, dir string, record *os.File, sides, fronts int, prepare func(i int, w *runner)) (*fleet, error) {
	f := &fleet{dir: dir, programs: programs, store: standin.NewStore(1), record: record, began: time.Now(),
		client: http.Client{Timeout: 5 * time.Second}}
	f.store.PutManifest()
	go f.stopOnSignal()
	for i := range sides {
		h := &host{name: fmt.Sprintf("side-%d", i)}
		f.sides = append(f.sides, h)
		h.worker = newRunner(h.name, &f.journal)
		prepare(i, h.worker)
		address, err := serve(h.worker)
		if err != nil {
			return f, err
		}
		if h.toWork, err = faultnet.NewRelay(address, uint64(i)); err != nil {
			return f, err
		}
		if err := f.launch(h, "bf-host", i+1); err != nil {
			return f, err
		}
		go func() {
			client := &http.Client{Timeout: time.Second}
			for ; ; time.Sleep(500 * time.Millisecond) {
				h.worker.register(client, h.cfg.Listen.Registrations, h.toWork.Addr(), "ready")
			}
		}()
	}
	for i := range fronts {
		h := &host{name: fmt.Sprintf("front-%d", i)}
		f.fronts = append(f.fronts, h)
		if err := f.launch(h, "bf-front", sides+i+1); err != nil {
			return f, err
		}
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if standin.IsReady(http.DefaultClient, f.fronts[0].cfg.Listen.Readiness) && f.store.OwnerName() != "" {
			time.Sleep(time.Second)
			return f, nil
		}
	}
	return f, fmt.Errorf("the deployment was not ready in time")
}

// launch starts the program of the host. The index selects a loopback address for this program alone.
func (f *fleet) launch(h *host, program string, index int) error {
	ip := fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, os.Getpid()/200%250, index)
	storeAddress, err := serve(pagedStore{f.store.NewEndpoint()})
	if err != nil {
		return err
	}
	for _, target := range []string{storeAddress, ip + ":7001"} {
		link, err := faultnet.NewRelay(target, uint64(index))
		if err != nil {
			return err
		}
		h.links = append(h.links, link)
	}
	memoryMB := int64(sideMemoryMB)
	if program == "bf-front" {
		memoryMB = 284
	}
	h.cfg = hostconfig.Process{Name: h.name, MemoryMB: memoryMB, Store: h.links[0].Addr(),
		Listen: hostconfig.Listen{Peers: ip + ":7001", Advertise: h.links[1].Addr(), Callers: ip + ":7002", Readiness: ip + ":7003",
			Registrations: ip + ":7004", Metrics: ip},
		Bounds:      hostconfig.Bounds{MaxHoldMs: maxHoldMs, StopTimeoutMs: 200, GraceS: 6, StatusS: 120},
		SilentStore: &hostconfig.SilentStore{MaxHeld: 2000, MaxHeldKB: 8192},
		Colocation:  hostconfig.Colocation{PackServing: true},
	}
	if h.toWork != nil {
		h.cfg.Worker = h.toWork.Addr()
	}
	data, err := yaml.Marshal(h.cfg)
	if err != nil {
		return err
	}
	settings := filepath.Join(f.dir, h.name+".yaml")
	if err := os.WriteFile(settings, data, 0o600); err != nil {
		return err
	}
	h.program = program
	return f.startProgram(h)
}

// startProgram starts the program of the host with its settings.
func (f *fleet) startProgram(h *host) error {
	log, err := os.OpenFile(filepath.Join(f.dir, h.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(filepath.Join(f.programs, h.program), "--config", filepath.Join(f.dir, h.name+".yaml"))
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	h.command = command
	return nil
}

// stop ends all programs.
func (f *fleet) stop() {
	for _, h := range append(append([]*host{}, f.sides...), f.fronts...) {
		if h.command != nil && h.command.Process != nil {
			h.command.Process.Kill() //nolint:errcheck // it may have ended
			h.command.Wait()         //nolint:errcheck // it was killed
		}
	}
}

// stopOnSignal ends all programs and this one if it is told to end.
func (f *fleet) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	f.stop()
	os.RemoveAll(f.dir) //nolint:errcheck // a temporary folder
	os.Exit(2)
}

// cut partitions the host from the store and from all other hosts until heal.
func (h *host) cut() {
	for _, link := range h.links {
		link.SetFaults(faultnet.Faults{BlackholeNew: true})
		link.Blackhole(faultnet.ToServer, faultnet.ToClient)
	}
}

func (h *host) heal() {
	for _, link := range h.links {
		link.SetFaults(faultnet.Faults{})
		link.Reset()
	}
}

// submit hands in a job and returns the status.
func (f *fleet) submit(id, body string) (int, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+f.fronts[0].cfg.Listen.Callers+standin.QueuePrefix+id, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Host = standin.QueueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(standin.DeadlineHeader, "3000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	f.note("POST %s: %d", id, resp.StatusCode)
	return resp.StatusCode, nil
}
