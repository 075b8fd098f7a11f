package deployed

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/network/memnet"
	"bamboofork/platform/standin"
)

// lostTaskLimit is the bound of the operators on the time for which a perpetual task is away, if the last virtualCalm of it was calm.
const lostTaskLimit = 6*time.Second + idleLimit

// Guards against perpetual tasks that stay away because each new owner waits for the whole hold of a worker that was lost without notice,
// together with its host, before the owner changed.
func TestTasksOfALostHostRunAgainAfterTakeovers(t *testing.T) {
	cutOff := func(f *virtualFleet) {
		f.isolate(f.owner())
		time.Sleep(2500 * time.Millisecond)
		f.network.HealLinks()
	}
	endOwner := func(end func(f *virtualFleet, owner *virtualMachine), count int) func(f *virtualFleet) {
		return func(f *virtualFleet) {
			for i := range count {
				if i > 0 {
					f.runScheduled(time.Now().Add(2 * time.Second))
				}
				owner := f.owner()
				end(f, owner)
				f.after(700*time.Millisecond, func() { f.restart(owner) })
			}
		}
	}
	kill := func(f *virtualFleet, owner *virtualMachine) { f.kill(owner, false) }
	stop := func(f *virtualFleet, owner *virtualMachine) { f.stop(owner) }
	for name, changeOwner := range map[string]func(f *virtualFleet){
		"the owner is cut off":       cutOff,
		"the owner is killed":        endOwner(kill, 1),
		"three owners are killed":    endOwner(kill, 3),
		"three owners stop in turn":  endOwner(stop, 3),
		"two owners are cut off":     func(f *virtualFleet) { cutOff(f); time.Sleep(1500 * time.Millisecond); cutOff(f) },
		"the owner is not replaced":  func(*virtualFleet) {},
		"all hosts restart in turn":  restartHostsInTurn,
		"the owner and an entry end": func(f *virtualFleet) { f.kill(f.entries[0], false); endOwner(kill, 1)(f) },
	} {
		t.Run(name, func(t *testing.T) { playLostHost(t, 1500*time.Millisecond, changeOwner) })
	}
	t.Run("the owner stops soon", func(t *testing.T) { playLostHost(t, 400*time.Millisecond, endOwner(stop, 1)) })
}

// Guards against perpetual tasks that stay away for a hold because the host of the owner is lost without notice together with its worker,
// which is a change of the owner and a lost worker at once.
func TestTasksBesideALostOwnerRunAgain(t *testing.T) {
	playPhases(t, 8, func(t *testing.T, seed uint64) {
		f := newVirtualFleet(t, seed)
		perpetual, _ := f.startPerpetualJobs()
		time.Sleep(time.Duration(seed) * 50 * time.Millisecond) // phases of the renewals of the lease
		owner := f.ownerWithTasks()
		f.loseHost(owner)
		f.checkRunningAfter(seed, perpetual, lostTaskLimit)
	})
}

// playPhases runs the test in virtual time for each of the seeds from 0.
func playPhases(t *testing.T, seeds uint64, play func(t *testing.T, seed uint64)) {
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { play(t, seed) })
		})
	}
}

// ownerWithTasks changes the owner until its worker runs tasks. It returns when the holds that earlier owners have granted are over.
func (f *virtualFleet) ownerWithTasks() *virtualMachine {
	for {
		owner := f.owner()
		if owner.worker.StartedRunCount() > 0 {
			f.runScheduled(time.Now().Add(virtualHoldMs * time.Millisecond))
			return owner
		}
		f.stop(owner)
		f.after(500*time.Millisecond, func() { f.restart(owner) })
		f.runScheduled(time.Now().Add(2 * time.Second))
	}
}

// loseHost makes a host vanish for good with its worker. Nothing at its addresses answers any more.
func (f *virtualFleet) loseHost(m *virtualMachine) {
	f.endWorker(m)
	f.kill(m, true)
	f.isolate(m)
}

// checkRunningAfter checks that all tasks of the jobs run after the time, and ends the fleet of the seed.
func (f *virtualFleet) checkRunningAfter(seed uint64, perpetual []*virtualJob, wait time.Duration) {
	f.runScheduled(time.Now().Add(wait))
	for _, job := range perpetual {
		qt.Check(f.t, f.checker.RunningTaskCount(job.id), qt.Equals, job.taskCount)
	}
	f.closeAndCheck(seed)
}

// closeAndCheck ends the fleet of the seed, checks that the workers observed no violation, and keeps the logs if the test has failed.
func (f *virtualFleet) closeAndCheck(seed uint64) {
	f.close()
	qt.Check(f.t, f.checker.Violations(), qt.HasLen, 0)
	if f.t.Failed() {
		f.writeLogs(seed)
	}
}

// startPerpetualJobs submits as many perpetual jobs as the fleet takes. It returns them, and a host that runs tasks and is not the owner's.
func (f *virtualFleet) startPerpetualJobs() ([]*virtualJob, *virtualMachine) {
	time.Sleep(time.Second)
	var perpetual []*virtualJob
	for rng := rand.New(rand.NewPCG(1, 1)); len(perpetual) < maxPerpetualJobs; {
		if job := f.newJob(rng); job.isPerpetual {
			qt.Check(f.t, f.submit(job, f.entries[0]), qt.Equals, http.StatusOK)
			perpetual = append(perpetual, job)
		}
	}
	time.Sleep(time.Second)
	owner := f.owner()
	i := slices.IndexFunc(f.hosts, func(m *virtualMachine) bool { return m != owner && m.worker.StartedRunCount() > 0 })
	qt.Assert(f.t, i >= 0, qt.IsTrue)
	return perpetual, f.hosts[i]
}

