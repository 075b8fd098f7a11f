// Package dev runs a whole fleet in one process: the simulated platform, sample backend servers, agents and entries, connected
// over TCP on loopback. bf-dev, load runs and end-to-end tests use this package.
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
	"bamboofork/internal/network"
	"bamboofork/internal/node"
	"bamboofork/internal/sample"
	"bamboofork/internal/settings"
	"bamboofork/internal/standin"
	"bamboofork/internal/store/etcdgw"
	"bamboofork/internal/worker"
)

// Profile is the configuration of a fleet. Slots, MaxConns, Capacity, Reserve and ServiceTime apply to each agent's host.
type Profile struct {
	Name            string
	BackendName     string               // pool name of the backend servers
	Domains         int                  // number of failure domains
	Entries         int                  // number of entries
	Agents          int                  // number of agents
	RackSize        int                  // hosts per rack
	Slots           int                  // maximum number of concurrent requests of a backend server
	MaxConns        int                  // maximum number of connections of a backend server
	Capacity        worker.Resources     // of the worker
	Reserve         worker.Resources     // part of Capacity that is reserved for the backend server
	ServiceTime     time.Duration        // service time of a latency-critical request on an idle host
	Interference    map[string]float64   // relative growth of the service time per core of batch work, by task kind
	InitialSettings settings.Tree        // initial settings
	Observer        standin.TaskObserver // notified by all workers; nil: none
	LeaseTTL        time.Duration        // as in config.Process, like OutageHold and Drain
	OutageHold      time.Duration
	Drain           time.Duration
	Network         network.Network // nil: TCP on loopback; UseRelays needs TCP
	FirstPort       int             // port of the store; the entries use the ports after it; 0: any free ports
	Routing         string          // routing policy of the entries; "": the default
	MaxQueue        int             // maximum number of queued requests of one branch at a gate; 0: the default
	// UseRelays puts a faultnet relay in front of the control and data address of each process. RelaySeed is the seed of the
	// random delays and losses of the relays.
	UseRelays bool
	RelaySeed uint64
	// TLS configures TLS between processes, and CallersTLS configures TLS for the caller API. Credentials is the path of the file
	// with the credentials of the operators.
	TLS, CallersTLS config.TLS
	Credentials     string
}

// Fleet is a running fleet. Agents and Entries hold the hosts by process ID. mu guards Agents, Entries and abortedDone.
type Fleet struct {
	Profile  Profile
	Store    *standin.StoreServer
	StoreURL string
	log      zerolog.Logger

	mu          sync.Mutex
	Agents      map[string]*Host
	Entries     map[string]*Host
	cleanups    []func()
	abortedDone []chan error // one channel for each aborted node; each receives the result of the node's Run
}

// Host is one host of the fleet. The host of an entry has no worker and no backend server.
type Host struct {
	Config      config.Process
	Node        *node.Node
	Worker      *standin.SimWorker
	Backend     *sample.Server
	BackendURL  string
	Relays      Relays
	stopBackend func()
	cancel      context.CancelFunc
	done        chan error // receives the result of the node's Run
}

