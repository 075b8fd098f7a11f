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

// fault describes a fault that can be injected. It is active until inject returns; several faults overlap.
type fault struct {
	name   string
	weight int
	inject func(ctx context.Context, f *fleet, rnd *rand.Rand)
}

// faults are the failures that the platform's documentation describes, as far as they can be injected from outside the programs.
var faults = []fault{
	{"kill", 4, func(ctx context.Context, f *fleet, rnd *rand.Rand) {
		f.restart(ctx, rnd, pick(rnd, f.procs()), syscall.SIGKILL)
	}},
	{"kill the owner", 3, func(ctx context.Context, f *fleet, rnd *rand.Rand) {
		f.restart(ctx, rnd, f.owner(rnd), syscall.SIGKILL)
	}},
	{"terminate", 3, func(ctx context.Context, f *fleet, rnd *rand.Rand) {
		f.restart(ctx, rnd, pick(rnd, f.procs()), syscall.SIGTERM)
	}},
	{"kill all", 1, func(ctx context.Context, f *fleet, rnd *rand.Rand) {
		for _, p := range f.procs() {
			f.restart(ctx, rand.New(rand.NewPCG(rnd.Uint64(), 1)), p, syscall.SIGKILL)
		}
	}},
	{"pause", 3, func(ctx context.Context, f *fleet, rnd *rand.Rand) { pause(ctx, rnd, pick(rnd, f.procs())) }},
	{"pause the owner", 3, func(ctx context.Context, f *fleet, rnd *rand.Rand) { pause(ctx, rnd, f.owner(rnd)) }},
	{"reload", 1, func(_ context.Context, f *fleet, rnd *rand.Rand) { pick(rnd, f.procs()).signal(syscall.SIGHUP, false) }},
	{"slow link", 2, linkFault(func(rnd *rand.Rand) faultnet.Faults {
		return faultnet.Faults{Delay: 20 * time.Millisecond, Jitter: 80 * time.Millisecond, LossRate: 0.1 * rnd.Float64()}
	})},
	{"link refuses connections", 2, linkFault(func(*rand.Rand) faultnet.Faults { return faultnet.Faults{Refuse: true} })},
	{"link silent for new connections", 2, linkFault(func(*rand.Rand) faultnet.Faults { return faultnet.Faults{Blackhole: true} })},
	{"reset connections", 2, func(_ context.Context, f *fleet, rnd *rand.Rand) { pick(rnd, pick(rnd, f.procs()).relays).Reset() }},
	{"half-open connections", 2, func(_ context.Context, f *fleet, rnd *rand.Rand) { pick(rnd, pick(rnd, f.procs()).relays).HalfOpen() }},
	{"silent connections", 2, func(_ context.Context, f *fleet, rnd *rand.Rand) {
		pick(rnd, pick(rnd, f.procs()).relays).Blackhole(faultnet.ToServer, faultnet.ToClient)
	}},
	{"connections silent in one direction", 2, func(_ context.Context, f *fleet, rnd *rand.Rand) {
		pick(rnd, pick(rnd, f.procs()).relays).Blackhole(pick(rnd, []faultnet.Direction{faultnet.ToServer, faultnet.ToClient}))
	}},
	{"store silent", 2, storeFault(true, standin.StoreFaults{Unresponsive: true})},
	{"store busy", 1, storeFault(true, standin.StoreFaults{Unavailable: true})},
	{"store limited", 1, storeFault(true, standin.StoreFaults{RateLimited: true})},
	{"store slow", 2, storeFault(true, standin.StoreFaults{Delay: 150 * time.Millisecond})},
	{"store loses responses", 3, storeFault(true, standin.StoreFaults{LostResponseRatio: 0.3})},
	{"store applies writes late", 3, storeFault(true, standin.StoreFaults{LostResponseRatio: 0.3, ApplyDelay: 800 * time.Millisecond})},
	{"store busy for some processes", 3, storeFault(false, standin.StoreFaults{Unavailable: true})},
	{"store silent for some processes", 3, storeFault(false, standin.StoreFaults{Unresponsive: true})},
	{"watches without events", 1, storeFault(true, standin.StoreFaults{NoWatchEvents: true})},
	{"leases revoked", 2, func(_ context.Context, f *fleet, _ *rand.Rand) { f.store.RevokeLeases() }},
	{"store history compacted", 2, func(_ context.Context, f *fleet, _ *rand.Rand) { f.store.Compact() }},
	{"worker crashes", 3, func(_ context.Context, f *fleet, rnd *rand.Rand) { pick(rnd, f.workers).Crash() }},
	{"worker silent", 2, workerFault(standin.WorkerFaults{Unresponsive: true})},
	{"commands executed late", 4, workerFault(standin.WorkerFaults{DelayedRatio: 0.5, ExecutionDelay: 1500 * time.Millisecond})},
	{"worker fails all runs", 1, workerFault(standin.WorkerFaults{FailAll: true})},
	{"worker hangs", 2, workerFault(standin.WorkerFaults{Hang: true})},
}

