package partition_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"bamboofork/internal/caslog"
	"bamboofork/internal/invariant"
	"bamboofork/internal/ledger"
	"bamboofork/internal/partition"
	"bamboofork/internal/standin"
	"bamboofork/internal/store/memstore"
	"bamboofork/internal/wire"
	"bamboofork/internal/worker"
)

var (
	batchSeed    = flag.Uint64("batch.seed", 1, "first seed of the randomised runs")
	batchRuns    = flag.Int("batch.runs", 6, "number of randomised runs")
	batchLength  = flag.Duration("batch.length", time.Minute, "virtual time with faults in each run")
	batchVerbose = flag.Bool("batch.verbose", false, "write the log of the runs to standard error")
)

// completionTimeout is the virtual time after the last fault within which every accepted job must end.
const completionTimeout = 15 * time.Minute

// faultRun is one randomised run. mu guards accepted and violations.
type faultRun struct {
	trace *lockedBuffer
	t     *testing.T
	seed  uint64
	rng   *rand.Rand
	fleet *fleet
	wg    sync.WaitGroup

	mu         sync.Mutex
	accepted   map[string]ledger.Job
	violations []string
}

// TestRandomRuns checks the guarantees in sections 2 and 3 of the design page. Under any combination of failures no
// accepted job is lost and no task runs twice at the same time. All jobs end after the faults stop.
func TestRandomRuns(t *testing.T) {
	totals := stats{}
	failed := 0
	for i := range *batchRuns {
		seed := *batchSeed + uint64(i)
		ok := t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { totals.add(randomRun(t, seed, *batchLength)) })
		})
		if !ok {
			failed++
		}
	}
	t.Logf("%d runs, %d failed; %+v", *batchRuns, failed, totals)
	if totals.Jobs < *batchRuns || totals.Starts < *batchRuns {
		t.Errorf("only %d jobs were accepted and %d tasks started in %d runs", totals.Jobs, totals.Starts, *batchRuns)
	}
}

// stats counts the events of one or more runs.
type stats struct {
	Jobs, Tasks, Starts, Checks int
	DoneTwice                   int // tasks that workers finished more than once, because the first result was not recorded in time
	Evictions, Resumes, Unknown int
	NeverRun                    int // accepted jobs that no worker can run; they must stay in the ledger
}

func (s *stats) add(o stats) {
	s.Jobs += o.Jobs
	s.Tasks += o.Tasks
	s.Starts += o.Starts
	s.Checks += o.Checks
	s.DoneTwice += o.DoneTwice
	s.Evictions += o.Evictions
	s.Resumes += o.Resumes
	s.Unknown += o.Unknown
	s.NeverRun += o.NeverRun
}

func randomRun(t *testing.T, seed uint64, length time.Duration) stats {
	trace := &lockedBuffer{}
	log := zerolog.New(trace).Level(zerolog.InfoLevel).With().Timestamp().Logger()
	if *batchVerbose {
		log = zerolog.New(os.Stderr).With().Timestamp().Logger()
	}
	r := &faultRun{t: t, seed: seed, trace: trace, rng: rand.New(rand.NewPCG(seed, 7)), accepted: map[string]ledger.Job{}}
	checkedBefore := invariant.CheckCount()
	restore := invariant.SetHandler(func(v invariant.Violation) { r.violate("invariant %s", v.Error()) })
	defer func() { invariant.SetHandler(restore) }()
	ctx, cancel := context.WithCancel(context.Background())
	r.fleet = newFleet(4, seed, log)
	r.wg.Add(1)
	go func() { defer r.wg.Done(); r.fleet.background(ctx) }()
	time.Sleep(3 * time.Second)
	r.injectFaults(length)
	r.clearFaults()
	r.awaitJobs()
	r.checkCleanup()
	s := r.checkResults()
	for _, p := range r.fleet.processes() {
		p.cancel()
	}
	r.fleet.wg.Wait()
	cancel()
	r.wg.Wait()
	s.Checks = int(invariant.CheckCount() - checkedBefore)
	return s
}

