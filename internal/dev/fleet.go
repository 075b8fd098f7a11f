// Package dev runs a whole fleet in one process: the platform's stand-ins, sample
// backend servers, agents and entries, connected over TCP on loopback. It serves
// bf-dev, load runs and end-to-end tests.
package dev

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime/pprof"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bamboofork/internal/app"
	"bamboofork/internal/config"
	"bamboofork/internal/node"
	"bamboofork/internal/sample"
	"bamboofork/internal/settings"
	"bamboofork/internal/standin"
	"bamboofork/internal/store/etcdgw"
	"bamboofork/internal/worker"
)

// Profile sizes a fleet.
type Profile struct {
	Name         string
	Backend      string // pool of the backend servers
	Domains      int
	Entries      int
	Agents       int
	RackSize     int
	Slots        int
	Conns        int
	Capacity     worker.Resources
	Reserve      worker.Resources
	Service      time.Duration
	Interference map[string]float64 // by kind, see sample.Config
	Tree         settings.Tree
	Observer     standin.RunObserver // of all workers; nil: none
	LeaseTTL     time.Duration
	OutageHold   time.Duration
	Drain        time.Duration
	FirstPort    int    // 0: any free ports
	Routing      string // routing policy of the entries, "": the default
	MaxQueue     int    // waiting requests of one branch at a gate, 0: the default
	// Relayed puts a faultnet relay before each process's control and data address; RelaySeed determines their faults.
	Relayed   bool
	RelaySeed uint64
	// TLS protects the connections between processes, CallersTLS the caller API, Credentials the operator endpoints.
	TLS, CallersTLS config.TLS
	Credentials     string
}

// Fleet is a running fleet. mu guards the maps.
type Fleet struct {
	Profile  Profile
	Store    *standin.StoreServer
	StoreURL string
	log      zerolog.Logger

	mu      sync.Mutex
	Agents  map[string]*Host
	Entries map[string]*Host
	stops   []func()
	zombies []chan error // of aborted nodes
}

// Host is one host of the fleet.
type Host struct {
	Config      config.Process
	Node        *node.Node
	Worker      *standin.SimWorker
	Backend     *sample.Server
	BackendURL  string
	Links       Links
	stopBackend func()
	cancel      context.CancelFunc
	done        chan error
}

// Start starts everything and returns when the processes serve.
func Start(p Profile, log zerolog.Logger) (*Fleet, error) {
	f := &Fleet{Profile: p, log: log, Agents: map[string]*Host{}, Entries: map[string]*Host{}, Store: standin.NewStoreServer(1)}
	storeEcho := quietEcho()
	f.Store.Register(storeEcho)
	url, err := f.serve(storeEcho, f.port(0))
	if err != nil {
		return f, err
	}
	f.StoreURL = url
	f.every(100*time.Millisecond, f.Store.Engine.Tick)
	if err := f.seedSettings(); err != nil {
		return f, err
	}
	for i := range p.Entries {
		if err := f.startEntry(i); err != nil {
			return f, err
		}
	}
	for i := range p.Agents {
		if err := f.startAgent(i); err != nil {
			return f, err
		}
	}
	return f, nil
}

func quietEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	return e
}

func (f *Fleet) port(offset int) string {
	if f.Profile.FirstPort == 0 {
		return "127.0.0.1:0"
	}
	return fmt.Sprintf("127.0.0.1:%d", f.Profile.FirstPort+offset)
}

// serve runs a handler on the address until the fleet stops and returns its base URL.
func (f *Fleet) serve(h http.Handler, addr string) (string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", eris.Wrap(err, "stand-in listener")
	}
	srv := &http.Server{Handler: h}
	go srv.Serve(l) //nolint:errcheck // ends with Close
	f.stops = append(f.stops, func() { srv.Close() })
	return "http://" + l.Addr().String(), nil
}

// StopBackend cuts off the host's backend server at once, as a crash would; the agent goes on.
func (h *Host) StopBackend() { h.stopBackend() }

func (f *Fleet) every(d time.Duration, do func()) {
	ctx, cancel := context.WithCancel(context.Background())
	f.stops = append(f.stops, cancel)
	go app.Every(ctx, d, do)
}

func (f *Fleet) seedSettings() error {
	st := etcdgw.NewClient(f.StoreURL, 0)
	defer st.Close()
	repo := settings.NewRepository(st, "bf-dev")
	edit := settings.Edit{Author: "bf-dev", Comment: "initial tree", Changes: settings.NewTree().Diff(f.Profile.Tree)}
	_, err := repo.Commit(context.Background(), 0, edit)
	return eris.Wrap(err, "seed settings")
}

// addrs numbers the addresses that FreeAddr has returned.
var addrs atomic.Uint32

// FreeAddr returns an address to listen on later. Each has a loopback IP of its own, so that neither another call nor the
// source port of an outgoing connection, which comes from 127.0.0.1, can take the port in between.
func FreeAddr() (string, error) {
	const numbers = 250
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 1+pid/numbers%numbers, 1+pid%numbers, 1+addrs.Add(1)%numbers)
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", eris.Wrap(err, "free port")
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func (f *Fleet) process(id string, i int) (config.Process, error) {
	p := f.Profile
	control, err := FreeAddr()
	if err != nil {
		return config.Process{}, err
	}
	return config.Process{
		ID: id, Region: "region-1", Domain: fmt.Sprintf("domain-%d", i%p.Domains+1), Rack: fmt.Sprintf("rack-%d", i/p.RackSize+1),
		Listen: config.Listen{Control: control}, Store: f.StoreURL, Seeds: f.seeds(),
		Partitions: config.DefaultPartitions, MaxPartitions: config.DefaultMaxPartitions,
		LeaseTTL: p.LeaseTTL, OutageHold: p.OutageHold, Drain: p.Drain, LogLevel: "info",
		TLS: p.TLS, CallersTLS: p.CallersTLS, Credentials: p.Credentials,
	}, nil
}

