package deployed

import (
	"time"

	"bamboofork/internal/network/memnet"
	"bamboofork/platform/standin"
)

// injectFaults schedules bursts of faults until the time.
func (f *virtualFleet) injectFaults(until time.Time) {
	f.faultsEnd = until
	for at := time.Now().Add(f.between(1500*time.Millisecond, 3*time.Second)); at.Before(until); at = at.Add(f.between(300*time.Millisecond, 4*time.Second)) {
		for range 2 + f.rng.IntN(4) {
			f.strikeAfter(time.Until(at)+f.between(0, 1200*time.Millisecond), f.randomFault())
		}
	}
}

// randomFault returns a random fault. It strikes when the function is called, and schedules its own end.
func (f *virtualFleet) randomFault() func() {
	choices := []weightedFault{
		{12, func() { f.killAndRestart(f.owner()) }},
		{4, func() { f.killAndRestart(f.anyHost()) }},
		{4, func() { f.killAndRestart(f.anyEntry()) }},
		{3, f.killAllAfterAck},
		{5, func() { f.stopAndRestart(f.owner()) }},
		{3, func() { f.stopAndRestart(f.anyHost()) }},
		{3, func() { f.stopAndRestart(f.anyEntry()) }},
		{1, f.stopAll},
		{12, f.disturbStoreOfOne},
		{6, f.disturbStoreOfAll},
		{2, func() { f.note("revoke leases"); f.store.RevokeLeases() }},
		{1, func() { f.note("compact the history"); f.store.Compact() }},
		{12, f.cutLinks},
		{5, f.resetLinks},
		{4, func() { m := f.anyHost(); f.note("crash worker of %s", m.cfg.Name); m.worker.Crash() }},
		{8, f.disturbWorker},
		{3, f.workerLeaves},
		{8, f.stormOnOwnersStore},
		{6, f.divide},
		{8, f.endOwnerAsStoreAnswers},
		{8, f.changeOwners},
		{4, f.restartAgentsBesideOwner},
		{2, f.changeManifest},
		{4, f.stopEntryWithoutOwner},
		{4, f.replaceOwnerSlowly},
	}
	return f.randomFaultOf(choices)
}

func (f *virtualFleet) killAndRestart(m *virtualMachine) {
	f.kill(m, f.chance(0.3))
	f.after(f.between(100*time.Millisecond, 3*time.Second), func() { f.restart(m) })
}

func (f *virtualFleet) stopAndRestart(m *virtualMachine) {
	f.stop(m)
	f.after(f.between(100*time.Millisecond, 3*time.Second), func() { f.restart(m) })
}

// killAllAfterAck kills all processes right after a submission was acknowledged.
func (f *virtualFleet) killAllAfterAck() {
	select {
	case <-f.acked:
	default:
	}
	select {
	case <-f.acked:
	case <-time.After(400 * time.Millisecond):
	}
	for _, m := range f.machines() {
		f.killAndRestart(m)
	}
}

// stopAll stops all processes gracefully.
func (f *virtualFleet) stopAll() {
	for _, m := range f.machines() {
		f.stopAndRestart(m)
	}
}

// endAndRestart kills or stops the process of a machine.
func (f *virtualFleet) endAndRestart(m *virtualMachine) {
	if f.chance(0.5) {
		f.killAndRestart(m)
	} else {
		f.stopAndRestart(m)
	}
}

// endOwnerAsStoreAnswers ends the owner about when its store answers it again.
func (f *virtualFleet) endOwnerAsStoreAnswers() {
	m, length := f.owner(), f.between(100*time.Millisecond, 3*time.Second)
	faults := []standin.StoreFaults{{Unresponsive: true}, {Unavailable: true}, {RateLimited: true}, {LostResponseRatio: 1},
		{LostResponseRatio: 1, ApplyDelay: f.between(50*time.Millisecond, length+time.Second)}}[f.rng.IntN(5)]
	f.note("store of %s for %s: %+v", m.cfg.Name, length, faults)
	m.endpoint.SetFaults(faults)
	f.after(length, func() { f.note("store of %s is well", m.cfg.Name); m.endpoint.SetFaults(standin.StoreFaults{}) })
	f.after(length+f.between(-30*time.Millisecond, 150*time.Millisecond), func() { f.endAndRestart(m) })
}

