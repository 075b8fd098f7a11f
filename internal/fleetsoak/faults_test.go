package fleetsoak_test

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"bamboofork/internal/app"
	"bamboofork/internal/faultnet"
	"bamboofork/platform/standin"
)

// fault is a kind of failure that the soak injects. A temporary failure lasts until inject returns; several may overlap.
type fault struct {
	name   string
	weight int
	inject func(ctx context.Context, f *fleet, rng *rand.Rand)
}

// faults are the failures that the platform's documentation describes, as far as they can be injected from outside the programs.
var faults = []fault{
	{"kill", 4, func(ctx context.Context, f *fleet, rng *rand.Rand) {
		f.restart(ctx, rng, pick(rng, f.procs()), syscall.SIGKILL)
	}},
	{"kill the owner", 3, func(ctx context.Context, f *fleet, rng *rand.Rand) {
		f.restart(ctx, rng, f.owner(rng), syscall.SIGKILL)
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
	{"pause the owner", 3, func(ctx context.Context, f *fleet, rng *rand.Rand) { pause(ctx, rng, f.owner(rng)) }},
	{"reload", 1, func(_ context.Context, f *fleet, rng *rand.Rand) { pick(rng, f.procs()).signal(syscall.SIGHUP, false) }},
	{"slow link", 2, linkFault(func(rng *rand.Rand) faultnet.Faults {
		return faultnet.Faults{Delay: 20 * time.Millisecond, Jitter: 80 * time.Millisecond, LossRate: 0.1 * rng.Float64()}
	})},
	{"link refuses connections", 2, linkFault(func(*rand.Rand) faultnet.Faults { return faultnet.Faults{Refuse: true} })},
	{"link blackholes new connections", 2, linkFault(func(*rand.Rand) faultnet.Faults { return faultnet.Faults{Blackhole: true} })},
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
	{"worker fails all runs", 1, workerFault(standin.WorkerFaults{FailAll: true})},
	{"worker hangs", 2, workerFault(standin.WorkerFaults{Hang: true})},
}

func pick[T any](rng *rand.Rand, list []T) T { return list[rng.IntN(len(list))] }

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

// randomDuration returns a uniformly distributed duration of at least lower and less than upper.
func randomDuration(rng *rand.Rand, lower, upper time.Duration) time.Duration {
	return lower + time.Duration(rng.Int64N(int64(upper-lower)))
}

// owner returns the process that the owner key names, or a random host if there is none.
func (f *fleet) owner(rng *rand.Rand) *proc {
	if name := f.store.OwnerName(); name != "" {
		for _, p := range f.hosts {
			if p.name == name {
				return p
			}
		}
	}
	return pick(rng, f.hosts)
}

// restart ends the process with the signal and starts it again after a random delay. It does nothing if another fault already
// stops or pauses the process.
func (f *fleet) restart(ctx context.Context, rng *rand.Rand, p *proc, s syscall.Signal) {
	if !p.faultLock.TryLock() {
		return
	}
	defer p.faultLock.Unlock()
	p.end(s)
	app.Sleep(ctx, randomDuration(rng, 100*time.Millisecond, 1500*time.Millisecond))
	f.start(p)
}

func pause(ctx context.Context, rng *rand.Rand, p *proc) {
	if !p.faultLock.TryLock() {
		return
	}
	defer p.faultLock.Unlock()
	p.signal(syscall.SIGSTOP, false)
	app.Sleep(ctx, randomDuration(rng, 300*time.Millisecond, 4*time.Second))
	p.signal(syscall.SIGCONT, false)
}

func linkFault(randomFaults func(rng *rand.Rand) faultnet.Faults) func(context.Context, *fleet, *rand.Rand) {
	return func(ctx context.Context, f *fleet, rng *rand.Rand) {
		relay := pick(rng, pick(rng, f.procs()).relays)
		relay.SetFaults(randomFaults(rng))
		app.Sleep(ctx, randomDuration(rng, 300*time.Millisecond, 3*time.Second))
		relay.SetFaults(faultnet.Faults{})
	}
}

func storeFault(all bool, s standin.StoreFaults) func(context.Context, *fleet, *rand.Rand) {
	return func(ctx context.Context, f *fleet, rng *rand.Rand) {
		affected := f.procs()
		if !all {
			rng.Shuffle(len(affected), func(a, b int) { affected[a], affected[b] = affected[b], affected[a] })
			affected = affected[:1+len(affected)/3]
		}
		for _, p := range affected {
			p.store.SetFaults(s)
		}
		app.Sleep(ctx, randomDuration(rng, 300*time.Millisecond, 4*time.Second))
		for _, p := range affected {
			p.store.SetFaults(standin.StoreFaults{})
		}
	}
}

func workerFault(w standin.WorkerFaults) func(context.Context, *fleet, *rand.Rand) {
	return func(ctx context.Context, f *fleet, rng *rand.Rand) {
		worker := pick(rng, f.workers)
		worker.SetFaults(w)
		app.Sleep(ctx, randomDuration(rng, 300*time.Millisecond, 4*time.Second))
		worker.SetFaults(standin.WorkerFaults{})
	}
}