func (r *faultRun) violate(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf("%v ", time.Now().UTC())+fmt.Sprintf(format, args...))
}

// injectFaults injects random events for the given time.
func (r *faultRun) injectFaults(length time.Duration) {
	end := time.Now().Add(length)
	for i := 0; time.Now().Before(end); i++ {
		time.Sleep(time.Duration(100+r.rng.IntN(1500)) * time.Millisecond)
		host := fmt.Sprintf("agent-%d", 1+r.rng.IntN(4))
		duration := time.Duration(1+r.rng.IntN(12)) * time.Second
		if r.rng.IntN(6) == 0 {
			duration *= 3
		}
		switch r.rng.IntN(20) {
		case 0:
			r.restart(host, duration, r.rng.IntN(2) == 0)
		case 1, 2:
			r.pauseFor(host, duration)
		case 3:
			r.storeFault(memstore.Faults{Down: true}, duration)
		case 4:
			r.storeFault(memstore.Faults{LoseAnswer: 0.4, Delay: 20 * time.Millisecond}, duration)
		case 5:
			r.netFault(netFaults{dropRequest: 0.3, dropReply: 0.3, maxDelay: 3 * time.Second}, duration)
		case 6:
			r.workerFault(host, standin.WorkerFaults{LoseAnswer: 0.4, RunFactor: 2.5}, duration)
		case 7:
			r.workerFault(host, standin.WorkerFaults{Paused: true}, duration)
		case 8:
			r.workerFault(host, standin.WorkerFaults{FailAll: true}, duration)
		case 9:
			r.gracefulStop(host, duration)
		case 10:
			r.cancelSome()
		case 11:
			r.evict(host)
		default:
			r.submit(i)
		}
	}
}

func (r *faultRun) after(d time.Duration, do func()) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		time.Sleep(d)
		do()
	}()
}

// restart kills a process and starts its next incarnation after delay. If withHost is set, the tasks of its worker are
// lost too.
func (r *faultRun) restart(host string, delay time.Duration, withHost bool) {
	p := r.fleet.process(host)
	if !p.exists() {
		return
	}
	p.kill()
	if withHost {
		r.fleet.workers[host].SetFaults(standin.WorkerFaults{Dead: true})
	}
	r.after(delay, func() {
		<-p.done
		if withHost {
			r.fleet.workers[host].SetFaults(standin.WorkerFaults{})
		}
		p.restartOnce.Do(func() { r.fleet.start(host) })
	})
}

// exists reports whether the process exists, without blocking while it is paused.
func (p *process) exists() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.isDead
}

func (r *faultRun) gracefulStop(host string, delay time.Duration) {
	p := r.fleet.process(host)
	if !p.running() {
		return
	}
	p.cancel()
	r.after(delay, func() {
		<-p.done
		p.kill()
		p.restartOnce.Do(func() { r.fleet.start(host) })
	})
}

func (r *faultRun) pauseFor(host string, d time.Duration) {
	p := r.fleet.process(host)
	p.setPaused(true)
	r.after(d, func() { p.setPaused(false) })
}

func (r *faultRun) storeFault(f memstore.Faults, d time.Duration) {
	r.fleet.store.SetFaults(f)
	r.after(d, func() { r.fleet.store.SetFaults(memstore.Faults{}) })
}

func (r *faultRun) netFault(f netFaults, d time.Duration) {
	set := func(f netFaults) {
		r.fleet.net.mu.Lock()
		defer r.fleet.net.mu.Unlock()
		r.fleet.net.faults = f
	}
	set(f)
	r.after(d, func() { set(netFaults{}) })
}

func (r *faultRun) workerFault(host string, f standin.WorkerFaults, d time.Duration) {
	w := r.fleet.workers[host]
	if w.Faults().Dead {
		return
	}
	w.SetFaults(f)
	r.after(d, func() {
		if !w.Faults().Dead {
			w.SetFaults(standin.WorkerFaults{})
		}
	})
}

