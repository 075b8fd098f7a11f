package deployed

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/platform/standin"
)

// wideJob returns a job of equal tasks, and lets the workers run each of them for the time.
func (f *virtualFleet) wideJob(tasks, cpu int, payload string, runTime time.Duration) *virtualJob {
	for _, m := range f.hosts {
		m.worker.TaskProfile = func(string) (time.Duration, standin.Need) { return runTime, standin.Need{CPU: cpu} }
	}
	return &virtualJob{id: fmt.Sprintf("%c%015x", shortJob, tasks), taskCount: tasks,
		body: fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":%d,"mem_mb":1,"estimate_ms":%d}]}`, payload, tasks, cpu, runTime.Milliseconds())}
}

// Guards against tasks that run again after they were done: more runs than a worker lists at a time end while its agent is away, and the
// restarted agent takes the first ends for all of them.
func TestEndsBeyondTheFirstListAreNotLost(t *testing.T) {
	playPhases(t, 2, func(t *testing.T, phase uint64) {
		f := newVirtualFleet(t, phase)
		time.Sleep(time.Second)
		job := f.wideJob(3600, 24, "x", 6*time.Second) // 600 on each worker
		qt.Assert(t, f.submit(job, f.entries[0]), qt.Equals, http.StatusOK)
		time.Sleep(5 * time.Second)
		qt.Check(t, f.checker.StartCount(), qt.Equals, job.taskCount)
		owner := f.owner()
		for i, m := range f.hosts {
			if m != owner {
				f.kill(m, false)
				f.after(2*time.Second+time.Duration(i*5+int(phase))*13*time.Millisecond, func() { f.restart(m) })
			}
		}
		f.runScheduled(time.Now().Add(10 * time.Second))
		_, state := f.get(job, f.entries[0])
		qt.Check(t, state, qt.Equals, "completed")
		qt.Check(t, f.checker.StartCount(), qt.Equals, job.taskCount)
		f.closeAndCheck(phase)
	})
}

// Guards against starts that are never executed because they are sent in one message that the agent refuses for its size, and against
// agents that cannot start anything any more after a restart, because the description of their runs is as large.
func TestStartsOfALargeJobExceedNoFrame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVirtualFleet(t, 1)
		time.Sleep(time.Second)
		wide := f.wideJob(13_800, 6, strings.Repeat("x", 4000), 2500*time.Millisecond) // 2,300 on each worker
		qt.Assert(t, f.submit(wide, f.entries[0]), qt.Equals, http.StatusOK)
		small := f.newJob(rand.New(rand.NewPCG(1, 1)))
		qt.Assert(t, f.submit(small, f.entries[1]), qt.Equals, http.StatusOK)
		f.runScheduled(time.Now().Add(2 * time.Second))
		qt.Check(t, f.checker.StartCount() > 12_000, qt.IsTrue, qt.Commentf("%d starts", f.checker.StartCount()))
		owner := f.owner()
		for _, m := range f.hosts {
			if m != owner {
				f.kill(m, false)
				f.after(200*time.Millisecond, func() { f.restart(m) })
			}
		}
		f.runScheduled(time.Now().Add(6 * time.Second))
		for _, job := range []*virtualJob{wide, small} {
			_, state := f.get(job, f.entries[0])
			qt.Check(t, state, qt.Equals, "completed")
		}
		f.closeAndCheck(1)
	})
}
