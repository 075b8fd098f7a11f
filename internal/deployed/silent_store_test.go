package deployed

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/platform/standin"
)

// silenceStore lets the store answer no calls for the time from now.
func (f *virtualFleet) silenceStore(length time.Duration) {
	f.note("the store is silent for %s", length)
	for _, m := range f.machines() {
		m.endpoint.SetFaults(standin.StoreFaults{Unresponsive: true})
	}
	f.after(length, func() {
		f.note("the store answers")
		for _, m := range f.machines() {
			m.endpoint.SetFaults(standin.StoreFaults{})
		}
	})
}

// playSilentStore starts perpetual jobs and plays the faults, which begin a silence of the store and return the time until it ends. All
// tasks have to run again when the calm that the operators require is over.
func playSilentStore(t *testing.T, faults func(f *virtualFleet, seed uint64) time.Duration) {
	playPhases(t, 8, func(t *testing.T, seed uint64) {
		f := newVirtualFleet(t, seed)
		perpetual, _ := f.startPerpetualJobs()
		time.Sleep(time.Duration(seed) * 50 * time.Millisecond) // phases of the renewals of the lease
		silent := faults(f, seed)
		f.checkRunningAfter(seed, perpetual, silent+virtualCalm)
	})
}

// Guards against perpetual tasks that stay away for a hold that is counted from the start of the newest owner: the host of the owner was
// lost, and the store was silent before its successor could record that it does not hear from the agent there. The successor ended too.
func TestTasksOfALostOwnerRunAgainBesideASilentStore(t *testing.T) {
	const silence = 4500 * time.Millisecond
	playSilentStore(t, func(f *virtualFleet, _ uint64) time.Duration {
		owner := f.ownerWithTasks()
		f.loseHost(owner)
		f.runScheduled(time.Now().Add(2500 * time.Millisecond))
		f.silenceStore(silence)
		successor := f.owner()
		f.after(silence, func() { f.killForOutage(successor) })
		return silence
	})
}

// Guards against perpetual tasks that stay away for a hold, because their worker left while the store was silent and the owner, which
// could not write that, was replaced.
func TestTasksOfADepartedWorkerRunAgainBesideASilentStore(t *testing.T) {
	const silence = 4500 * time.Millisecond
	playSilentStore(t, func(f *virtualFleet, seed uint64) time.Duration {
		leaving := f.hostWithRuns()
		f.silenceStore(silence)
		f.after(300*time.Millisecond, func() {
			leaving.worker.Unregister(f.client, leaving.cfg.Listen.Registrations)
			f.endWorker(leaving)
		})
		f.after(1300*time.Millisecond, func() {
			f.kill(leaving, true)
			f.isolate(leaving)
		})
		owner := f.owner()
		f.after(silence-time.Duration(seed)*300*time.Millisecond, func() { f.killForOutage(owner) })
		return silence
	})
}

// Checks that an owner that lives goes on after a silence of the store, instead of waiting for calls that are never answered until
// another process has taken over.
func TestOwnerStaysOverASilenceOfTheStore(t *testing.T) {
	playPhases(t, 8, func(t *testing.T, seed uint64) {
		f := newVirtualFleet(t, seed)
		f.startPerpetualJobs()
		owner := f.store.OwnerName()
		silence := 3*time.Second + time.Duration(seed)*300*time.Millisecond
		f.silenceStore(silence)
		f.runScheduled(time.Now().Add(silence + 3*time.Second))
		qt.Check(t, f.store.OwnerName(), qt.Equals, owner)
		f.closeAndCheck(seed)
	})
}