// submit submits a new job twice with the same key, through any running process.
func (r *faultRun) submit(i int) {
	job := r.newJob(i)
	r.fleet.observer.mu.Lock()
	r.fleet.observer.nonIdempotent[job.ID] = !job.Idempotent
	r.fleet.observer.mu.Unlock()
	for range 2 {
		r.after(time.Duration(r.rng.IntN(2000))*time.Millisecond, func() { r.submitOnce(job) })
	}
}

func (r *faultRun) newJob(i int) ledger.Job {
	tasks := make([]ledger.Task, 1+r.rng.IntN(4))
	for t := range tasks {
		tasks[t].State = ledger.TaskPending
	}
	part := r.rng.IntN(testPartitions)
	id := fmt.Sprintf("%02x-job%d", part, i)
	cores := float64(1 + r.rng.IntN(3))
	if r.rng.IntN(20) == 0 {
		cores = 10 * testCapacity.Cores // more than any worker has
	}
	return ledger.Job{
		ID: id, Key: id, Branch: "run", Kind: "plan", Idempotent: r.rng.IntN(3) > 0,
		Need: worker.Resources{Cores: cores, MemoryMB: 500}, Run: time.Duration(500+r.rng.IntN(12000)) * time.Millisecond,
		Hold: testTaskHold, Submitted: time.Now(), Tasks: tasks,
	}
}

func partitionOf(id string) int { return int(id[1] - '0') }

func (r *faultRun) submitOnce(job ledger.Job) {
	var reply wire.SubmitReply
	args := wire.SubmitArgs{Partition: partitionOf(job.ID), Job: job}
	if r.call(args.Partition, "Partition.Submit", args, &reply, func() wire.Code { return reply.Code }) && reply.Code == wire.CodeOK {
		r.mu.Lock()
		r.accepted[job.ID] = job
		r.mu.Unlock()
	}
}

