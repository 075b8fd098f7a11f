package partition

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"flag"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bamboofork/internal/caslog"
	"bamboofork/internal/lease"
	"bamboofork/internal/ledger"
	"bamboofork/internal/membership"
	"bamboofork/internal/store"
	"bamboofork/internal/store/memstore"
	"bamboofork/internal/wire"
	"bamboofork/internal/worker"
)

var runMeasurements = flag.Bool("batch.measure", false, "run the measurements of docs/measurements/batch.md")

// Peak load of one owner in a fleet with 256 partitions.
const (
	loadAgents      = 30
	loadTasksPerJob = 50
	loadJobInterval = 676 * time.Millisecond // between jobs: 74 task starts per second
	loadTaskRunTime = 20 * time.Second       // run time of each task
	loadDuration    = 10 * time.Minute
)

// countingStore counts the bytes written, and the size of the same records without compression.
type countingStore struct {
	store.Store
	written      atomic.Int64
	uncompressed atomic.Int64
}

func (s *countingStore) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, id store.LeaseID) (store.CASResult, error) {
	s.written.Add(int64(len(value)))
	var rec caslog.Record
	if json.Unmarshal(value, &rec) == nil && rec.Seq > 0 {
		if data, err := decodeRecord(rec.Data); err == nil {
			raw, _ := json.Marshal(data)
			s.uncompressed.Add(int64(len(value) - len(rec.Data) + len(raw)))
		}
	}
	return s.Store.CompareAndSwap(ctx, key, expect, value, id)
}

// fakeAgents is a membership view of agents that accept every placement and report tasks as done after their run time. mu
// guards tasks and starts.
type fakeAgents struct {
	started time.Time
	mu      sync.Mutex
	tasks   map[string]map[worker.Ref]time.Time // when each attempt ends, by agent
	starts  int
}

func (f *fakeAgents) Members() []membership.Status {
	out := []membership.Status{}
	for i := range loadAgents {
		id := fmt.Sprintf("host-%05d", i)
		capacity := worker.Resources{Cores: 1e6, MemoryMB: 1e9}
		out = append(out, membership.Status{Member: membership.Member{
			ID: id, Role: membership.RoleAgent, Addr: id, Incarnation: 1764840000000000000,
			Load: membership.Load{Capacity: capacity, Free: capacity, Clock: time.Since(f.started)},
		}})
	}
	return out
}

func (f *fakeAgents) Lookup(string) (membership.Status, bool) { return membership.Status{}, false }

func (f *fakeAgents) Call(_ context.Context, addr, method string, args, reply any) error {
	if place, ok := args.(wire.PlaceArgs); ok {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.tasks[addr] == nil {
			f.tasks[addr] = map[worker.Ref]time.Time{}
		}
		f.tasks[addr][place.Spec.Ref] = time.Now().Add(place.Spec.Run)
		f.starts++
		reply.(*wire.PlaceReply).Accepted = true
	}
	return nil
}

func (f *fakeAgents) sendReport(o *Owner, addr string) {
	args := wire.ReportArgs{Agent: addr, Incarnation: 1764840000000000000}
	f.mu.Lock()
	for ref, end := range f.tasks[addr] {
		state := worker.StateRunning
		if time.Now().After(end) {
			state = worker.StateDone
		}
		args.Tasks = append(args.Tasks, wire.TaskReport{Ref: ref, State: state})
	}
	f.mu.Unlock()
	var reply wire.ReportReply
	o.processReport(args, &reply)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, ref := range reply.Forget {
		delete(f.tasks[addr], ref)
	}
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// loadResult is the result of runLoad.
type loadResult struct {
	starts, ops, calls    int64
	written, uncompressed int64
	cpu                   time.Duration
}

func (l loadResult) String() string {
	return fmt.Sprintf("%d starts, %.1f store calls per 1,000 starts, %.0f bytes per transition (%.0f without compression, ratio %.2f), %v CPU per transition",
		l.starts, float64(l.calls)*1000/float64(l.starts), float64(l.written)/float64(l.ops), float64(l.uncompressed)/float64(l.ops),
		float64(l.written)/float64(l.uncompressed), l.cpu/time.Duration(l.ops))
}

// runLoad applies the peak load to one owner whose append rate is limited to appends per second.
func runLoad(c *qt.C, appends float64) loadResult {
	counting := &countingStore{Store: memstore.New()}
	r := &ownerHarness{store: memstore.NewFaulty(counting, 1)}
	r.keeper = lease.NewKeeper(r.store, 10*time.Second, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { defer wg.Done(); _ = r.keeper.Run(ctx) }()
	time.Sleep(10 * time.Millisecond)
	id, _, _ := r.keeper.Current()
	log := caslog.New(r.store, LogPrefix(0), "host-00001-1764840000000000000")
	o, err := Recover(ctx, OwnerConfig{OutageHold: DefaultOutageHold, Retention: DefaultRetention, AppendsPerSecond: appends}, log, r.keeper, id, zerolog.Nop())
	c.Assert(err, qt.IsNil)
	agents := &fakeAgents{started: time.Now(), tasks: map[string]map[worker.Ref]time.Time{}}
	m := NewManager(Config{MemberID: "none", PartitionCount: 256}, r.store, r.keeper, agents, agents, zerolog.Nop())
	before, cpu := r.store.CallsByKind(), cpuTime()
	wg.Add(2)
	go func() { defer wg.Done(); _ = o.run(ctx) }()
	go func() { defer wg.Done(); newPlacer(m, o).run(ctx) }()
	for i := range loadAgents {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				time.Sleep(250 * time.Millisecond)
				agents.sendReport(o, fmt.Sprintf("host-%05d", i))
			}
		}()
	}
	for range int(loadDuration / loadJobInterval) {
		job := ledger.Job{ID: JobID(0, rand.Text()), Branch: "workshop/moulding-plans", Kind: "plan", Idempotent: true,
			Need: worker.Resources{Cores: 4, MemoryMB: 4000}, Run: loadTaskRunTime, Hold: 30 * time.Second,
			Submitted: time.Now(), Tasks: make([]ledger.Task, loadTasksPerJob)}
		for t := range job.Tasks {
			job.Tasks[t].State = ledger.TaskPending
		}
		go func() { _ = o.Commit(ctx, ledger.Op{Kind: ledger.OpSubmit, Job: &job}) }()
		time.Sleep(loadJobInterval)
	}
	result := loadResult{cpu: cpuTime() - cpu, starts: int64(agents.starts),
		written: counting.written.Load(), uncompressed: counting.uncompressed.Load()}
	for kind, n := range r.store.CallsByKind() {
		result.calls += n - before[kind]
	}
	cancel()
	wg.Wait()
	result.ops = 2 * result.starts // one placement and one end per start
	raw, _ := json.Marshal(o.state)
	compressedState, _ := deflate(raw)
	tasks := len(o.state.Jobs) * loadTasksPerJob
	c.Logf("snapshot: %.0f bytes per task stored, %.0f as JSON",
		float64(len(compressedState))/float64(tasks), float64(len(raw))/float64(tasks))
	return result
}

// TestMeasureLoad prints the results for docs/measurements/batch.md.
func TestMeasureLoad(t *testing.T) {
	if !*runMeasurements {
		t.Skip("measurement; run with -batch.measure")
	}
	for _, appends := range []float64{1e6, storeAppendsPerSecond / 256.0} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			c.Logf("appends per second %.2f: %v", appends, runLoad(c, appends))
		})
	}
}
