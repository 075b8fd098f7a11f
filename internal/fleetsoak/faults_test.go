package fleetsoak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"bamboofork/internal/app"
	"bamboofork/internal/faultnet"
	"bamboofork/platform/standin"
)

// fault is a type of failure that the soak test injects. inject starts the failure and, for a temporary failure, ends it before
// it returns. Several failures may overlap. A fault is drawn with a probability proportional to its weight.
type fault struct {
	name   string
	weight int
	inject func(ctx context.Context, f *fleet, rng *rand.Rand)
}

// faults holds the failures that the platform's documentation describes and that can be injected from outside the programs.
var faults = []fault{
	{"kill", 4, func(ctx context.Context, f *fleet, rng *rand.Rand) {
		f.restart(ctx, rng, pick(rng, f.procs()), syscall.SIGKILL)
	}},
	{"kill the owner", 3, func(ctx context.Context, f *fleet, rng *rand.Rand) {
		f.restart(ctx, rng, f.ownerProc(rng), syscall.SIGKILL)
	}},
	{"terminate", 3, func(ctx context.Context, f *fleet, rng *rand.Rand) {
		f.restart(ctx, rng, pick(rng, f.procs()), syscall.SIGTERM)
	}},
	{"kill all", 1, func(ctx context.Context, f *fleet, rng *rand.Rand) {
		for _, p := range f.procs() {
			f.restart(ctx, rand.New(rand.NewPCG(rng.Uint64(), 1)), p, syscall.SIGKILL)
		}
	}},
	{"pause", 3, func(ctx context.Context, f *fleet, rng *rand.Rand) { pause(ctx, rng, pick(rng, f.procs())) }},
	{"pause the owner", 3, func(ctx context.Context, f *fleet, rng *rand.Rand) { pause(ctx, rng, f.ownerProc(rng)) }},
	{"reload", 1, func(_ context.Context, f *fleet, rng *rand.Rand) { pick(rng, f.procs()).signal(syscall.SIGHUP, false) }},
	{"slow link", 2, linkFault(func(rng *rand.Rand) faultnet.Faults {
		return faultnet.Faults{Delay: 20 * time.Millisecond, Jitter: 80 * time.Millisecond, LossRate: 0.1 * rng.Float64()}
	})},
	{"link refuses connections", 2, linkFault(func(*rand.Rand) faultnet.Faults { return faultnet.Faults{RefuseNew: true} })},
	{"link blackholes new connections", 2, linkFault(func(*rand.Rand) faultnet.Faults { return faultnet.Faults{BlackholeNew: true} })},
	{"reset connections", 2, func(_ context.Context, f *fleet, rng *rand.Rand) { pick(rng, pick(rng, f.procs()).relays).Reset() }},
	{"half-open connections", 2, func(_ context.Context, f *fleet, rng *rand.Rand) { pick(rng, pick(rng, f.procs()).relays).HalfOpen() }},
	{"connections blackholed", 2, func(_ context.Context, f *fleet, rng *rand.Rand) {
		pick(rng, pick(rng, f.procs()).relays).Blackhole(faultnet.ToServer, faultnet.ToClient)
	}},
	{"connections blackholed in one direction", 2, func(_ context.Context, f *fleet, rng *rand.Rand) {
		pick(rng, pick(rng, f.procs()).relays).Blackhole(pick(rng, []faultnet.Direction{faultnet.ToServer, faultnet.ToClient}))
	}},
	{"store unresponsive", 2, storeFault(true, standin.StoreFaults{Unresponsive: true})},
	{"store unavailable", 1, storeFault(true, standin.StoreFaults{Unavailable: true})},
	{"store rate-limited", 1, storeFault(true, standin.StoreFaults{RateLimited: true})},
	{"store slow", 2, storeFault(true, standin.StoreFaults{Delay: 150 * time.Millisecond})},
	{"store loses responses", 3, storeFault(true, standin.StoreFaults{LostResponseRatio: 0.3})},
	{"store applies writes late", 3, storeFault(true, standin.StoreFaults{LostResponseRatio: 0.3, ApplyDelay: 800 * time.Millisecond})},
	{"store unavailable for some processes", 3, storeFault(false, standin.StoreFaults{Unavailable: true})},
	{"store unresponsive for some processes", 3, storeFault(false, standin.StoreFaults{Unresponsive: true})},
	{"watches without events", 1, storeFault(true, standin.StoreFaults{NoWatchEvents: true})},
	{"leases revoked", 2, func(_ context.Context, f *fleet, _ *rand.Rand) { f.store.RevokeLeases() }},
	{"store history compacted", 2, func(_ context.Context, f *fleet, _ *rand.Rand) { f.store.Compact() }},
	{"worker crashes", 3, func(_ context.Context, f *fleet, rng *rand.Rand) { pick(rng, f.workers).Crash() }},
	{"worker unresponsive", 2, workerFault(standin.WorkerFaults{Unresponsive: true})},
	{"commands executed late", 4, workerFault(standin.WorkerFaults{DelayedRatio: 0.5, ExecutionDelay: 1500 * time.Millisecond})},
	{"worker fails all runs", 1, workerFault(standin.WorkerFaults{FailAllRuns: true})},
	{"worker hangs", 2, workerFault(standin.WorkerFaults{NoProgress: true})},
}

