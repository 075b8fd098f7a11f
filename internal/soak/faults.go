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

// fault describes a fault that can be injected. run injects it and returns after the recovery.
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
	{"watches_cut", 2, func(_ context.Context, r *Run, _ *rand.Rand) { r.fleet.Store.Faulty.CutWatches() }},
	{"worker_paused", 2, workerFault(standin.WorkerFaults{Paused: true})},
	{"worker_answers_lost", 3, workerFault(standin.WorkerFaults{LoseAnswer: 0.3})},
	{"worker_fails_everything", 2, workerFault(standin.WorkerFaults{FailAll: true})},
	{"worker_dead", 2, workerFault(standin.WorkerFaults{Dead: true})},
	{"wrong_run_times", 2, workerFault(standin.WorkerFaults{RunFactor: 4, NeedFactor: 1.5})},
}

func pickFault(rng *rand.Rand) fault {
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	n := rng.IntN(total)
	for _, f := range faults {
		if n -= f.weight; n < 0 {
			return f
		}
	}
	return faults[0]
}

// Durations of a fault and of the pause before the next one.
const (
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	maxFaultPause    = 1500 * time.Millisecond
)

// faultDuration returns a random duration between minFaultDuration and maxFaultDuration.
func faultDuration(rng *rand.Rand) time.Duration {
	return minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
}

// injectFaults injects one fault after another until ctx is done. Several injectors run concurrently, so that faults overlap.
func (r *Run) injectFaults(ctx context.Context, stream uint64) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, stream))
	for ctx.Err() == nil {
		app.Sleep(ctx, time.Duration(rng.Int64N(int64(maxFaultPause))))
		f := pickFault(rng)
		r.count("fault " + f.name)
		f.run(ctx, r, rng)
	}
}

func storeFault(draw func(*rand.Rand) memstore.Faults) func(context.Context, *Run, *rand.Rand) {
	return func(ctx context.Context, r *Run, rng *rand.Rand) {
		if !r.storeFault.TryLock() {
			return // another injector's store fault is active
		}
		defer r.storeFault.Unlock()
		r.fleet.Store.Faulty.SetFaults(draw(rng))
		app.Sleep(ctx, faultDuration(rng))
		r.fleet.Store.Faulty.SetFaults(memstore.Faults{})
	}
}

func workerFault(f standin.WorkerFaults) func(context.Context, *Run, *rand.Rand) {
	return func(ctx context.Context, r *Run, rng *rand.Rand) {
		ids := r.fleet.AgentIDs()
		sort.Strings(ids)
		id := ids[rng.IntN(len(ids))]
		w := r.fleet.Worker(id)
		w.SetFaults(f)
		app.Sleep(ctx, faultDuration(rng))
		w.SetFaults(standin.WorkerFaults{})
	}
}

// restart ends one process and starts it again. At most one process of each role is down at a time, so that callers always
// reach an entry.
func (r *Run) restart(ctx context.Context, rng *rand.Rand, ids []string, kill bool) {
	sort.Strings(ids)
	id := ids[rng.IntN(len(ids))]
	lock := &r.restarting[0]
	if r.fleet.IsEntry(id) {
		lock = &r.restarting[1]
	}
	if !lock.TryLock() {
		return
	}
	defer lock.Unlock()
	end := dev.EndGracefully
	if kill {
		end = dev.EndByAbort
	}
	if err := r.fleet.End(id, end); err != nil {
		r.fail("stop of %s: %v", id, err)
	}
	app.Sleep(ctx, faultDuration(rng)/2)
	if err := r.fleet.StartProcess(id); err != nil {
		r.fail("restart of %s: %v", id, err)
	}
}
