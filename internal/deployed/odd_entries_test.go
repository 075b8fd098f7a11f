package deployed

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/jobowner"
)

// oddValues are values that another writer may leave in the store.
var oddValues = []string{"", "null", "[]", "\xff\xfe", strings.Repeat("[", 20_000), `{"name":"host-1","addr":"10.0.0.10:99999999","agent":true,"epoch":1e300}`,
	`{"seq":9223372036854775807,"epoch":9223372036854775807,"writer":{}}`, strings.Repeat("x", 100_000)}

// Guards against processes that end again and again, or do not follow the store any more, because another writer has left odd entries among
// those of the programs.
func TestOddEntriesInTheStoreCostOnlyThemselves(t *testing.T) {
	for i, odd := range oddValues {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newVirtualFleet(t, uint64(i))
				perpetual, _ := f.startPerpetualJobs()
				for _, key := range []string{jobowner.MemberPrefix, jobowner.MemberPrefix + "zzz", jobowner.MemberPrefix + "host-77", logKeyPrefix + "/learned",
					logKeyPrefix + "/log/0000", logKeyPrefix + "/log/zzz", logKeyPrefix + "/snap/0"} {
					f.store.Put(key, []byte(odd))
				}
				for range 3 { // back and forth
					m := f.hostOtherThanOwner()
					announced := f.store.Value(jobowner.MemberPrefix + m.cfg.Name)
					f.store.Put(jobowner.MemberPrefix+m.cfg.Name, []byte(odd))
					f.store.Put(ownerKey, []byte(odd))
					f.runScheduled(time.Now().Add(2 * time.Second))
					f.store.Put(jobowner.MemberPrefix+m.cfg.Name, announced)
					f.runScheduled(time.Now().Add(2 * time.Second))
				}
				killOwner(f)
				f.runScheduled(time.Now().Add(4 * time.Second))
				job := &virtualJob{id: fmt.Sprintf("%c%015x", shortJob, i), taskCount: 2, body: `{"spec":"x","steps":[{"count":2,"cpu":2000,"mem_mb":100,"estimate_ms":300}]}`}
				qt.Check(t, f.submit(job, f.entries[0]), qt.Equals, http.StatusOK)
				f.runScheduled(time.Now().Add(3 * time.Second))
				_, state := f.get(job, f.entries[1])
				qt.Check(t, state, qt.Equals, "completed")
				for _, violation := range f.violations {
					t.Error(violation)
				}
				f.checkRunningAfter(uint64(i), perpetual, lostTaskLimit)
			})
		})
	}
}
