package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	loopHosts = 11
	// loopJobs is the number of lasting jobs whose tasks fail loopFailure after each start.
	loopJobs    = 2
	loopFailure = time.Second
	// besideJobs is the number of ordinary jobs that are handed in with them, within handInTime: the lasting jobs are under a twentieth.
	besideJobs = 40
	handInTime = 3 * time.Second
	loopTime   = 5 * time.Second // before the last ordinary job is handed in
	// afterLoop is how long the ordinary job is waited for once the lasting jobs are cancelled.
	afterLoop = 20 * time.Second
)

// playCrashLoop hands in two lasting jobs whose tasks fail again and again, among ordinary ones, and then one more ordinary job. The rule is broken if nothing of the
// ordinary job runs for 4 s, finishTime after it was handed in, although it is done once the lasting jobs are cancelled.
func playCrashLoop(r *record, trouble bool) bool {
	w := newWorld(r)
	f := newFleet(w, loopHosts, 1, false)
	defer f.stop()
	c := f.newCaller()
	loops, begun := []string{}, time.Now()
	for n := range besideJobs {
		if trouble && n%(besideJobs/loopJobs) == 0 {
			loops = append(loops, c.handInLoop(len(loops)))
		}
		if !c.handIn(fmt.Sprintf("0000000000000b%02x", n), ordinaryJob(), 10*time.Second) {
			cannotRun("an ordinary job was not accepted")
		}
	}
	if took := time.Since(begun); took > handInTime {
		cannotRun(fmt.Sprintf("the jobs were handed in within %s", took))
	}
	r.note("clients: %d lasting jobs that fail among %d jobs, in %s", len(loops), besideJobs+len(loops), time.Since(begun))
	time.Sleep(loopTime)
	if !c.handIn(ordinaryID, ordinaryJob(), 10*time.Second) {
		cannotRun("the ordinary job was not accepted")
	}
	time.Sleep(finishTime)
	idle := w.isIdle(ordinaryID, 4*time.Second)
	_, state := c.state(0, ordinaryID)
	done := w.isDone(ordinaryID)
	r.note("the ordinary job after %s: %s", finishTime, state)
	fmt.Printf("the ordinary job %s after it was handed in: %s\n", finishTime, state)
	for n, id := range loops {
		status, _ := c.call(n, http.MethodDelete, id, "")
		r.note("client: DELETE %s -> %d", id, status)
	}
	time.Sleep(afterLoop)
	_, state = c.state(0, ordinaryID)
	r.note("the ordinary job after the cancellations: %s", state)
	fmt.Printf("%s after the cancellations: %s\n", afterLoop, state)
	return idle && !done && w.isDone(ordinaryID)
}

// handInLoop hands in a lasting job whose tasks fail again and again, and returns its id.
func (c *caller) handInLoop(n int) string {
	id := fmt.Sprintf("00000000000000d%d", n)
	c.world().failEach(id, loopFailure)
	if !c.handIn(id, &job{Spec: "watch", Steps: []step{{Count: loopHosts, CPU: 1000, MemMB: 1000, EstimateMs: 1000, AntiAffinity: 1,
		Perpetual: true, Image: "watch-image", TargetMs: 50}}}, 10*time.Second) {
		cannotRun("a lasting job was not accepted")
	}
	return id
}
