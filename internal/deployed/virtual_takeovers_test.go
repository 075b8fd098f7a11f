package deployed

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/platform/standin"
)

// ownerChange replaces the owner of a virtual fleet.
type ownerChange func(f *virtualFleet)

// ownerOutage is how long an owner that is replaced stays away.
const ownerOutage = 1800 * time.Millisecond

func killOwner(f *virtualFleet) { f.killForOutage(f.owner()) }

// killForOutage ends the process of a machine at once and starts it again after ownerOutage.
func (f *virtualFleet) killForOutage(m *virtualMachine) {
	f.kill(m, false)
	f.after(ownerOutage, func() { f.restart(m) })
}

func stopOwner(f *virtualFleet) {
	m := f.owner()
	f.stop(m)
	f.after(ownerOutage, func() { f.restart(m) })
}

// cutOffOwner cuts the owner off until its lease has expired, as when its machine is frozen.
func cutOffOwner(f *virtualFleet) {
	m := f.owner()
	f.note("cut %s off", m.cfg.Name)
	f.isolate(m)
	f.after(ownerOutage, f.network.HealLinks)
}

// changeOwnersEvery schedules the changes, the first one now.
func (f *virtualFleet) changeOwnersEvery(interval time.Duration, changes ...ownerChange) {
	for i, change := range changes {
		f.after(time.Duration(i)*interval, func() { change(f) })
	}
}

// submitPerpetual submits a number of perpetual jobs of two tasks each.
func (f *virtualFleet) submitPerpetual(count int) []*virtualJob {
	var submitted []*virtualJob
	for i := range count {
		job := &virtualJob{id: fmt.Sprintf("%c%015x", perpetualJob, i+1), isPerpetual: true, taskCount: 2,
			body: `{"spec":"x","steps":[{"count":2,"cpu":2000,"mem_mb":100,"estimate_ms":300,"perpetual":true}]}`}
		f.mu.Lock()
		f.jobs[job.id] = job
		f.mu.Unlock()
		qt.Check(f.t, f.submit(job, f.entries[0]), qt.Equals, http.StatusOK)
		submitted = append(submitted, job)
	}
	return submitted
}

// missingTasks returns the number of tasks of the jobs that are not running.
func (f *virtualFleet) missingTasks(jobs []*virtualJob) int {
	missing := 0
	for _, job := range jobs {
		missing += job.taskCount - f.checker.RunningTaskCount(job.id)
	}
	return missing
}

// hostOtherThanOwner returns the machine of a worker that is not beside the owner.
func (f *virtualFleet) hostOtherThanOwner() *virtualMachine {
	owner := f.owner()
	return f.hosts[slices.IndexFunc(f.hosts, func(m *virtualMachine) bool { return m != owner })]
}

// hostWithRuns returns the machine of a worker that has run tasks and is not beside the owner.
func (f *virtualFleet) hostWithRuns() *virtualMachine {
	owner := f.owner()
	i := slices.IndexFunc(f.hosts, func(m *virtualMachine) bool { return m != owner && m.worker.StartedRunCount() > 0 })
	qt.Assert(f.t, i >= 0, qt.IsTrue)
	return f.hosts[i]
}

// runUntilComplete waits until all tasks of the perpetual jobs are running, but not longer than the limit. It returns the time that passed.
func (f *virtualFleet) runUntilComplete(jobs []*virtualJob, limit time.Duration) time.Duration {
	start := time.Now()
	for f.missingTasks(jobs) > 0 && time.Since(start) < limit {
		f.runScheduled(time.Now().Add(20 * time.Millisecond))
	}
	return time.Since(start)
}

