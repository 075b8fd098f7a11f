package deployed

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against tasks that are placed on the worker of a host that has gone dark: until the connection counts as lost, the agent of that
// host was taken for present, and tasks that had just lost their worker stayed away for another hold.
func TestTasksAreNotPlacedOnADarkHost(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLastingFleet(t, seed)
				defer f.close()
				owner, dark := f.owner(), f.otherHost()
				f.loseHost(dark)
				missing := lastingTasks - f.checker.RunningTaskCount(lastingJob)
				time.Sleep(600 * time.Millisecond)
				for _, m := range f.hosts {
					if m != owner && m != dark {
						m.worker.Crash()
					}
				}
				time.Sleep(3 * time.Second)
				if running := f.checker.RunningTaskCount(lastingJob); running != lastingTasks-missing {
					t.Errorf("%d tasks run, want %d", running, lastingTasks-missing)
				}
			})
		})
	}
}