// changeOwners ends several owners in turn.
func (f *virtualFleet) changeOwners() {
	for at := time.Duration(0); f.chance(0.75); at += f.between(50*time.Millisecond, 1500*time.Millisecond) {
		f.strikeAfter(at, func() { f.endAndRestart(f.owner()) })
	}
}

// restartAgentsBesideOwner ends the owner and other agents within a short time. The processes start again soon.
func (f *virtualFleet) restartAgentsBesideOwner() {
	machines := []*virtualMachine{f.owner()}
	for range 1 + f.rng.IntN(3) {
		machines = append(machines, f.anyHost())
	}
	for _, m := range machines {
		f.after(f.between(0, 600*time.Millisecond), func() {
			f.endAndRestart(m)
			f.after(f.between(10*time.Millisecond, 300*time.Millisecond), func() { f.restart(m) })
		})
	}
}

// replaceOwnerSlowly removes the owner's key while the stores of the other hosts are slow. The owner may write records and snapshots
// while its successor reads the log. With a good chance the fleet is divided meanwhile.
func (f *virtualFleet) replaceOwnerSlowly() {
	owner, length := f.owner(), f.between(time.Second, 4*time.Second)
	for _, m := range f.hosts {
		if m != owner {
			m.endpoint.SetFaults(standin.StoreFaults{Delay: f.between(30*time.Millisecond, 300*time.Millisecond)})
		}
	}
	f.after(length, func() {
		for _, m := range f.hosts {
			m.endpoint.SetFaults(standin.StoreFaults{})
		}
	})
	f.note("stores of all but %s are slow for %s; revoke leases", owner.cfg.Name, length)
	for range 1 + f.rng.IntN(2) {
		f.strikeAfter(f.between(0, 600*time.Millisecond), f.store.RevokeLeases)
	}
	if f.chance(0.7) {
		f.divide()
	}
}

// stopEntryWithoutOwner ends the owner while no process can take over, and stops an entry meanwhile or soon before.
func (f *virtualFleet) stopEntryWithoutOwner() {
	f.stopAndRestart(f.anyEntry())
	f.strikeAfter(f.between(0, 3*time.Second), func() {
		f.endAndRestart(f.owner())
		f.setStoreOfAll(standin.StoreFaults{Unavailable: true}, f.between(500*time.Millisecond, 5*time.Second))
	})
}

// changeManifest writes newer versions of the manifest, and with a good chance stops the owner or an entry meanwhile.
func (f *virtualFleet) changeManifest() {
	for range 1 + f.rng.IntN(4) {
		f.strikeAfter(f.between(0, time.Second), func() {
			f.manifestVersion += 1 + f.rng.Int64N(5)
			f.note("manifest %d", f.manifestVersion)
			f.store.PutManifestVersion(f.manifestVersion)
		})
	}
	if f.chance(0.7) {
		m := f.anyEntry()
		if f.chance(0.5) {
			m = f.owner()
		}
		f.strikeAfter(f.between(0, time.Second), func() { f.stopAndRestart(m) })
	}
}

func (f *virtualFleet) randomStoreFaults() standin.StoreFaults {
	switch f.rng.IntN(8) {
	case 0:
		return standin.StoreFaults{Unresponsive: true}
	case 1:
		return standin.StoreFaults{Unavailable: true}
	case 2:
		return standin.StoreFaults{RateLimited: true}
	case 3:
		return standin.StoreFaults{Delay: f.between(20*time.Millisecond, []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond}[f.rng.IntN(2)])}
	case 4:
		return standin.StoreFaults{LostResponseRatio: 0.2 + 0.6*f.rng.Float64()}
	case 5:
		return standin.StoreFaults{LostResponseRatio: 0.2 + 0.8*f.rng.Float64(), ApplyDelay: f.between(50*time.Millisecond, 4*time.Second)}
	case 6:
		return standin.StoreFaults{UnavailableRatio: 0.2 + 0.7*f.rng.Float64()}
	}
	return standin.StoreFaults{NoWatchEvents: true}
}

