package main

import (
	"fmt"
	"time"
)

// playDrain makes a runner leave orders unanswered while it reports that it drains.
func playDrain(r *record, trouble bool) bool {
	w := newWorld(r, 1)
	f := newFleet(w, 4, 1, false)
	defer f.stop()
	c := f.newCaller()
	n := 0
	deadline := time.Now().Add(25 * time.Second)
	go func() {
		time.Sleep(5 * time.Second)
		x := f.runners[1]
		if f.owner() == f.hosts[1] {
			x = f.runners[2]
		}
		w.mu.Lock()
		x.mute = trouble
		w.mu.Unlock()
		time.Sleep(700 * time.Millisecond)
		w.mu.Lock()
		x.draining = true
		r.note("runner %s drains, mute %v", x.id, trouble)
		w.mu.Unlock()
		x.beatOnce(f.ctx)
		time.Sleep(time.Duration(envInt("MUTE", 4500)) * time.Millisecond)
		w.mu.Lock()
		x.mute = false
		r.note("runner %s answers again", x.id)
		w.mu.Unlock()
	}()
	for time.Now().Before(deadline) {
		n++
		c.handIn(fmt.Sprintf("%016x", n), &job{Spec: "x", Steps: []step{{Count: 12, CPU: 2000, MemMB: 100, EstimateMs: 700}}}, 5*time.Second)
		time.Sleep(100 * time.Millisecond)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Println(w.counts, w.violations)
	return len(w.violations) > 0
}

func init() { cases["drain"] = playDrain }
