package deployed

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bamboofork/internal/app"
	"bamboofork/internal/hostconfig"
	"bamboofork/internal/network"
	"bamboofork/internal/telemetry"
	"bamboofork/platform/standin"
)

// fleet runs the components of the deployed programs on loopback addresses with a simulated store and simulated workers. Every
// test process has its own endpoint of the store, so that a store fault can affect a single process.
type fleet struct {
	t           *testing.T
	store       *standin.Store
	checker     *standin.RunChecker
	adviser     *standin.Adviser // nil: workers require no tickets
	adviserAddr string
	workers     []*standin.Worker
	hosts       []*testProcess
	front       *testProcess
	entryURL    string
	client      *http.Client
}

// testProcess is an entry or an agent whose components run inside the test.
type testProcess struct {
	*process
	store *standin.Endpoint // endpoint through which only this process uses the store
	stop  func()            // stops the components and waits for their end
}

const (
	taskDuration   = 40 * time.Millisecond
	taskMillicores = 2000
)

func listen(t *testing.T) (net.Listener, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	return l, l.Addr().String()
}

const (
	// Ports for programs that bind them later come from a range below that from which the kernel takes the ports of outgoing
	// connections, which is usually 32768 to 60999. Otherwise a connection of any test on the machine may take such a port before
	// the program binds it.
	firstProgramPort = 12_000
	programPortCount = 18_000
)

// nextProgramPort is the offset of the next port that freeAddr tries. Test binaries that run at the same time start at random
// offsets.
var nextProgramPort atomic.Uint32

func init() { nextProgramPort.Store(rand.Uint32N(programPortCount)) }

// freeAddr returns a loopback address whose port is unused and that it returns only once.
func freeAddr(t *testing.T) string {
	for range programPortCount {
		addr := fmt.Sprintf("127.0.0.1:%d", firstProgramPort+nextProgramPort.Add(1)%programPortCount)
		if l, err := net.Listen("tcp", addr); err == nil {
			qt.Assert(t, l.Close(), qt.IsNil)
			return addr
		}
	}
	t.Fatal("no free port for a program")
	return ""
}

// Guards against programs that fail to start because an outgoing connection has taken their port: the kernel does not hand out
// the ports that freeAddr returns.
func TestPortsOfProgramsAreNotHandedOutToConnections(t *testing.T) {
	limits, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Skip("no ephemeral port range on this system")
	}
	var first, last int
	_, err = fmt.Sscan(string(limits), &first, &last)
	qt.Assert(t, err, qt.IsNil)
	seen := map[string]bool{}
	for range 200 {
		addr := freeAddr(t)
		qt.Assert(t, seen[addr], qt.IsFalse)
		seen[addr] = true
		_, text, err := net.SplitHostPort(addr)
		qt.Assert(t, err, qt.IsNil)
		port, err := strconv.Atoi(text)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, port < first || port > last, qt.IsTrue, qt.Commentf("port %d is in the range %d to %d", port, first, last))
	}
}

// serveOnLoopback serves h until the test ends, and returns the server's address.
func serveOnLoopback(t *testing.T, h http.Handler) string {
	l, addr := listen(t)
	srv := &http.Server{Handler: h}
	go srv.Serve(l)
	t.Cleanup(func() { srv.Close() })
	return addr
}

func newFleet(t *testing.T, hosts int) *fleet { return newFleetWithAdviser(t, hosts, nil) }

// newFleetWithAdviser starts a fleet whose workers require tickets issued by the adviser, or no tickets if adviser is nil.
func newFleetWithAdviser(t *testing.T, hosts int, adviser *standin.Adviser) *fleet {
	f := &fleet{t: t, store: standin.NewStore(1), checker: standin.NewRunChecker(), adviser: adviser,
		client: &http.Client{Timeout: 10 * time.Second}}
	f.store.PutManifest()
	if adviser != nil {
		f.store.PutAdvisedManifest()
		f.adviserAddr = serveOnLoopback(t, adviser)
	}
	for i := range hosts {
		f.addHost(fmt.Sprintf("host-%d", i))
	}
	f.front = f.startProcess("front-0", false, "", frontComponents)
	f.entryURL = "http://" + f.front.cfg.Listen.Callers
	f.eventually("the entry is ready", 10*time.Second, func() bool {
		return standin.IsReady(f.client, f.front.cfg.Listen.Readiness)
	})
	return f
}

func (f *fleet) addHost(name string) {
	w := standin.NewWorker(name, 16_000, f.checker, uint64(len(f.workers)), func(string) (time.Duration, standin.Need) {
		return taskDuration, standin.Need{CPU: taskMillicores}
	})
	w.TicketIssuer = f.adviser
	addr := serveOnLoopback(f.t, w)
	p := f.startProcess(name, true, addr, hostComponents)
	f.workers, f.hosts = append(f.workers, w), append(f.hosts, p)
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	go app.Every(ctx, 100*time.Millisecond, func() {
		w.Register(f.client, p.cfg.Listen.Registrations, addr)
	})
}

