package deployed

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/platform/standin"
)

var heldSeeds = flag.Uint64("held-seeds", 2, "number of seeds of the tests of held submissions")

// tries counts the answers to the submissions of one play, by status code.
type tries struct {
	mu     sync.Mutex
	byCode map[int]int
	jobs   []*virtualJob
	wg     sync.WaitGroup
}

// submitEvery submits a job at each interval for the time, each at a random entry and once.
func (f *virtualFleet) submitEvery(interval, length time.Duration) *tries {
	made, rng := &tries{byCode: map[int]int{}}, rand.New(rand.NewPCG(3, 4))
	template := f.wideJob(1, 100, "x", time.Second) // before any run: the workers read what it sets
	for at := time.Duration(0); at < length; at += interval {
		f.after(at, func() {
			entry := f.entries[rng.IntN(len(f.entries))]
			job := &virtualJob{id: fmt.Sprintf("%c%015x", shortJob, at.Milliseconds()), taskCount: template.taskCount, body: template.body}
			made.wg.Go(func() {
				code := f.submit(job, entry)
				made.mu.Lock()
				defer made.mu.Unlock()
				made.byCode[code]++
				made.jobs = append(made.jobs, job)
			})
		})
	}
	return made
}

// checkNotRun checks that no job runs whose only submission was refused.
func (f *virtualFleet) checkNotRun(made *tries) {
	for _, job := range made.jobs {
		if job.ackedAt.IsZero() && !job.isUncertain && !f.checker.LastStartTime(job.id).IsZero() {
			f.violation("REFUSED: job %s has run, and its submission was rejected", job.id)
		}
	}
	qt.Check(f.t, f.violations, qt.HasLen, 0)
}

// Load: a steady stream of submissions over a silence of the store of 1.5 s. All are accepted: those of the record that has no answer too,
// since its write is repeated within their callers' time.
func TestSubmissionsAreAcceptedOverAShortSilenceOfTheStore(t *testing.T) {
	playPhases(t, *heldSeeds, func(t *testing.T, seed uint64) {
		f := newVirtualFleet(t, seed)
		time.Sleep(2*time.Second + time.Duration(seed)*50*time.Millisecond)
		f.silenceStore(1500 * time.Millisecond)
		made := f.submitEvery(50*time.Millisecond, 2500*time.Millisecond)
		f.runScheduled(time.Now().Add(8 * time.Second))
		made.wg.Wait()
		qt.Check(t, made.byCode[http.StatusOK], qt.Equals, len(made.jobs), qt.Commentf("%v", made.byCode))
		f.checkNotRun(made)
		f.closeAndCheck(seed)
	})
}

// Load: the same while the store refuses the owner alone, which another process replaces.
func TestSubmissionsAreAcceptedWhileTheStoreRefusesTheOwner(t *testing.T) {
	playPhases(t, *heldSeeds, func(t *testing.T, seed uint64) {
		f := newVirtualFleet(t, seed)
		time.Sleep(2*time.Second + time.Duration(seed)*50*time.Millisecond)
		f.owner().endpoint.SetFaults(standin.StoreFaults{Unavailable: true})
		made := f.submitEvery(50*time.Millisecond, 3*time.Second)
		f.runScheduled(time.Now().Add(8 * time.Second))
		made.wg.Wait()
		qt.Check(t, made.byCode[http.StatusServiceUnavailable], qt.Equals, 0, qt.Commentf("%v", made.byCode))
		qt.Check(t, made.byCode[http.StatusOK] >= len(made.jobs)-2, qt.IsTrue, qt.Commentf("%v", made.byCode))
		f.checkNotRun(made)
		f.closeAndCheck(seed)
	})
}

// Guards against answers that are unclear about submissions which reached no owner: its host was lost, and the store is silent, so that
// there is no successor. Unclear are at most those of the time in which the entries still hear from the owner or do not miss it yet.
func TestSubmissionsAfterTheLossOfTheOwnerAreNotRun(t *testing.T) {
	const interval = 50 * time.Millisecond
	playPhases(t, *heldSeeds, func(t *testing.T, seed uint64) {
		f := newVirtualFleet(t, seed)
		time.Sleep(2*time.Second + time.Duration(seed)*50*time.Millisecond)
		f.loseHost(f.owner())
		f.silenceStore(5 * time.Second)
		made := f.submitEvery(interval, 6*time.Second)
		f.runScheduled(time.Now().Add(12 * time.Second))
		made.wg.Wait()
		unclear := made.byCode[http.StatusGatewayTimeout]
		qt.Check(t, unclear <= int(700*time.Millisecond/interval)+1, qt.IsTrue, qt.Commentf("%v", made.byCode))
		qt.Check(t, made.byCode[http.StatusOK] >= 30, qt.IsTrue, qt.Commentf("the last second, and those held over the end: %v", made.byCode))
		f.checkNotRun(made)
		f.closeAndCheck(seed)
	})
}

// Load: all processes lost power, and callers submit from the moment at which they start again.
func TestFirstSubmissionsAfterALossOfPowerAreAccepted(t *testing.T) {
	playPhases(t, *heldSeeds, func(t *testing.T, seed uint64) {
		f := newVirtualFleet(t, seed)
		time.Sleep(2*time.Second + time.Duration(seed)*50*time.Millisecond)
		for _, m := range f.machines() {
			f.kill(m, true)
		}
		f.runScheduled(time.Now().Add(time.Second))
		for _, m := range f.machines() {
			f.restart(m)
		}
		f.runScheduled(time.Now().Add(20 * time.Millisecond)) // listeners
		made := f.submitEvery(50*time.Millisecond, 3*time.Second)
		f.runScheduled(time.Now().Add(8 * time.Second))
		made.wg.Wait()
		qt.Check(t, made.byCode[http.StatusOK], qt.Equals, len(made.jobs), qt.Commentf("%v", made.byCode))
		f.checkNotRun(made)
		f.closeAndCheck(seed)
	})
}

// Guards against refused jobs that run, and against submissions that are lost, while some processes hold submissions and others are of an
// earlier version or have the part off.
func TestProcessesWithAndWithoutHoldsServeTogether(t *testing.T) {
	playPhases(t, *heldSeeds, func(t *testing.T, seed uint64) {
		f := newVirtualFleet(t, seed)
		for i, m := range f.machines() {
			if (uint64(i)+seed)%2 == 0 {
				m.cfg.SilentStore = nil
				f.kill(m, false)
				f.restart(m)
			}
		}
		f.runScheduled(time.Now().Add(4 * time.Second))
		f.silenceStore(1500 * time.Millisecond)
		made := f.submitEvery(50*time.Millisecond, 8*time.Second)
		f.after(4*time.Second, func() { f.loseHost(f.owner()) })
		f.runScheduled(time.Now().Add(15 * time.Second))
		made.wg.Wait()
		qt.Check(t, made.byCode[http.StatusOK] >= 90, qt.IsTrue, qt.Commentf("those of all seconds but the silence and the takeover: %v", made.byCode))
		f.checkNotRun(made)
		f.closeAndCheck(seed)
	})
}
