package deployed

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"bamboofork/internal/app"
	"bamboofork/internal/boottime"
	"bamboofork/internal/hostconfig"
	"bamboofork/internal/network/memnet"
	"bamboofork/internal/telemetry"
	"bamboofork/platform/standin"
)

// The components of several agents and entries run in virtual time over a network in memory, with the simulated store and workers.
// Faults come close together, so that one strikes while another is being dealt with. The checks see only what callers and workers see.

var (
	virtualFirst = flag.Uint64("virtual-first", 0, "first seed of TestJobsSurviveFaultsInVirtualTime")
	virtualSeeds = flag.Uint64("virtual-seeds", 8, "number of seeds of TestJobsSurviveFaultsInVirtualTime")
	virtualLogs  = flag.String("virtual-logs", "", "folder for the process logs of seeds that fail")
)

// virtualTimeEnd is after all times in virtual time, which begins with the year 2000.
var virtualTimeEnd = time.Date(2010, 1, 1, 0, 0, 0, 0, time.UTC)

func init() {
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs // as newProcess sets it
	var bootClock func() time.Duration
	bootClock = boottime.SetClock(func() time.Duration {
		if now := time.Now(); now.Before(virtualTimeEnd) {
			return time.Duration(now.UnixNano())
		}
		return bootClock()
	})
}

const (
	virtualHosts   = 6
	virtualEntries = 2
	// virtualWorkerMillicores is the capacity of a worker.
	virtualWorkerMillicores = 16_000
	virtualCallers          = 10
	// minVirtualWorkers is the number of workers that never leave.
	minVirtualWorkers = 4
	maxPerpetualJobs  = 4
	virtualFaultsFor  = 14 * time.Second
	// visibleAfter, finishAfter, idleLimit and the hold are bounds of the operators: the time after the acknowledgement of a job from
	// which it must be known, the time after the end of the traffic from which jobs are asked for, and how long a job may then have
	// nothing running.
	visibleAfter   = 3 * time.Second
	finishAfter    = 14 * time.Second
	idleLimit      = 3 * time.Second
	virtualHoldMs  = 10_000
	callerDeadline = 3 * time.Second
	virtualCalm    = 7 * time.Second // after which a perpetual task has to run
	// lossSlack is the time before the end of a connection in which a request on it may have been sent too late to be read.
	lossSlack = 200 * time.Millisecond
)

// virtualMachine is the machine of an entry, or of an agent and its worker.
type virtualMachine struct {
	cfg        hostconfig.Process
	ip         string
	components func(p *process) ([]app.Component, error)
	endpoint   *standin.Endpoint
	storeIP    string
	logs       *lockedBuffer

	// disturbedUntil is the time until which requests to the machine may stay without an answer. Guarded by virtualFleet.mu.
	disturbedUntil time.Time

	incarnations int
	running      *virtualIncarnation // nil while no process runs
	stopping     chan struct{}       // closed when the last graceful stop has ended; nil: there was none

	worker       *standin.Worker // nil: the machine of an entry
	workerServer *http.Server
	left         bool // the worker and its agent have left for good
	stopRegister context.CancelFunc
}

// virtualIncarnation is one process.
type virtualIncarnation struct {
	network *memnet.Process
	cancel  context.CancelFunc
	ended   chan struct{}
}

type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *lockedBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.String()
}

type virtualFleet struct {
	t       *testing.T
	rng     *rand.Rand
	start   time.Time
	network *memnet.Network
	store   *standin.Store
	checker *standin.RunChecker
	hosts   []*virtualMachine
	entries []*virtualMachine
	servers []*http.Server
	outside *memnet.Process // callers and the operators' side of the workers
	client  *http.Client
	acked   chan struct{}
	pending []scheduled // by time
	wg      sync.WaitGroup
	// recordsPerSnapshot is small in many seeds, so that takeovers meet snapshots.
	recordsPerSnapshot int64
	faultsEnd          time.Time
	manifestVersion    int64
	ownerShare         float64                        // share of the faults of single machines that strike the owner
	onlySubmitAt       atomic.Pointer[virtualMachine] // nil: jobs are handed in at all entries

	mu         sync.Mutex
	history    []string
	violations []string
	jobs       map[string]*virtualJob
	perpetual  int
}

type scheduled struct {
	at  time.Time
	run func()
}

// virtualJob is a job as its callers see it. Its fields are guarded by virtualFleet.mu.
type virtualJob struct {
	id, body    string
	taskCount   int
	isPerpetual bool
	ackedAt     time.Time // zero: not acknowledged
	isUncertain bool      // an attempt to submit it has an unknown outcome
	cancelSent  bool
}

// note adds a line to the history of the seed.
func (f *virtualFleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.history = append(f.history, fmt.Sprintf("%7.3f ", time.Since(f.start).Seconds())+fmt.Sprintf(format, args...))
}

func (f *virtualFleet) violation(format string, args ...any) {
	f.note("VIOLATION "+format, args...)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, fmt.Sprintf("%7.3f ", time.Since(f.start).Seconds())+fmt.Sprintf(format, args...))
}