func pick[T any](rnd *rand.Rand, list []T) T { return list[rnd.IntN(len(list))] }

func pickFault(rnd *rand.Rand) fault {
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	n := rnd.IntN(total)
	for _, f := range faults {
		if n -= f.weight; n < 0 {
			return f
		}
	}
	return faults[0]
}

// randomDuration returns a uniformly distributed duration of at least lower and less than upper.
func randomDuration(rnd *rand.Rand, lower, upper time.Duration) time.Duration {
	return lower + time.Duration(rnd.Int64N(int64(upper-lower)))
}

// owner returns the process that the owner key names, or a random host if there is none.
func (f *fleet) owner(rnd *rand.Rand) *proc {
	if name := f.store.OwnerName(); name != "" {
		for _, p := range f.hosts {
			if p.name == name {
				return p
			}
		}
	}
	return pick(rnd, f.hosts)
}

// restart ends the process with the signal and starts it again after a random delay, unless another fault holds it.
func (f *fleet) restart(ctx context.Context, rnd *rand.Rand, p *proc, s syscall.Signal) {
	if !p.faultLock.TryLock() {
		return
	}
	defer p.faultLock.Unlock()
	p.end(s)
	app.Sleep(ctx, randomDuration(rnd, 100*time.Millisecond, 1500*time.Millisecond))
	f.start(p)
}

func pause(ctx context.Context, rnd *rand.Rand, p *proc) {
	if !p.faultLock.TryLock() {
		return
	}
	defer p.faultLock.Unlock()
	p.signal(syscall.SIGSTOP, false)
	app.Sleep(ctx, randomDuration(rnd, 300*time.Millisecond, 4*time.Second))
	p.signal(syscall.SIGCONT, false)
}

func linkFault(draw func(rnd *rand.Rand) faultnet.Faults) func(context.Context, *fleet, *rand.Rand) {
	return func(ctx context.Context, f *fleet, rnd *rand.Rand) {
		relay := pick(rnd, pick(rnd, f.procs()).relays)
		relay.SetFaults(draw(rnd))
		app.Sleep(ctx, randomDuration(rnd, 300*time.Millisecond, 3*time.Second))
		relay.SetFaults(faultnet.Faults{})
	}
}

func storeFault(all bool, s standin.StoreFaults) func(context.Context, *fleet, *rand.Rand) {
	return func(ctx context.Context, f *fleet, rnd *rand.Rand) {
		affected := f.procs()
		if !all {
			rnd.Shuffle(len(affected), func(a, b int) { affected[a], affected[b] = affected[b], affected[a] })
			affected = affected[:1+len(affected)/3]
		}
		for _, p := range affected {
			p.store.SetFaults(s)
		}
		app.Sleep(ctx, randomDuration(rnd, 300*time.Millisecond, 4*time.Second))
		for _, p := range affected {
			p.store.SetFaults(standin.StoreFaults{})
		}
	}
}

func workerFault(w standin.WorkerFaults) func(context.Context, *fleet, *rand.Rand) {
	return func(ctx context.Context, f *fleet, rnd *rand.Rand) {
		worker := pick(rnd, f.workers)
		worker.SetFaults(w)
		app.Sleep(ctx, randomDuration(rnd, 300*time.Millisecond, 4*time.Second))
		worker.SetFaults(standin.WorkerFaults{})
	}
}
