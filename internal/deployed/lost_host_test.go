package deployed

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// lostTaskLimit is the bound of the operators on the time for which a perpetual task is away, if the last virtualCalm of it was calm.
const lostTaskLimit = 6*time.Second + idleLimit

// Guards against perpetual tasks that stay away because each new owner waits for the whole hold of a worker that was lost without notice,
// together with its host, before the owner changed.
func TestTasksOfALostHostRunAgainAfterTakeovers(t *testing.T) {
	cutOff := func(f *virtualFleet) {
		f.isolate(f.owner())
		time.Sleep(2500 * time.Millisecond)
		f.network.healLinks()
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
		t.Run(name, func(t *testing.T) { playLostHost(t, changeOwner) })
	}
}

// restartHostsInTurn kills each host that has not been lost and starts it again, beginning with the owner.
func restartHostsInTurn(f *virtualFleet) {
	owner := f.owner()
	for _, m := range append([]*virtualMachine{owner}, f.hosts...) {
		if m.left {
			continue
		}
		f.stop(m)
		time.Sleep(300 * time.Millisecond)
		f.restart(m)
	}
}

// playLostHost makes a worker and its host vanish, and changes the owner a while later. It checks that all perpetual tasks run again as
// soon as the operators require it.
func playLostHost(t *testing.T, changeOwner func(f *virtualFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newVirtualFleet(t, 1)
		time.Sleep(time.Second)
		var perpetual []*virtualJob
		for rng := rand.New(rand.NewPCG(1, 1)); len(perpetual) < maxPerpetualJobs; {
			if job := f.newJob(rng); job.isPerpetual {
				qt.Check(t, f.submit(job, f.entries[0]), qt.Equals, http.StatusOK)
				perpetual = append(perpetual, job)
			}
		}
		time.Sleep(time.Second)
		owner := f.owner()
		i := slices.IndexFunc(f.hosts, func(m *virtualMachine) bool { return m != owner && m.worker.StartedRunCount() > 0 })
		qt.Assert(t, i >= 0, qt.IsTrue)
		lost, lostAt := f.hosts[i], time.Now()
		f.endWorker(lost)
		f.kill(lost, true)
		time.Sleep(1500 * time.Millisecond)
		changeOwner(f)
		deadline := lostAt.Add(lostTaskLimit)
		if afterCalm := time.Now().Add(virtualCalm); afterCalm.After(deadline) {
			deadline = afterCalm
		}
		f.runScheduled(deadline)
		for _, job := range perpetual {
			qt.Check(t, f.checker.RunningTaskCount(job.id), qt.Equals, job.taskCount)
		}
		f.close()
		qt.Check(t, f.checker.Violations(), qt.HasLen, 0)
	})
}