func (f *virtualFleet) disturbStoreOfOne() {
	m, faults := f.anyMachine(), f.randomStoreFaults()
	f.note("store of %s: %+v", m.cfg.Name, faults)
	m.endpoint.SetFaults(faults)
	f.after(f.between(200*time.Millisecond, 4*time.Second), func() { f.note("store of %s is well", m.cfg.Name); m.endpoint.SetFaults(standin.StoreFaults{}) })
}

func (f *virtualFleet) disturbStoreOfAll() {
	f.setStoreOfAll(f.randomStoreFaults(), f.between(200*time.Millisecond, 3*time.Second))
}

// setStoreOfAll disturbs the store of all machines for a time.
func (f *virtualFleet) setStoreOfAll(faults standin.StoreFaults, length time.Duration) {
	f.note("store of all: %+v", faults)
	for _, m := range f.machines() {
		m.endpoint.SetFaults(faults)
	}
	f.after(length, func() {
		f.note("store of all is well")
		for _, m := range f.machines() {
			m.endpoint.SetFaults(standin.StoreFaults{})
		}
	})
}

// cutLinks cuts or delays links of one machine: to the store, to one other machine or to all others, in one or both directions.
func (f *virtualFleet) cutLinks() {
	m := f.anyMachine()
	faults := memnet.LinkFaults{Cut: true}
	if f.chance(0.2) {
		faults = memnet.LinkFaults{Delay: f.between(20*time.Millisecond, 700*time.Millisecond)}
	}
	var others []string
	what := ""
	switch f.rng.IntN(4) {
	case 0:
		others, what = []string{m.storeIP}, "the store"
	case 1:
		other := f.machines()[f.rng.IntN(virtualHosts+virtualEntries)]
		others, what = []string{other.ip}, other.cfg.Name
	case 2:
		for _, other := range f.machines() {
			others = append(others, other.ip)
		}
		what = "all machines"
	case 3:
		for _, other := range f.machines() {
			others = append(others, other.ip)
		}
		others, what = append(others, m.storeIP, "10.0.3.1"), "everything"
	}
	directions := 1 + f.rng.IntN(3) // bits: outgoing, incoming
	f.note("link of %s to %s, directions %d: %+v", m.cfg.Name, what, directions, faults)
	set := func(faults memnet.LinkFaults) {
		for _, ip := range others {
			if ip == m.ip {
				continue
			}
			if directions&1 != 0 {
				f.network.SetLink(m.ip, ip, faults)
			}
			if directions&2 != 0 {
				f.network.SetLink(ip, m.ip, faults)
			}
		}
	}
	set(faults)
	length := f.between(200*time.Millisecond, 5*time.Second)
	if what == "everything" {
		f.disturb(m, length+time.Second)
	}
	f.after(length, func() { f.note("link of %s to %s is well", m.cfg.Name, what); set(memnet.LinkFaults{}) })
}

func (f *virtualFleet) resetLinks() {
	m, other := f.anyMachine(), f.anyMachine()
	toAll := f.chance(0.5)
	f.disturb(m, 0)
	f.note("reset connections of %s with %s, with all: %t", m.cfg.Name, other.cfg.Name, toAll)
	f.network.ResetConns(func(a, b string) bool { return a == m.ip && (toAll || b == other.ip) && b != m.ip })
}

func (f *virtualFleet) disturbWorker() {
	m := f.anyHost()
	faults := standin.WorkerFaults{DelayedRatio: 0.2 + 0.6*f.rng.Float64(), ExecutionDelay: f.between(50*time.Millisecond, 3*time.Second)}
	if f.chance(0.3) {
		faults = standin.WorkerFaults{Unresponsive: true}
	}
	f.note("worker of %s: %+v", m.cfg.Name, faults)
	m.worker.SetFaults(faults)
	f.after(f.between(300*time.Millisecond, 4*time.Second), func() { f.note("worker of %s is well", m.cfg.Name); m.worker.SetFaults(standin.WorkerFaults{}) })
}

