package dev

import (
	"context"
	"math/rand/v2"
	"time"

	"bamboofork/internal/faultnet"
	"bamboofork/internal/store/memstore"
)

// faultDuration is the duration of a fault that setLinkFaults or setStoreFaults applies.
const faultDuration = 400 * time.Millisecond

// fault is a fault that can be injected. Its probability is proportional to its weight.
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
		k.setLinkFaults(k.randomAgent(rng).Relays.Data, faultnet.Faults{RefuseNew: true})
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
	totalWeight := 0
	for _, f := range keyedFaults {
		totalWeight += f.weight
	}
	n := rng.IntN(totalWeight)
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

// randomOwner returns a random agent that owns a partition. If no agent owns a partition, it returns a random agent.
func (k *KeyedRun) randomOwner(rng *rand.Rand) *Host {
	firstIndex := rng.IntN(k.Fleet.Profile.Agents)
	for i := range k.Fleet.Profile.Agents {
		h := k.Fleet.Agent((firstIndex + i) % k.Fleet.Profile.Agents)
		if len(h.Node.OwnedPartitions()) > 0 {
			return h
		}
	}
	return k.Fleet.Agent(firstIndex)
}

// setLinkFaults applies the faults to a relay for faultDuration.
func (k *KeyedRun) setLinkFaults(r *faultnet.Relay, f faultnet.Faults) {
	r.SetFaults(f)
	time.AfterFunc(faultDuration, func() { r.SetFaults(faultnet.Faults{}) })
}

// setStoreFaults applies the faults to the store for faultDuration.
func (k *KeyedRun) setStoreFaults(f memstore.Faults) {
	k.Fleet.Store.FaultyStore.SetFaults(f)
	time.AfterFunc(faultDuration, func() { k.Fleet.Store.FaultyStore.SetFaults(memstore.Faults{}) })
}

// restart kills the process on a host and starts a new process. A failed start is counted in the report; the host then stays
// without a process, and requests to it get no response.
func (k *KeyedRun) restart(h *Host, isAgent bool) {
	if err := k.Fleet.KillAndRestart(h, isAgent); err != nil {
		k.mu.Lock()
		k.report.Faults["restart failed: "+err.Error()]++
		k.mu.Unlock()
	}
}
