package dev

import (
	"context"
	"math/rand/v2"
	"time"

	"bamboofork/internal/faultnet"
	"bamboofork/internal/store/memstore"
)

// faultDuration is the duration of a temporary fault of a link or of the store.
const faultDuration = 400 * time.Millisecond

// fault is a kind of injected failure. It is chosen with a probability proportional to its weight.
type fault struct {
	name   string
	weight int
	inject func(k *KeyedRun, rng *rand.Rand)
}

var keyedFaults = []fault{
	{"data links reset", 6, func(k *KeyedRun, rng *rand.Rand) { k.randomAgent(rng).Relays.Data.Reset() }},
	{"control links reset", 4, func(k *KeyedRun, rng *rand.Rand) { k.randomAgent(rng).Relays.Control.Reset() }},
	{"data links blackholed", 3, func(k *KeyedRun, rng *rand.Rand) {
		k.randomAgent(rng).Relays.Data.Blackhole(faultnet.ToServer, faultnet.ToClient)
	}},
	{"responses blackholed", 3, func(k *KeyedRun, rng *rand.Rand) { k.randomAgent(rng).Relays.Data.Blackhole(faultnet.ToClient) }},
	{"requests blackholed", 3, func(k *KeyedRun, rng *rand.Rand) { k.randomAgent(rng).Relays.Data.Blackhole(faultnet.ToServer) }},
	{"control links blackholed", 2, func(k *KeyedRun, rng *rand.Rand) {
		k.randomAgent(rng).Relays.Control.Blackhole(faultnet.ToServer, faultnet.ToClient)
	}},
	{"data links half open", 2, func(k *KeyedRun, rng *rand.Rand) { k.randomAgent(rng).Relays.Data.HalfOpen() }},
	{"data connections refused", 3, func(k *KeyedRun, rng *rand.Rand) {
		k.setLinkFaults(k.randomAgent(rng).Relays.Data, faultnet.Faults{Refuse: true})
	}},
	{"links slow and lossy", 3, func(k *KeyedRun, rng *rand.Rand) {
		for _, l := range k.randomAgent(rng).Relays.All() {
			k.setLinkFaults(l, faultnet.Faults{Delay: 4 * time.Millisecond, Jitter: 4 * time.Millisecond, LossRate: 0.05})
		}
	}},
	{"store responses lost", 3, func(k *KeyedRun, rng *rand.Rand) { k.setStoreFaults(memstore.Faults{LoseAnswer: 0.3}) }},
	{"store down", 1, func(k *KeyedRun, rng *rand.Rand) { k.setStoreFaults(memstore.Faults{Down: true}) }},
	{"agent killed", 1, func(k *KeyedRun, rng *rand.Rand) { k.restart(k.randomAgent(rng), true) }},
	{"partition owner killed", 1, func(k *KeyedRun, rng *rand.Rand) { k.restart(k.randomOwner(rng), true) }},
	{"entry killed", 1, func(k *KeyedRun, rng *rand.Rand) {
		k.restart(k.Fleet.Entry(rng.IntN(k.Fleet.Profile.Entries)), false)
	}},
}

// injectFaults injects random faults until ctx is done.
func (k *KeyedRun) injectFaults(ctx context.Context) {
	if k.FaultInterval == 0 {
		return
	}
	rng := rand.New(rand.NewPCG(k.Seed, 1<<32))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(k.FaultInterval/2 + time.Duration(rng.Int64N(int64(k.FaultInterval)))):
		}
		f := pickFault(rng)
		f.inject(k, rng)
		k.mu.Lock()
		k.report.Faults[f.name]++
		k.mu.Unlock()
	}
}

func pickFault(rng *rand.Rand) fault {
	total := 0
	for _, f := range keyedFaults {
		total += f.weight
	}
	n := rng.IntN(total)
	for _, f := range keyedFaults {
		if n < f.weight {
			return f
		}
		n -= f.weight
	}
	return keyedFaults[0]
}

func (k *KeyedRun) randomAgent(rng *rand.Rand) *Host {
	return k.Fleet.Agent(rng.IntN(k.Fleet.Profile.Agents))
}

// randomOwner returns a random agent that owns a partition, or any agent if none owns one.
func (k *KeyedRun) randomOwner(rng *rand.Rand) *Host {
	first := rng.IntN(k.Fleet.Profile.Agents)
	for i := range k.Fleet.Profile.Agents {
		h := k.Fleet.Agent((first + i) % k.Fleet.Profile.Agents)
		if len(h.Node.OwnedPartitions()) > 0 {
			return h
		}
	}
	return k.Fleet.Agent(first)
}

// setLinkFaults applies the faults to a link for faultDuration.
func (k *KeyedRun) setLinkFaults(r *faultnet.Relay, f faultnet.Faults) {
	r.SetFaults(f)
	time.AfterFunc(faultDuration, func() { r.SetFaults(faultnet.Faults{}) })
}

// setStoreFaults applies the faults to the store for faultDuration.
func (k *KeyedRun) setStoreFaults(f memstore.Faults) {
	k.Fleet.Store.Faulty.SetFaults(f)
	time.AfterFunc(faultDuration, func() { k.Fleet.Store.Faulty.SetFaults(memstore.Faults{}) })
}

// restart kills a process and starts it again. A failed start is counted in the report, and requests to this process then get
// no response.
func (k *KeyedRun) restart(h *Host, agent bool) {
	if err := k.Fleet.Restart(h, agent); err != nil {
		k.mu.Lock()
		k.report.Faults["restart failed: "+err.Error()]++
		k.mu.Unlock()
	}
}