// pick returns a random element of the list.
func pick[T any](rng *rand.Rand, list []T) T { return list[rng.IntN(len(list))] }

// pickFault returns a random fault; the probabilities are proportional to the weights.
func pickFault(rng *rand.Rand) fault {
	totalWeight := 0
	for _, f := range faults {
		totalWeight += f.weight
	}
	remaining := rng.IntN(totalWeight)
	for _, f := range faults {
		if remaining -= f.weight; remaining < 0 {
			return f
		}
	}
	return faults[0]
}

// randomDuration returns a uniformly distributed duration of at least lower and less than upper.
func randomDuration(rng *rand.Rand, lower, upper time.Duration) time.Duration {
	return lower + time.Duration(rng.Int64N(int64(upper-lower)))
}

// ownerProc returns the host process that the owner key names, or a random host process if the key names none.
func (f *fleet) ownerProc(rng *rand.Rand) *proc {
	if name := f.store.OwnerName(); name != "" {
		for _, p := range f.hosts {
			if p.name == name {
				return p
			}
		}
	}
	return pick(rng, f.hosts)
}

// restart ends the program's process with the signal and starts the program again after a random delay. If another fault has
// already stopped or paused the process, restart does nothing.
func (f *fleet) restart(ctx context.Context, rng *rand.Rand, p *proc, s syscall.Signal) {
	if !p.faultLock.TryLock() {
		return
	}
	defer p.faultLock.Unlock()
	p.endProcess(s)
	app.Sleep(ctx, randomDuration(rng, 100*time.Millisecond, 1500*time.Millisecond))
	f.start(p)
}

// reloadDuringShutdown terminates an entry, sends it a reload signal while it shuts down, and starts it again.
func reloadDuringShutdown(ctx context.Context, f *fleet, rng *rand.Rand) {
	entry := pick(rng, f.fronts)
	reload := time.AfterFunc(randomDuration(rng, 0, 2*time.Second), func() { entry.signal(syscall.SIGHUP, true) })
	defer reload.Stop()
	f.restart(ctx, rng, entry, syscall.SIGTERM)
}

// evacuate takes one or all failure domains out of service for a random time.
func evacuate(ctx context.Context, f *fleet, rng *rand.Rand) {
	affected := []string{failureDomain(rng.IntN(len(f.workers)))}
	if rng.IntN(6) == 0 {
		affected = []string{failureDomain(0), failureDomain(1), failureDomain(2)}
	}
	for _, domain := range affected {
		f.store.Evacuate(domain, true)
	}
	app.Sleep(ctx, randomDuration(rng, 0, 3*time.Second))
	for _, domain := range affected {
		f.store.Evacuate(domain, false)
	}
}

// failureDomain returns the failure domain of the worker with the index.
func failureDomain(i int) string { return fmt.Sprint("z", i%3) }

// pause suspends the program's process for a random time. If another fault has already stopped or paused the process, pause does
// nothing.
func pause(ctx context.Context, rng *rand.Rand, p *proc) {
	if !p.faultLock.TryLock() {
		return
	}
	defer p.faultLock.Unlock()
	p.signal(syscall.SIGSTOP, false)
	app.Sleep(ctx, randomDuration(rng, 300*time.Millisecond, 4*time.Second))
	p.signal(syscall.SIGCONT, false)
}

// linkFault returns a fault that affects one random relay for a random time.
func linkFault(randomFaults func(rng *rand.Rand) faultnet.Faults) func(context.Context, *fleet, *rand.Rand) {
	return func(ctx context.Context, f *fleet, rng *rand.Rand) {
		relay := pick(rng, pick(rng, f.procs()).relays)
		relay.SetFaults(randomFaults(rng))
		app.Sleep(ctx, randomDuration(rng, 300*time.Millisecond, 3*time.Second))
		relay.SetFaults(faultnet.Faults{})
	}
}

// storeFault returns a fault of the store for a random time. The fault affects all processes if affectsAll is true, else a random
// third of the processes, rounded down, and one more.
func storeFault(affectsAll bool, storeFaults standin.StoreFaults) func(context.Context, *fleet, *rand.Rand) {
	return func(ctx context.Context, f *fleet, rng *rand.Rand) {
		affected := f.procs()
		if !affectsAll {
			rng.Shuffle(len(affected), func(a, b int) { affected[a], affected[b] = affected[b], affected[a] })
			affected = affected[:1+len(affected)/3]
		}
		for _, p := range affected {
			p.store.SetFaults(storeFaults)
		}
		app.Sleep(ctx, randomDuration(rng, 300*time.Millisecond, 4*time.Second))
		for _, p := range affected {
			p.store.SetFaults(standin.StoreFaults{})
		}
	}
}

// workerFault returns a fault that affects one random worker for a random time.
func workerFault(workerFaults standin.WorkerFaults) func(context.Context, *fleet, *rand.Rand) {
	return func(ctx context.Context, f *fleet, rng *rand.Rand) {
		worker := pick(rng, f.workers)
		worker.SetFaults(workerFaults)
		app.Sleep(ctx, randomDuration(rng, 300*time.Millisecond, 4*time.Second))
		worker.SetFaults(standin.WorkerFaults{})
	}
}