// Guards against tasks that stay away for the length of a hold, counted anew by each owner, because their worker ended for good while its
// agent was away: no process knows the worker any more, but its port is closed.
func TestTasksOfAWorkerThatEndedWithoutItsAgentRunAgain(t *testing.T) {
	const agentOutage = 500 * time.Millisecond
	for _, c := range []struct {
		name    string
		changes []ownerChange
		limit   time.Duration // from the end of the worker
	}{
		{"same owner", nil, agentOutage + time.Second},
		{"owner killed", []ownerChange{killOwner}, agentOutage + 2*time.Second},
		{"owner cut off", []ownerChange{cutOffOwner}, agentOutage + 4*time.Second},
		{"series of owners", []ownerChange{killOwner, stopOwner, cutOffOwner, killOwner}, agentOutage + 4*time.Second},
		{"series of owners cut off", []ownerChange{cutOffOwner, cutOffOwner, cutOffOwner, cutOffOwner}, agentOutage + 4*time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newVirtualFleet(t, 1)
				time.Sleep(time.Second)
				jobs := f.submitPerpetual(10)
				qt.Assert(t, f.runUntilComplete(jobs, virtualCalm) < virtualCalm, qt.IsTrue)
				m := f.hostWithRuns()
				f.kill(m, false)
				f.endWorker(m)
				f.after(agentOutage, func() { f.launch(m) })
				qt.Check(t, f.missingTasks(jobs) > 0, qt.IsTrue)
				f.changeOwnersEvery(2*time.Second, c.changes...)
				took := f.runUntilComplete(jobs, 30*time.Second)
				qt.Check(t, took < c.limit, qt.IsTrue, qt.Commentf("the tasks were away for %s", took))
				f.runScheduled(time.Now().Add(2 * time.Duration(len(c.changes)) * time.Second))
				qt.Check(t, f.missingTasks(jobs), qt.Equals, 0)
				f.close()
				qt.Check(t, f.checker.Violations(), qt.HasLen, 0)
			})
		})
	}
}

// Guards against a restart of an agent that withdraws what its predecessor has announced: the worker unregistered while the owner was cut
// off, and its host left before the successor was elected. The predecessor may have told the owner of the departure, too.
func TestDepartureIsKnownAfterARestartOfTheAgent(t *testing.T) {
	for _, c := range []struct {
		name    string
		isStop  bool // the agent is stopped gracefully
		restart time.Duration
	}{{"stopped at once", true, 50 * time.Millisecond}, {"stopped", true, 300 * time.Millisecond}, {"killed", false, 300 * time.Millisecond}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newVirtualFleet(t, 1)
				time.Sleep(time.Second)
				jobs := f.submitPerpetual(10)
				qt.Assert(t, f.runUntilComplete(jobs, virtualCalm) < virtualCalm, qt.IsTrue)
				departing := f.hostWithRuns()
				cutOffOwner(f)
				f.endWorker(departing)
				departing.worker.Unregister(f.client, departing.cfg.Listen.Registrations)
				f.after(c.restart, func() {
					if c.isStop {
						f.stop(departing)
					} else {
						f.kill(departing, false)
					}
				})
				f.after(c.restart+100*time.Millisecond, func() { f.launch(departing) })
				f.after(time.Second, func() { f.kill(departing, true) })
				f.runScheduled(time.Now().Add(ownerOutage))
				took := f.runUntilComplete(jobs, 30*time.Second)
				qt.Check(t, took < virtualCalm, qt.IsTrue, qt.Commentf("the tasks were away for %s after the fault", took))
				f.close()
				qt.Check(t, f.checker.Violations(), qt.HasLen, 0)
			})
		})
	}
}

// Guards against perpetual tasks whose wait for the reserve of short tasks begins anew with each owner, so that it has no end while owners
// follow each other.
func TestPerpetualTasksStartDuringASeriesOfOwnerChanges(t *testing.T) {
	for _, c := range []struct {
		name     string
		interval time.Duration
		changes  []ownerChange
	}{
		{"killed and stopped", 1200 * time.Millisecond, []ownerChange{killOwner, stopOwner, killOwner, stopOwner, killOwner, stopOwner}},
		{"cut off", 2700 * time.Millisecond, []ownerChange{cutOffOwner, cutOffOwner, cutOffOwner, cutOffOwner}},
		{"in turn", 2 * time.Second, []ownerChange{killOwner, stopOwner, cutOffOwner, killOwner}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newVirtualFleet(t, 1)
				time.Sleep(time.Second)
				jobs := f.submitPerpetual(23) // 46 of the 48 places; 42 leave the reserve for short tasks free
				f.changeOwnersEvery(c.interval, c.changes...)
				length := time.Duration(len(c.changes)) * c.interval
				took := f.runUntilComplete(jobs, length+virtualCalm)
				qt.Check(t, took < length, qt.IsTrue, qt.Commentf("complete after %s, the series took %s", took, length))
				f.runScheduled(time.Now().Add(length + virtualCalm - took))
				qt.Check(t, f.missingTasks(jobs), qt.Equals, 0)
				f.close()
				qt.Check(t, f.checker.Violations(), qt.HasLen, 0)
			})
		})
	}
}