// startProcess starts an entry or an agent. workerAddr is empty for an entry.
func (f *fleet) startProcess(name string, isAgent bool, workerAddr string,
	components func(p *process) ([]app.Component, error)) *testProcess {
	endpoint := f.store.NewEndpoint()
	cfg := hostconfig.Process{
		Name: name, MemoryMB: 200, Worker: workerAddr, Store: serveOnLoopback(f.t, endpoint), Advice: f.adviserAddr,
		Listen: hostconfig.Listen{Peers: freeAddr(f.t), Callers: freeAddr(f.t), Readiness: freeAddr(f.t),
			Registrations: freeAddr(f.t), Metrics: "127.0.0.1"},
		Bounds: hostconfig.Bounds{MaxHoldMs: 3000, StopTimeoutMs: 200, GraceS: 6, StatusS: 120},
	}
	qt.Assert(f.t, cfg.Validate(isAgent), qt.IsNil)
	p := &testProcess{store: endpoint, process: &process{cfg: cfg, isAgent: isAgent, network: network.TCP,
		log: zerolog.New(io.Discard), metrics: telemetry.New(),
		incarnation: fmt.Sprintf("%s-%d", name, time.Now().UnixNano())}}
	f.startComponents(p, components)
	return p
}

// eventually repeats the condition until it is true, and fails the test after the timeout.
func (f *fleet) eventually(what string, timeout time.Duration, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	f.t.Fatalf("not within %s: %s", timeout, what)
}

// request sends a request to the entry. It returns the status code and the response body, or 0 and the error text if there is no
// response.
func (f *fleet) request(method, id, body string) (int, string) {
	req, err := http.NewRequest(method, f.entryURL+standin.QueuePrefix+id, strings.NewReader(body))
	qt.Assert(f.t, err, qt.IsNil)
	req.Host = standin.QueueHost
	resp, err := f.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	qt.Assert(f.t, err, qt.IsNil)
	return resp.StatusCode, string(b)
}

// submit submits n jobs and returns the IDs of the accepted jobs. A request without a certain outcome is repeated,
// as callers do; each job is submitted at most 20 times.
func (f *fleet) submit(prefix string, n int, body string) []string {
	var ids []string
	for i := range n {
		id := fmt.Sprintf("%08s%08x", prefix, i)
		for range 20 {
			code, respBody := f.request(http.MethodPost, id, body)
			if code == http.StatusOK {
				ids = append(ids, id)
				break
			}
			if code == http.StatusBadRequest {
				f.t.Fatalf("job %s: %s", id, respBody)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return ids
}

// jobState returns the state that the entry reports for the job, or the status code if it is not 200.
func (f *fleet) jobState(id string) string {
	code, body := f.request(http.MethodGet, id, "")
	if code != http.StatusOK {
		return fmt.Sprint(code)
	}
	var job struct {
		State string `json:"state"`
	}
	qt.Assert(f.t, json.Unmarshal([]byte(body), &job), qt.IsNil)
	return job.State
}

// waitCompleted waits until all jobs are completed, at most timeout for each job. It then checks that the workers observed no
// violation of the run guarantees.
func (f *fleet) waitCompleted(ids []string, timeout time.Duration) {
	f.t.Helper()
	for _, id := range ids {
		f.eventually("job "+id+" is completed", timeout, func() bool { return f.jobState(id) == "completed" })
	}
	qt.Check(f.t, f.checker.Violations(), qt.HasLen, 0)
}

// ownerIndex returns the index in f.hosts of the host that the owner key names, or -1 if the key names none of them.
func (f *fleet) ownerIndex() int {
	var owner struct {
		Name string `json:"name"`
	}
	if v := f.store.Value(ownerKey); v == nil || json.Unmarshal(v, &owner) != nil {
		return -1
	}
	for i, h := range f.hosts {
		if h.cfg.Name == owner.Name {
			return i
		}
	}
	return -1
}

// restart starts the process of a host at the addresses in its settings.
func (f *fleet) restart(p *testProcess) { f.startComponents(p, hostComponents) }

// startComponents runs the components of the process until p.stop is called or the test ends.
func (f *fleet) startComponents(p *testProcess, components func(p *process) ([]app.Component, error)) {
	list, err := components(p.process)
	qt.Assert(f.t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, component := range list {
		if component.Name == "metrics" {
			continue // its port is fixed, and all processes share one address
		}
		wg.Go(func() {
			if err := component.Run(ctx); err != nil && ctx.Err() == nil {
				f.t.Errorf("%s of %s: %v", component.Name, p.cfg.Name, err)
			}
		})
	}
	p.stop = sync.OnceFunc(func() {
		cancel()
		wg.Wait()
	})
	f.t.Cleanup(p.stop)
}