// Start starts the simulated platform and all hosts. WaitReady waits until the fleet serves requests. After an error, the returned
// fleet holds what was started so far.
func Start(p Profile, log zerolog.Logger) (*Fleet, error) {
	p.Network = cmp.Or(p.Network, network.TCPWithKeepAlive)
	f := &Fleet{Profile: p, log: log, Agents: map[string]*Host{}, Entries: map[string]*Host{}, Store: standin.NewStoreServer(1)}
	storeEcho := newEcho()
	f.Store.Register(storeEcho)
	url, err := f.serve(storeEcho, f.listenAddr(0))
	if err != nil {
		return f, err
	}
	f.StoreURL = url
	f.runEvery(100*time.Millisecond, f.Store.Engine.ExpireLeases)
	if err := f.commitInitialSettings(); err != nil {
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

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	return e
}

func (f *Fleet) listenAddr(offset int) string {
	if f.Profile.FirstPort == 0 {
		return "127.0.0.1:0"
	}
	return fmt.Sprintf("127.0.0.1:%d", f.Profile.FirstPort+offset)
}

// serve serves HTTP requests with h on addr until the fleet stops. It returns the base URL.
func (f *Fleet) serve(h http.Handler, addr string) (string, error) {
	l, err := f.Profile.Network.Listen(addr)
	if err != nil {
		return "", eris.Wrap(err, "listen for simulated server")
	}
	srv := &http.Server{Handler: h}
	go srv.Serve(l) //nolint:errcheck // ends with Close
	f.cleanups = append(f.cleanups, func() { srv.Close() })
	return "http://" + l.Addr().String(), nil
}

// StopBackend closes the host's backend server and the server's connections, as a crash would. The agent keeps running.
func (h *Host) StopBackend() { h.stopBackend() }

func (f *Fleet) runEvery(interval time.Duration, tick func()) {
	ctx, cancel := context.WithCancel(context.Background())
	f.cleanups = append(f.cleanups, cancel)
	go app.Every(ctx, interval, tick)
}

func (f *Fleet) commitInitialSettings() error {
	st := etcdgw.NewClientOn(f.Profile.Network, f.StoreURL, 0)
	defer st.Close()
	repo := settings.NewRepository(st, "bf-dev")
	edit := settings.Edit{Author: "bf-dev", Comment: "initial tree", Changes: settings.NewTree().Diff(f.Profile.InitialSettings)}
	_, err := repo.Commit(context.Background(), 0, edit)
	return eris.Wrap(err, "commit initial settings")
}

// freeAddrCalls counts the calls of FreeAddr.
var freeAddrCalls atomic.Uint32

// FreeAddr returns an address to listen on later. Each address has its own loopback IP. Until the caller listens, neither another
// call of FreeAddr nor an outgoing connection can take the port, because outgoing connections come from 127.0.0.1.
func FreeAddr() (string, error) { return freeAddr(network.TCPWithKeepAlive) }

func freeAddr(n network.Network) (string, error) {
	const octets = 250
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 1+pid/octets%octets, 1+pid%octets, 1+freeAddrCalls.Add(1)%octets)
	l, err := n.Listen(net.JoinHostPort(host, "0"))
	if err != nil {
		return "", eris.Wrap(err, "find a free port")
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func (f *Fleet) processConfig(id string, i int) (config.Process, error) {
	p := f.Profile
	control, err := freeAddr(p.Network)
	if err != nil {
		return config.Process{}, err
	}
	return config.Process{
		ID: id, Region: "region-1", Domain: fmt.Sprintf("domain-%d", i%p.Domains+1), Rack: fmt.Sprintf("rack-%d", i/p.RackSize+1),
		Listen: config.Listen{Control: control}, Store: f.StoreURL, Seeds: f.seedAddrs(),
		PartitionCount: config.DefaultPartitionCount, MaxPartitions: config.DefaultMaxPartitions,
		LeaseTTL: p.LeaseTTL, OutageHold: p.OutageHold, DrainTimeout: p.Drain, LogLevel: "info",
		TLS: p.TLS, CallersTLS: p.CallersTLS, OperatorCredentials: p.Credentials,
	}, nil
}

// seedAddrs returns the control addresses of the entries started so far, which a new process contacts first.
func (f *Fleet) seedAddrs() []string {
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
	cfg, err := f.processConfig(id, i)
	if err != nil {
		return err
	}
	if cfg.Listen.Callers, err = f.callerAddr(i); err != nil {
		return err
	}
	cfg.Routing = p.Routing
	cfg.TrustedProxies = []string{"127.0.0.0/8"} // load runs simulate many callers with X-Forwarded-For
	h := &Host{Config: cfg}
	if err := f.addRelays(h); err != nil {
		return err
	}
	n, err := node.NewEntry(p.Network, h.Config, f.log)
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
		return f.listenAddr(1 + i), nil
	}
	return freeAddr(f.Profile.Network)
}

func (f *Fleet) startAgent(i int) error {
	p := f.Profile
	id := fmt.Sprintf("agent-%d", i+1)
	w := standin.NewSimWorker(fmt.Sprintf("worker-%d", i+1), p.Capacity, p.Observer, uint64(i))
	b := sample.New(sample.Config{Name: fmt.Sprintf("runner-%d", i+1), Slots: p.Slots, ServiceTime: p.ServiceTime, BatchLoad: w.CoresByKind, Interference: p.Interference})
	workerEcho := newEcho()
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
	stopBackend := f.cleanups[len(f.cleanups)-1]
	cfg, err := f.processConfig(id, i)
	if err != nil {
		return err
	}
	if cfg.Listen.Data, err = freeAddr(p.Network); err != nil {
		return err
	}
	cfg.Backend = config.Backend{Name: p.BackendName, Addr: backendURL[len("http://"):], Slots: p.Slots, Conns: p.MaxConns, MaxQueue: cmp.Or(p.MaxQueue, config.DefaultMaxQueue)}
	cfg.Worker = config.Worker{URL: workerURL, Reserve: p.Reserve}
	return f.addAgent(&Host{Config: cfg, Worker: w, Backend: b, BackendURL: backendURL, stopBackend: stopBackend})
}

func (f *Fleet) addAgent(h *Host) error {
	if err := f.addRelays(h); err != nil {
		return err
	}
	n, err := node.NewAgent(f.Profile.Network, h.Config, f.log)
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

// Stop shuts the process on the host down gracefully, waits until the process has ended and returns the result of its Run.
func (h *Host) Stop() error {
	h.cancel()
	return <-h.done
}

func (f *Fleet) hostByIndex(hosts map[string]*Host, role string, i int) *Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return hosts[fmt.Sprintf("%s-%d", role, i+1)]
}

// EntryURL returns the base URL of the caller API of entry i, counted from 0.
func (f *Fleet) EntryURL(i int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	scheme := "http://"
	if f.Profile.CallersTLS.Enabled() {
		scheme = "https://"
	}
	return scheme + f.Entries[fmt.Sprintf("entry-%d", i+1)].Config.Listen.Callers
}

// WaitReady waits until every entry knows every agent and all processes have applied the settings tree.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for !f.ready() {
		select {
		case <-ctx.Done():
			return eris.New("fleet not ready: an agent is unknown to an entry, or settings are not applied")
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
		if agents < len(f.Agents) || e.Node.LiveSettings.Current().Revision == 0 {
			return false
		}
	}
	for _, a := range f.Agents {
		if a.Node.LiveSettings.Current().Revision == 0 {
			return false
		}
	}
	return true
}

// Stop shuts down the agents, then the entries, both gracefully, and then the simulated platform.
func (f *Fleet) Stop() error {
	f.awaitAborted()
	errs := append(stopAll(f.Agents), stopAll(f.Entries)...)
	for i := len(f.cleanups) - 1; i >= 0; i-- {
		f.cleanups[i]()
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
