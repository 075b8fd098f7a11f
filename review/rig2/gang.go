package main

import (
	"fmt"
	"time"
)

const (
	servingID = "00000000000000d1"
	gangID    = "00000000000000e1"
	singleID  = "00000000000000f1"
	// hosts is the number of workers, on each of which one serving task of servingCPU works.
	gangHosts  = 6
	servingCPU = 8000
	fillingCPU = 10_000
	gangWidth  = 4
	singleTime = 20 * time.Second
)

// fillingJob returns a job of one step that fills, as a gang or not.
func fillingJob(gang bool) *job {
	return &job{Spec: "plan", Steps: []step{{Count: gangWidth, CPU: fillingCPU, MemMB: 1000, EstimateMs: 1500, Gang: gang, Fills: true, Image: "plan-image"}}}
}

// playGang hands in a gang that fills beside a job that serves. The rule is broken if nothing of the gang runs for 3 s, finishTime after the
// last job was handed in, although the same tasks without the gang are done.
func playGang(r *record, trouble bool) bool {
	w := newWorld(r)
	f := newFleet(w, gangHosts, 1, false)
	defer f.stop()
	c := f.newCaller()
	hand := func(id string, j *job) {
		if !c.handIn(id, j, 10*time.Second) {
			cannotRun("a job was not accepted")
		}
	}
	if trouble {
		hand(servingID, &job{Spec: "watch", Steps: []step{{Count: gangHosts, CPU: servingCPU, MemMB: 1000, EstimateMs: 1000, AntiAffinity: 1,
			Perpetual: true, Image: "watch-image", TargetMs: 50}}})
		f.await("the serving tasks are at work", 15*time.Second, func() bool { return w.runsOf(servingID) == gangHosts })
	}
	hand(gangID, fillingJob(true))
	time.Sleep(finishTime)
	idle := w.isIdle(gangID, 4*time.Second)
	_, gangState := c.state(0, gangID)
	gangDone := w.isDone(gangID)
	hand(singleID, fillingJob(false)) // shows that there is room
	time.Sleep(singleTime)
	_, singleState := c.state(0, singleID)
	singleDone := w.isDone(singleID)
	r.note("the gang: %s, the same tasks without the gang: %s", gangState, singleState)
	fmt.Printf("gang: %s; the same tasks without the gang: %s\n", gangState, singleState)
	if !singleDone {
		fmt.Println("the tasks without the gang are not done, so there may be no room")
	}
	return idle && !gangDone && singleDone
}