func (r *faultRun) call(part int, method string, args, reply any, code func() wire.Code) bool {
	for _, p := range r.fleet.processes() {
		if !p.running() {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		defer cancel()
		dir := partition.NewDirectory(r.fleet.store, processCaller{r.fleet.net, p}, testPartitions)
		return dir.Call(ctx, part, method, args, reply, code) == nil
	}
	return false
}

// cancelSome cancels about one tenth or three tenths of the accepted jobs, at random.
func (r *faultRun) cancelSome() {
	tenths := []int{1, 3}[r.rng.IntN(2)]
	r.mu.Lock()
	ids := []string{}
	for i := range 400 {
		for part := range testPartitions {
			id := fmt.Sprintf("%02x-job%d", part, i)
			if _, ok := r.accepted[id]; ok && r.rng.IntN(10) < tenths {
				ids = append(ids, id)
			}
		}
	}
	r.mu.Unlock()
	for _, id := range ids {
		r.after(0, func() {
			var reply wire.CancelReply
			r.call(partitionOf(id), "Partition.Cancel", wire.CancelArgs{Partition: partitionOf(id), JobID: id}, &reply,
				func() wire.Code { return reply.Code })
		})
	}
}

// evict stops a running task of a host with a checkpoint, as the colocation controller does.
func (r *faultRun) evict(host string) {
	p := r.fleet.process(host)
	if !p.running() {
		return
	}
	list, err := r.fleet.workers[host].List(cancelledContext())
	if err != nil {
		return
	}
	for _, st := range list {
		if st.State == worker.StateRunning {
			r.after(0, func() { _ = p.service.Stop(wire.StopArgs{Ref: st.Ref, Checkpoint: true}, &wire.StopReply{}) })
			return
		}
	}
}

// cancelledContext returns a cancelled context, so that a paused worker does not block the run.
func cancelledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// clearFaults waits for the end of all faults and resumes the paused processes.
func (r *faultRun) clearFaults() {
	time.Sleep(40 * time.Second) // the longest fault lasts 36 s
	r.fleet.store.SetFaults(memstore.Faults{})
	for _, p := range r.fleet.processes() {
		p.setPaused(false)
	}
}

// awaitJobs waits until all accepted jobs have ended.
func (r *faultRun) awaitJobs() {
	end := time.Now().Add(completionTimeout)
	for time.Now().Before(end) {
		time.Sleep(5 * time.Second)
		if r.unfinished() == "" {
			return
		}
	}
	r.violate("not ended in time: %s", r.unfinished())
}

// checkCleanup checks that ended and cancelled tasks leave nothing behind on the workers and in the agents' gates.
func (r *faultRun) checkCleanup() {
	time.Sleep(30 * time.Second)
	for id, w := range r.fleet.workers {
		list, err := w.List(context.Background())
		if err != nil || len(list) > 0 {
			r.violate("worker of %s keeps %v (error %v)", id, list, err)
		}
	}
	for _, p := range r.fleet.processes() {
		if load := p.table.Self().Load; !load.Capacity.Fits(load.Free) || !load.Free.Fits(load.Capacity) {
			r.violate("agent %s has %+v free of %+v although nothing runs", p.id, load.Free, load.Capacity)
		}
	}
}

func (r *faultRun) states() (map[string]*ledger.Job, error) {
	jobs := map[string]*ledger.Job{}
	for part := range testPartitions {
		state, err := partition.LoadState(context.Background(), caslog.New(r.fleet.engine, partition.LogPrefix(part), "check"))
		if err != nil {
			return nil, err
		}
		for id, job := range state.Jobs {
			jobs[id] = job
		}
	}
	return jobs, nil
}

func (r *faultRun) unfinished() string {
	jobs, err := r.states()
	if err != nil {
		return err.Error()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.accepted {
		if job := jobs[id]; job != nil && !job.Finished() && job.Need.Fits(testCapacity) {
			return fmt.Sprintf("%s: %+v", id, job.Tasks)
		}
	}
	return ""
}

func (r *faultRun) checkResults() stats {
	jobs, err := r.states()
	if err != nil {
		r.violate("state: %v", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	obs := r.fleet.observer
	obs.mu.Lock()
	defer obs.mu.Unlock()
	s := stats{Starts: obs.startCount, Jobs: len(r.accepted)}
	for id := range r.accepted {
		job := jobs[id]
		if job == nil {
			r.t.Errorf("seed %d: accepted job %s is lost", r.seed, id)
			continue
		}
		if !job.Need.Fits(testCapacity) {
			s.NeverRun++
		}
		for i, task := range job.Tasks {
			s.Tasks++
			name := ledger.TaskRef(id, i, 0).Task
			s.Evictions += task.Evictions
			s.Resumes += task.Resumes
			if task.State == ledger.TaskUnknown {
				s.Unknown++
			}
			if obs.completionsByTask[name] > 1 {
				s.DoneTwice++
			}
			if task.State == ledger.TaskDone && obs.completionsByTask[name] == 0 {
				r.t.Errorf("seed %d: task %s is recorded as done but no worker finished it", r.seed, name)
			}
			if task.Resumes > task.Evictions {
				r.t.Errorf("seed %d: task %s resumed %d times after %d evictions", r.seed, name, task.Resumes, task.Evictions)
			}
		}
	}
	for _, v := range append(obs.violations, r.violations...) {
		r.t.Errorf("seed %d: %s\n%s", r.seed, v, r.trace.linesAbout(taskPattern.FindString(v)))
	}
	return s
}

// taskPattern matches a job or task name in the text of a violation.
var taskPattern = regexp.MustCompile(`[0-9a-f]{2}-job\d+(/\d+)?`)

// lockedBuffer holds the log of a run.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// linesAbout returns the last log lines that name the task or report an ownership change.
func (b *lockedBuffer) linesAbout(task string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := []string{}
	for line := range strings.Lines(b.buf.String()) {
		if task != "" && ((strings.Contains(line, task+`"`) || strings.Contains(line, `"`+task+`/`)) || strings.Contains(line, `"event":3001`) || strings.Contains(line, `"event":3002`)) {
			out = append(out, line)
		}
	}
	return strings.Join(out[max(0, len(out)-40):], "")
}
