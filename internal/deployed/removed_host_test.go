package deployed

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a perpetual task that stays away for the whole hold after its worker has said that it ends: the host was removed while
// there was no owner, so that only the agent of the removed host knew of the end.
func TestTaskOfARemovedHostIsRestartedByTheNextOwner(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playRemovedHost(t, seed) })
		})
	}
}

func playRemovedHost(t *testing.T, seed uint64) {
	const restartLimit = 6 * time.Second // from which the operators count a perpetual task as missing
	f := newVirtualFleet(t, seed)
	defer f.close()
	time.Sleep(2 * time.Second)
	const id, tasks = "b000000000000001", 12
	body := fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":2000,"mem_mb":100,"estimate_ms":300,"perpetual":true,"anti_affinity":3}]}`, tasks)
	code, answer := f.request(f.entries[0], http.MethodPost, id, body)
	if code != http.StatusOK {
		t.Fatal(code, answer)
	}
	time.Sleep(2 * time.Second)
	if running := f.checker.RunningTaskCount(id); running != tasks {
		t.Fatalf("%d of %d tasks run", running, tasks)
	}

	owner := f.owner()
	removed := f.hosts[0]
	if removed == owner {
		removed = f.hosts[1]
	}
	f.network.setLink(owner.ip, owner.storeIP, linkFaults{cut: true})
	for _, m := range f.machines() {
		if m != owner {
			f.network.setLink(owner.ip, m.ip, linkFaults{cut: true})
			f.network.setLink(m.ip, owner.ip, linkFaults{cut: true})
		}
	}
	removed.left = true
	removed.stopRegister()
	removed.worker.Crash()
	removed.workerServer.Close()
	removed.worker.Unregister(f.client, removed.cfg.Listen.Registrations)
	removedAt := time.Now()
	time.Sleep(300 * time.Millisecond)
	f.stop(removed)
	lost := tasks - f.checker.RunningTaskCount(id)
	if lost == 0 {
		t.Fatal("no task ran on the removed host")
	}
	for f.checker.RunningTaskCount(id) < tasks && time.Since(removedAt) < 3*restartLimit {
		time.Sleep(50 * time.Millisecond)
	}
	if took := time.Since(removedAt); took > restartLimit {
		t.Errorf("%d tasks of %s run again after %s, want %s", lost, removed.cfg.Name, took, restartLimit)
	}
}