// restartHostsInTurn stops each host that has not been lost, beginning with the owner, and starts it again before the next one stops.
func restartHostsInTurn(f *virtualFleet) {
	for _, m := range append([]*virtualMachine{f.owner()}, f.hosts...) {
		if m.left {
			continue
		}
		f.stop(m)
		f.after(100*time.Millisecond, func() { f.restart(m) })
		for m.running == nil {
			f.runScheduled(time.Now().Add(100 * time.Millisecond))
		}
		f.runScheduled(time.Now().Add(500 * time.Millisecond))
	}
}

// playLostHost makes a worker and its host vanish, and changes the owner after the delay. It checks that all perpetual tasks run again as
// soon as the operators require it.
func playLostHost(t *testing.T, delay time.Duration, changeOwner func(f *virtualFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newVirtualFleet(t, 1)
		perpetual, lost := f.startPerpetualJobs()
		lostAt := time.Now()
		f.loseHost(lost)
		time.Sleep(delay)
		changeOwner(f)
		f.checkRunningAfter(1, perpetual, max(virtualCalm, time.Until(lostAt.Add(lostTaskLimit))))
	})
}

// Guards against tasks that run twice: an agent that comes and goes may have its hold extended by one owner while the next owner counts
// the hold from an earlier silence.
func TestTasksOfASilentHostRunOnceOverTakeovers(t *testing.T) {
	for seed := *virtualFirst; seed < *virtualFirst+*virtualSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { playSilentHost(t, seed) })
		})
	}
}

// playSilentHost cuts a host with running tasks off from other machines several times, for the last time for longer than a hold, while
// owners end, are cut off and lose their key.
func playSilentHost(t *testing.T, seed uint64) {
	f := newVirtualFleet(t, seed, slowWorkers(seed))
	_, silent := f.startPerpetualJobs()
	cut := func(length time.Duration) {
		faults := memnet.LinkFaults{Cut: true}
		onlyOwner, owner := f.chance(0.5), f.owner()
		directions := 1 + f.rng.IntN(3) // bits: outgoing, incoming
		set := func(faults memnet.LinkFaults) {
			for _, m := range f.machines() {
				if m == silent || (onlyOwner && m != owner) {
					continue
				}
				if directions&1 != 0 {
					f.network.SetLink(silent.ip, m.ip, faults)
				}
				if directions&2 != 0 {
					f.network.SetLink(m.ip, silent.ip, faults)
				}
			}
		}
		f.note("cut %s, only from %s: %t, directions %d, for %s", silent.cfg.Name, owner.cfg.Name, onlyOwner, directions, length)
		set(faults)
		f.after(length, func() { f.note("%s is connected", silent.cfg.Name); set(memnet.LinkFaults{}) })
	}
	changeOwner := func() {
		owner := f.owner()
		if owner == silent {
			return
		}
		switch f.rng.IntN(5) {
		case 0:
			f.kill(owner, false)
			f.after(f.between(100*time.Millisecond, time.Second), func() { f.restart(owner) })
		case 1:
			f.stop(owner)
			f.after(f.between(100*time.Millisecond, time.Second), func() { f.restart(owner) })
		case 2:
			f.note("isolate %s", owner.cfg.Name)
			f.isolate(owner)
			f.after(f.between(500*time.Millisecond, 4*time.Second), func() { f.note("links are well"); f.network.HealLinks() })
		case 3:
			f.note("store of %s is unresponsive", owner.cfg.Name)
			owner.endpoint.SetFaults(standin.StoreFaults{Unresponsive: true})
			f.after(f.between(500*time.Millisecond, 4*time.Second), func() { owner.endpoint.SetFaults(standin.StoreFaults{}) })
		case 4:
			f.note("revoke leases")
			f.store.RevokeLeases()
		}
	}
	end := time.Now().Add(12 * time.Second)
	for at := time.Now(); at.Before(end); at = at.Add(f.between(300*time.Millisecond, 3*time.Second)) {
		f.after(time.Until(at), func() { cut(f.between(200*time.Millisecond, 5*time.Second)) })
	}
	for at := time.Now().Add(time.Second); at.Before(end.Add(6 * time.Second)); at = at.Add(f.between(time.Second, 5*time.Second)) {
		f.after(time.Until(at), changeOwner)
	}
	f.runScheduled(end)
	f.note("%s is isolated", silent.cfg.Name)
	for until := end.Add(14 * time.Second); time.Now().Before(until); {
		f.isolate(silent) // again, because other faults end
		f.runScheduled(time.Now().Add(50 * time.Millisecond))
	}
	f.close()
	if violations := f.checker.Violations(); len(violations) > 0 {
		t.Errorf("seed %d: %v\n%s", seed, violations, strings.Join(f.history, "\n"))
	}
}

// Guards against tasks that stay away for a hold because the host of the owner was lost right after a snapshot: the successor read no record
// and did not know the previous owner.
func TestTasksBesideAnOwnerLostAfterASnapshotRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVirtualFleet(t, 1)
		time.Sleep(time.Second)
		f.recordsPerSnapshot = 1
		for _, m := range f.hosts {
			f.kill(m, false)
			f.launch(m)
		}
		time.Sleep(3 * time.Second)
		perpetual, _ := f.startPerpetualJobs()
		owner := f.owner()
		qt.Assert(t, owner.worker.StartedRunCount() > 0, qt.IsTrue)
		time.Sleep(5 * time.Second)
		f.loseHost(owner)
		f.checkRunningAfter(1, perpetual, lostTaskLimit)
	})
}