// Guards against runs of healthy workers that end because the hold expires: no owner of a series lives until its first heartbeat, and none of
// them confirms a report.
func TestRunsOutlastASeriesOfShortTerms(t *testing.T) {
	for _, termLength := range []time.Duration{50 * time.Millisecond, 150 * time.Millisecond, 250 * time.Millisecond} {
		t.Run(termLength.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newVirtualFleet(t, 1)
				time.Sleep(time.Second)
				jobs := f.submitPerpetual(15)
				qt.Assert(t, f.runUntilComplete(jobs, virtualCalm) < virtualCalm, qt.IsTrue)
				starts, start := f.checker.StartCount(), time.Now()
				for previous := ""; time.Since(start) < (virtualHoldMs+3000)*time.Millisecond; {
					if name := f.store.OwnerName(); name != "" && name != previous {
						previous = name
						f.runScheduled(time.Now().Add(termLength))
						f.network.HealLinks()
						f.isolate(f.owner())
					}
					f.runScheduled(time.Now().Add(5 * time.Millisecond))
				}
				f.network.HealLinks()
				f.runScheduled(time.Now().Add(virtualCalm))
				qt.Check(t, f.missingTasks(jobs), qt.Equals, 0)
				qt.Check(t, f.checker.StartCount(), qt.Equals, starts, qt.Commentf("tasks were started again"))
				f.close()
				qt.Check(t, f.checker.Violations(), qt.HasLen, 0)
			})
		})
	}
}

// Guards against runs that hang on a faulty worker for as long as owners follow each other: each owner observed them anew.
func TestStalledRunsAreMovedDuringASeriesOfOwnerChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVirtualFleet(t, 1)
		time.Sleep(time.Second)
		f.hostOtherThanOwner().worker.SetFaults(standin.WorkerFaults{NoProgress: true})
		var submitted []*virtualJob
		for i := range 12 {
			job := &virtualJob{id: fmt.Sprintf("%c%015x", shortJob, i+1), taskCount: 2,
				body: `{"spec":"x","steps":[{"count":2,"cpu":2000,"mem_mb":100,"estimate_ms":300}]}`}
			f.jobs[job.id] = job
			qt.Check(t, f.submit(job, f.entries[0]), qt.Equals, http.StatusOK)
			submitted = append(submitted, job)
		}
		const interval = 1200 * time.Millisecond
		f.changeOwnersEvery(interval, killOwner, stopOwner, killOwner, stopOwner, killOwner, stopOwner)
		start := time.Now()
		done := func() int {
			count := 0
			for _, job := range submitted {
				count += f.checker.DoneTaskCount(job.id)
			}
			return count
		}
		for done() < 2*len(submitted) && time.Since(start) < 20*time.Second {
			f.runScheduled(time.Now().Add(20 * time.Millisecond))
		}
		took := time.Since(start)
		qt.Check(t, took < 5*interval, qt.IsTrue, qt.Commentf("%d tasks are done after %s", done(), took))
		f.close()
		qt.Check(t, f.checker.Violations(), qt.HasLen, 0)
	})
}

// Guards against an agent that leaves with its host before an owner knows that its worker has left: the worker unregistered right after a
// restart of the agent, which did not know the worker yet, while the owner was cut off.
func TestStoppingAgentTellsAnOwnerThatItsWorkerHasLeft(t *testing.T) {
	for _, sinceStart := range []time.Duration{5 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(sinceStart.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newVirtualFleet(t, 1)
				time.Sleep(time.Second)
				jobs := f.submitPerpetual(10)
				qt.Assert(t, f.runUntilComplete(jobs, virtualCalm) < virtualCalm, qt.IsTrue)
				departing := f.hostWithRuns()
				cutOffOwner(f)
				f.kill(departing, false)
				departing.stopRegister() // no registration arrives before the worker unregisters
				f.after(100*time.Millisecond, func() { f.launch(departing) })
				f.after(100*time.Millisecond+sinceStart, func() {
					f.endWorker(departing)
					departing.worker.Unregister(f.client, departing.cfg.Listen.Registrations)
					f.after(time.Second, func() { f.stop(departing) })
				})
				f.runScheduled(time.Now().Add(ownerOutage))
				took := f.runUntilComplete(jobs, 30*time.Second)
				qt.Check(t, took < 2*time.Second, qt.IsTrue, qt.Commentf("the tasks were away for %s after the fault", took))
				f.close()
				qt.Check(t, f.checker.Violations(), qt.HasLen, 0)
			})
		})
	}
}
