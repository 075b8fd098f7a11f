package soak

import (
	"context"
	"math/rand/v2"
	"sort"
	"time"

	"bamboofork/internal/app"
	"bamboofork/internal/dev"
	"bamboofork/internal/standin"
	"bamboofork/internal/store/memstore"
)

// fault is a fault that can be injected. Its probability is proportional to its weight. run injects the fault and returns when the
// fault has ended.
type fault struct {
	name   string
	weight int
	run    func(ctx context.Context, r *Run, rng *rand.Rand)
}

var faults = []fault{
	{"agent_killed", 4, func(ctx context.Context, r *Run, rng *rand.Rand) { r.restart(ctx, rng, r.fleet.AgentIDs(), true) }},
	{"agent_stopped", 3, func(ctx context.Context, r *Run, rng *rand.Rand) { r.restart(ctx, rng, r.fleet.AgentIDs(), false) }},
	{"entry_killed", 2, func(ctx context.Context, r *Run, rng *rand.Rand) { r.restart(ctx, rng, r.fleet.EntryIDs(), true) }},
	{"entry_stopped", 2, func(ctx context.Context, r *Run, rng *rand.Rand) { r.restart(ctx, rng, r.fleet.EntryIDs(), false) }},
	{"store_down", 3, storeFault(func(*rand.Rand) memstore.Faults { return memstore.Faults{Down: true} })},
	{"store_slow", 2, storeFault(func(rng *rand.Rand) memstore.Faults {
		return memstore.Faults{Delay: time.Duration(50+rng.IntN(400)) * time.Millisecond}
	})},
	{"store_answers_lost", 4, storeFault(func(rng *rand.Rand) memstore.Faults { return memstore.Faults{LoseAnswer: 0.1 + 0.4*rng.Float64()} })},
	{"watches_cut", 2, func(_ context.Context, r *Run, _ *rand.Rand) { r.fleet.Store.FaultyStore.CutWatches() }},
	{"worker_paused", 2, workerFault(standin.WorkerFaults{Paused: true})},
	{"worker_answers_lost", 3, workerFault(standin.WorkerFaults{LoseAnswer: 0.3})},
	{"worker_fails_everything", 2, workerFault(standin.WorkerFaults{FailAll: true})},
	{"worker_dead", 2, workerFault(standin.WorkerFaults{Dead: true})},
	{"wrong_run_times", 2, workerFault(standin.WorkerFaults{RunFactor: 4, NeedFactor: 1.5})},
}

func pickFault(rng *rand.Rand) fault {
	totalWeight := 0
	for _, f := range faults {
		totalWeight += f.weight
	}
	n := rng.IntN(totalWeight)
	for _, f := range faults {
		if n -= f.weight; n < 0 {
			return f
		}
	}
	return faults[0]
}

// Limits of the random duration of a fault and of the random delay between two faults of one injector.
const (
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	maxFaultDelay    = 1500 * time.Millisecond
)

// randomFaultDuration returns a random duration between minFaultDuration and maxFaultDuration.
func randomFaultDuration(rng *rand.Rand) time.Duration {
	return minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
}

// injectFaults injects one fault after another until ctx is done. stream is the stream number of its random generator. Several calls
// run concurrently, so that faults overlap.
func (r *Run) injectFaults(ctx context.Context, stream uint64) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, stream))
	for ctx.Err() == nil {
		app.Sleep(ctx, time.Duration(rng.Int64N(int64(maxFaultDelay))))
		f := pickFault(rng)
		r.countEvent("fault " + f.name)
		f.run(ctx, r, rng)
	}
}

// storeFault returns the run function of a fault of the store. draw returns the fault settings.
func storeFault(draw func(*rand.Rand) memstore.Faults) func(context.Context, *Run, *rand.Rand) {
	return func(ctx context.Context, r *Run, rng *rand.Rand) {
		if !r.storeFaultMu.TryLock() {
			return // another injector's store fault is active
		}
		defer r.storeFaultMu.Unlock()
		r.fleet.Store.FaultyStore.SetFaults(draw(rng))
		app.Sleep(ctx, randomFaultDuration(rng))
		r.fleet.Store.FaultyStore.SetFaults(memstore.Faults{})
	}
}

// workerFault returns the run function of a fault of a random worker.
func workerFault(f standin.WorkerFaults) func(context.Context, *Run, *rand.Rand) {
	return func(ctx context.Context, r *Run, rng *rand.Rand) {
		ids := r.fleet.AgentIDs()
		sort.Strings(ids)
		id := ids[rng.IntN(len(ids))]
		w := r.fleet.Worker(id)
		w.SetFaults(f)
		app.Sleep(ctx, randomFaultDuration(rng))
		w.SetFaults(standin.WorkerFaults{})
	}
}

// restart ends a random process among ids and starts a new process on the same host. It does nothing while another process of
// the same role is down, so that callers can always reach an entry.
func (r *Run) restart(ctx context.Context, rng *rand.Rand, ids []string, isKill bool) {
	sort.Strings(ids)
	id := ids[rng.IntN(len(ids))]
	roleMu := &r.restartMu[0]
	if r.fleet.IsEntry(id) {
		roleMu = &r.restartMu[1]
	}
	if !roleMu.TryLock() {
		return
	}
	defer roleMu.Unlock()
	endKind := dev.EndGracefully
	if isKill {
		endKind = dev.EndByAbort
	}
	if err := r.fleet.EndProcess(id, endKind); err != nil {
		r.recordFailure("stop of %s: %v", id, err)
	}
	app.Sleep(ctx, randomFaultDuration(rng)/2)
	if err := r.fleet.StartProcess(id); err != nil {
		r.recordFailure("restart of %s: %v", id, err)
	}
}