func (f *virtualFleet) serve(addr string, handler http.Handler) *http.Server {
	l, err := f.network.Process(memnet.MachineOf(addr)).Listen(addr)
	if err != nil {
		f.t.Fatal(err)
	}
	srv := &http.Server{Handler: handler, ErrorLog: log.New(io.Discard, "", 0)}
	f.servers = append(f.servers, srv)
	f.wg.Go(func() { _ = srv.Serve(l) })
	return srv
}

// newVirtualFleet returns a fleet whose processes run. configure, if given, is called with all machines before they start.
func newVirtualFleet(t *testing.T, seed uint64, configure ...func(f *virtualFleet)) *virtualFleet {
	f := &virtualFleet{t: t, rng: rand.New(rand.NewPCG(seed, 21)), start: time.Now(), network: memnet.New(),
		store: standin.NewStore(seed + 1), checker: standin.NewRunChecker(), acked: make(chan struct{}, 1), jobs: map[string]*virtualJob{}}
	f.recordsPerSnapshot = []int64{2, 6, 25, 150}[f.rng.IntN(4)]
	f.manifestVersion = 7
	f.ownerShare = []float64{0.5, 0.5, 0.8}[f.rng.IntN(3)]
	f.store.PutManifestVersion(f.manifestVersion)
	f.outside = f.network.Process("10.0.3.1")
	f.client = &http.Client{Timeout: callerDeadline, Transport: &http.Transport{MaxIdleConnsPerHost: 16,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			dialCtx, cancel := context.WithTimeout(ctx, callerDeadline)
			defer cancel()
			return f.outside.Dial(dialCtx, addr)
		}}}
	for i := range virtualHosts {
		f.addHost(fmt.Sprint("10.0.0.", 10+i), seed*100+uint64(i))
	}
	for i := range virtualEntries {
		m := f.newMachine(fmt.Sprint("front-", i), fmt.Sprint("10.0.1.", 10+i), fmt.Sprint("10.0.4.", 10+i))
		m.components = frontComponents
		f.entries = append(f.entries, m)
	}
	for _, apply := range configure {
		apply(f)
	}
	for _, m := range f.machines() {
		f.launch(m)
	}
	return f
}

// addHost adds the machine of an agent and its worker, which registers. The agent is not started.
func (f *virtualFleet) addHost(ip string, workerSeed uint64) *virtualMachine {
	m := f.newMachine(fmt.Sprint("host-", len(f.hosts)), ip, fmt.Sprint("10.0.2.", 10+len(f.hosts)))
	m.components = hostComponents
	m.cfg.Worker = m.ip + ":7002"
	m.worker = standin.NewWorker(m.cfg.Name, virtualWorkerMillicores, f.checker, workerSeed, virtualTaskProfile)
	m.workerServer = f.serve(m.cfg.Worker, m.worker)
	f.hosts = append(f.hosts, m)
	ctx, cancel := context.WithCancel(context.Background())
	m.stopRegister = cancel
	f.wg.Go(func() {
		app.Every(ctx, 200*time.Millisecond, func() { m.worker.Register(f.client, m.cfg.Listen.Registrations, m.cfg.Worker) })
	})
	return m
}

func (f *virtualFleet) newMachine(name, ip, storeIP string) *virtualMachine {
	m := &virtualMachine{ip: ip, storeIP: storeIP, endpoint: f.store.NewEndpoint(), logs: &lockedBuffer{}}
	f.serve(storeIP+":2379", m.endpoint)
	m.cfg = hostconfig.Process{Name: name, MemoryMB: 200, Store: storeIP + ":2379",
		Listen:      hostconfig.Listen{Peers: ip + ":7000", Registrations: ip + ":7001", Callers: ip + ":8000", Readiness: ip + ":8001", Metrics: ip},
		Bounds:      hostconfig.Bounds{MaxHoldMs: virtualHoldMs, StopTimeoutMs: 200, GraceS: 6, StatusS: 120},
		Shortage:    hostconfig.Shortage{DelayCost: len(f.machines())%2 == 0}, // owners with and without it follow each other
		SilentStore: &hostconfig.SilentStore{MaxHeld: 2000, MaxHeldKB: 8192}}
	return m
}

func (f *virtualFleet) machines() []*virtualMachine {
	return append(append([]*virtualMachine(nil), f.hosts...), f.entries...)
}

// launch starts the process of a machine.
func (f *virtualFleet) launch(m *virtualMachine) {
	m.incarnations++
	in := &virtualIncarnation{network: f.network.Process(m.ip), ended: make(chan struct{})}
	p := &process{cfg: m.cfg, isAgent: m.worker != nil, network: in.network, metrics: telemetry.New(), recordsPerSnapshot: f.recordsPerSnapshot,
		log:         zerolog.New(m.logs).Level(zerolog.InfoLevel).With().Timestamp().Str("process", m.cfg.Name).Logger(),
		incarnation: fmt.Sprintf("%s-%d", m.cfg.Name, m.incarnations)}
	list, err := m.components(p)
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	in.cancel = cancel
	var wg sync.WaitGroup
	for _, component := range list {
		wg.Go(func() {
			if err := component.Run(ctx); err != nil && ctx.Err() == nil {
				f.violation("%s of %s ends: %v", component.Name, m.cfg.Name, err)
			}
		})
	}
	f.wg.Go(func() {
		wg.Wait()
		close(in.ended)
	})
	m.running = in
}