// stormOnOwnersStore disturbs the owner's store several times in succession and, with a good chance, kills the owner meanwhile. The
// store of another host may be slow at the same time, so that a successor takes long to read the log.
func (f *virtualFleet) stormOnOwnersStore() {
	m, at := f.owner(), time.Duration(0)
	f.note("storm on the store of %s", m.cfg.Name)
	for range 2 + f.rng.IntN(4) {
		faults := f.randomStoreFaults()
		f.strikeAfter(at, func() { f.note("store of %s: %+v", m.cfg.Name, faults); m.endpoint.SetFaults(faults) })
		at += f.between(20*time.Millisecond, 1400*time.Millisecond)
	}
	f.after(at, func() { f.note("store of %s is well", m.cfg.Name); m.endpoint.SetFaults(standin.StoreFaults{}) })
	if f.chance(0.5) {
		f.strikeAfter(f.between(0, at+300*time.Millisecond), func() { f.killAndRestart(m) })
	}
	for _, other := range f.hosts {
		if other != m && f.chance(0.5) {
			other.endpoint.SetFaults(standin.StoreFaults{Delay: f.between(10*time.Millisecond, 400*time.Millisecond)})
			f.after(at+f.between(0, 2*time.Second), func() { other.endpoint.SetFaults(standin.StoreFaults{}) })
		}
	}
}

// divide cuts the links between two groups of machines, each of which reaches the store. Jobs may be handed in on one side only. The
// owner's key may be removed, so that the side without the owner elects another one.
func (f *virtualFleet) divide() {
	var sides [2][]*virtualMachine
	for _, m := range f.machines() {
		side := f.rng.IntN(2)
		sides[side] = append(sides[side], m)
	}
	oneWay := f.chance(0.3)
	set := func(faults memnet.LinkFaults) {
		for _, a := range sides[0] {
			for _, b := range sides[1] {
				f.network.SetLink(a.ip, b.ip, faults)
				if !oneWay {
					f.network.SetLink(b.ip, a.ip, faults)
				}
			}
		}
	}
	var names []string
	for _, m := range sides[0] {
		names = append(names, m.cfg.Name)
	}
	f.note("divide %v from the others, one way: %t", names, oneWay)
	set(memnet.LinkFaults{Cut: true})
	length := f.between(500*time.Millisecond, 7*time.Second)
	f.after(length, func() { f.note("no longer divided"); set(memnet.LinkFaults{}) })
	if f.chance(0.6) {
		f.strikeAfter(f.between(0, 1500*time.Millisecond), func() { f.note("revoke leases"); f.store.RevokeLeases() })
	}
	if f.chance(0.3) {
		f.stormOnOwnersStore()
	}
	if f.chance(0.6) {
		entry := f.anyEntry()
		f.after(f.between(0, 1500*time.Millisecond), func() { f.note("jobs are handed in at %s only", entry.cfg.Name); f.onlySubmitAt.Store(entry) })
		f.after(length, func() { f.onlySubmitAt.Store(nil) })
	}
}

// workerLeaves makes a worker leave for good, with or without notice. Its agent leaves with it or soon after.
func (f *virtualFleet) workerLeaves() {
	remaining := 0
	for _, m := range f.hosts {
		if !m.left {
			remaining++
		}
	}
	m := f.anyHost()
	if m.left || remaining <= minVirtualWorkers {
		return
	}
	m.left = true
	leave := func(withNotice bool) {
		f.note("worker of %s leaves", m.cfg.Name)
		f.endWorker(m)
		if withNotice {
			f.wg.Go(func() { m.worker.Unregister(f.client, m.cfg.Listen.Registrations) })
		}
		f.after(f.between(0, 1500*time.Millisecond), func() {
			if f.chance(0.5) {
				f.stop(m)
			} else {
				f.kill(m, f.chance(0.5))
			}
		})
	}
	if f.chance(0.5) {
		leave(false)
		return
	}
	f.note("worker of %s drains", m.cfg.Name)
	m.worker.Drain()
	f.strikeAfter(f.between(200*time.Millisecond, 2*time.Second), func() { leave(f.chance(0.7)) })
}

// endFaults ends all faults and starts all processes that have not left.
func (f *virtualFleet) endFaults() {
	f.note("all faults end")
	f.onlySubmitAt.Store(nil)
	f.network.HealLinks()
	for _, m := range f.machines() {
		m.endpoint.SetFaults(standin.StoreFaults{})
		if m.worker != nil {
			m.worker.SetFaults(standin.WorkerFaults{})
		}
		f.restart(m)
	}
}