// seeds are the control addresses of the entries.
func (f *Fleet) seeds() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := []string{}
	for _, h := range f.Entries {
		out = append(out, h.Config.ControlAddr())
	}
	return out
}

func (f *Fleet) startEntry(i int) error {
	p := f.Profile
	id := fmt.Sprintf("entry-%d", i+1)
	cfg, err := f.process(id, i)
	if err != nil {
		return err
	}
	if cfg.Listen.Callers, err = f.callerAddr(i); err != nil {
		return err
	}
	cfg.Routing = p.Routing
	cfg.TrustedProxies = []string{"127.0.0.0/8"} // load runs stand for many callers by X-Forwarded-For
	h := &Host{Config: cfg}
	if err := f.relay(h); err != nil {
		return err
	}
	n, err := node.NewEntry(h.Config, f.log)
	if err != nil {
		return err
	}
	h.Node = n
	h.run()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Entries[id] = h
	return nil
}

func (f *Fleet) callerAddr(i int) (string, error) {
	if f.Profile.FirstPort > 0 {
		return f.port(1 + i), nil
	}
	return FreeAddr()
}

func (f *Fleet) startAgent(i int) error {
	p := f.Profile
	id := fmt.Sprintf("agent-%d", i+1)
	w := standin.NewSimWorker(fmt.Sprintf("worker-%d", i+1), p.Capacity, p.Observer, uint64(i))
	b := sample.New(sample.Config{Name: fmt.Sprintf("runner-%d", i+1), Slots: p.Slots, Service: p.Service, Load: w.Load, Interference: p.Interference})
	workerEcho := quietEcho()
	standin.RegisterWorker(workerEcho, w)
	workerURL, err := f.serve(workerEcho, "127.0.0.1:0")
	if err != nil {
		return err
	}
	var backendURL string
	pprof.Do(context.Background(), pprof.Labels("role", "backend"), func(context.Context) {
		backendURL, err = f.serve(b, "127.0.0.1:0")
	})
	if err != nil {
		return err
	}
	stopBackend := f.stops[len(f.stops)-1]
	cfg, err := f.process(id, i)
	if err != nil {
		return err
	}
	if cfg.Listen.Data, err = FreeAddr(); err != nil {
		return err
	}
	cfg.Backend = config.Backend{Name: p.Backend, Addr: backendURL[len("http://"):], Slots: p.Slots, Conns: p.Conns, MaxQueue: cmp.Or(p.MaxQueue, config.DefaultMaxQueue)}
	cfg.Worker = config.Worker{URL: workerURL, Reserve: p.Reserve}
	return f.addAgent(&Host{Config: cfg, Worker: w, Backend: b, BackendURL: backendURL, stopBackend: stopBackend})
}

func (f *Fleet) addAgent(h *Host) error {
	if err := f.relay(h); err != nil {
		return err
	}
	n, err := node.NewAgent(h.Config, f.log)
	if err != nil {
		return err
	}
	h.Node = n
	h.run()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Agents[h.Config.ID] = h
	return nil
}

func (h *Host) run() {
	ctx, cancel := context.WithCancel(context.Background())
	n, done := h.Node, make(chan error, 1)
	h.cancel, h.done = cancel, done
	role := "agent"
	if h.Worker == nil {
		role = "entry"
	}
	// Goroutines inherit the label, so a CPU profile of the fleet can be split by role.
	pprof.Do(ctx, pprof.Labels("role", role), func(ctx context.Context) {
		go func() { done <- n.Run(ctx) }()
	})
}

// Stop stops one host in order and waits for it.
func (h *Host) Stop() error {
	h.cancel()
	return <-h.done
}

func (f *Fleet) host(hosts map[string]*Host, kind string, i int) *Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return hosts[fmt.Sprintf("%s-%d", kind, i+1)]
}

// EntryURL returns the base URL of an entry's caller API.
func (f *Fleet) EntryURL(i int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	scheme := "http://"
	if f.Profile.CallersTLS.On() {
		scheme = "https://"
	}
	return scheme + f.Entries[fmt.Sprintf("entry-%d", i+1)].Config.Listen.Callers
}

// WaitReady waits until every entry sees every agent and the tree is in force.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for !f.ready() {
		select {
		case <-ctx.Done():
			return eris.New("the fleet did not become ready")
		case <-time.After(20 * time.Millisecond):
		}
	}
	return nil
}

func (f *Fleet) ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.Entries {
		agents := 0
		for _, m := range e.Node.Table.Members() {
			if f.Agents[m.ID] != nil && m.Load.Slots > 0 {
				agents++
			}
		}
		if agents < len(f.Agents) || e.Node.Live.Current().Revision == 0 {
			return false
		}
	}
	for _, a := range f.Agents {
		if a.Node.Live.Current().Revision == 0 {
			return false
		}
	}
	return true
}

// Stop stops all hosts in order, agents first, then the stand-ins.
func (f *Fleet) Stop() error {
	f.awaitZombies()
	errs := append(stopAll(f.Agents), stopAll(f.Entries)...)
	for i := len(f.stops) - 1; i >= 0; i-- {
		f.stops[i]()
	}
	return errors.Join(errs...)
}

func stopAll(hosts map[string]*Host) []error {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var errs []error
	for _, h := range hosts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			err := h.Stop()
			mu.Lock()
			defer mu.Unlock()
			errs = append(errs, err)
		}()
	}
	wg.Wait()
	return errs
}