// kill ends the process of a machine at once.
func (f *virtualFleet) kill(m *virtualMachine, silent bool) {
	if m.running == nil {
		return
	}
	in := m.running
	m.running = nil
	f.disturb(m, 0)
	in.cancel()
	in.network.Kill(silent)
	f.client.CloseIdleConnections() // the peers of a silent connection would use it for ever
	f.note("kill %s silent=%t", m.cfg.Name, silent)
}

// disturb lets requests to a machine stay without an answer for a time from now.
func (f *virtualFleet) disturb(m *virtualMachine, length time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if until := time.Now().Add(length); until.After(m.disturbedUntil) {
		m.disturbedUntil = until
	}
}

// stop ends the process of a machine gracefully.
func (f *virtualFleet) stop(m *virtualMachine) {
	if m.running == nil {
		return
	}
	in := m.running
	m.running, m.stopping = nil, make(chan struct{})
	stopping := m.stopping
	f.note("stop %s", m.cfg.Name)
	in.cancel()
	f.wg.Go(func() {
		select {
		case <-in.ended:
		case <-time.After(m.cfg.Bounds.Grace()):
		}
		in.network.Kill(false)
		close(stopping)
	})
}

// isStopping reports whether a process of the machine still stops.
func (m *virtualMachine) isStopping() bool {
	if m.stopping == nil {
		return false
	}
	select {
	case <-m.stopping:
		return false
	default:
		return true
	}
}

// restart starts the process of a machine unless it runs or has left. While the previous process still stops, restart waits.
func (f *virtualFleet) restart(m *virtualMachine) {
	if m.running != nil || m.left {
		return
	}
	if m.isStopping() {
		f.after(100*time.Millisecond, func() { f.restart(m) })
		return
	}
	f.note("start %s", m.cfg.Name)
	f.launch(m)
}

// after schedules an action.
func (f *virtualFleet) after(d time.Duration, run func()) {
	at := time.Now().Add(d)
	i := sort.Search(len(f.pending), func(i int) bool { return f.pending[i].at.After(at) })
	f.pending = append(f.pending, scheduled{})
	copy(f.pending[i+1:], f.pending[i:])
	f.pending[i] = scheduled{at: at, run: run}
}

// strikeAfter schedules a fault unless the faults have ended by then.
func (f *virtualFleet) strikeAfter(d time.Duration, fault func()) {
	if time.Now().Add(d).Before(f.faultsEnd) {
		f.after(d, fault)
	}
}

// runScheduled runs the scheduled actions until the time.
func (f *virtualFleet) runScheduled(until time.Time) {
	for len(f.pending) > 0 && !f.pending[0].at.After(until) {
		next := f.pending[0]
		f.pending = f.pending[1:]
		time.Sleep(time.Until(next.at))
		next.run()
	}
	time.Sleep(time.Until(until))
}

// between returns a random duration.
func (f *virtualFleet) between(low, high time.Duration) time.Duration {
	return low + time.Duration(f.rng.Int64N(int64(high-low)))
}

func (f *virtualFleet) chance(p float64) bool { return f.rng.Float64() < p }

// owner returns the machine of the owner, or a random host if there is none.
func (f *virtualFleet) owner() *virtualMachine {
	name := f.store.OwnerName()
	for _, m := range f.hosts {
		if m.cfg.Name == name {
			return m
		}
	}
	return f.anyHost()
}

// isolate cuts a machine off from the store and from all other machines.
func (f *virtualFleet) isolate(m *virtualMachine) {
	others := []string{m.storeIP}
	for _, other := range f.machines() {
		if other != m {
			others = append(others, other.ip)
		}
	}
	for _, ip := range others {
		f.network.SetLink(m.ip, ip, memnet.LinkFaults{Cut: true})
		f.network.SetLink(ip, m.ip, memnet.LinkFaults{Cut: true})
	}
}

// endWorker ends the worker of a machine for good. The agent is not told.
func (f *virtualFleet) endWorker(m *virtualMachine) {
	m.left = true
	m.stopRegister()
	m.worker.Crash()
	m.workerServer.Close()
}

func (f *virtualFleet) anyHost() *virtualMachine  { return f.hosts[f.rng.IntN(len(f.hosts))] }
func (f *virtualFleet) anyEntry() *virtualMachine { return f.entries[f.rng.IntN(len(f.entries))] }

// anyMachine returns the owner's machine with a good chance, or a random one.
func (f *virtualFleet) anyMachine() *virtualMachine {
	if f.chance(f.ownerShare) {
		return f.owner()
	}
	all := f.machines()
	return all[f.rng.IntN(len(all))]
}
