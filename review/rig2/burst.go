package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	burstHosts = 3
	burstTime  = 80 * time.Second // of all cycles, at most
	// burstTasks is the width of the large job. Its tasks take the memory of all workers.
	burstTasks = 30
	burstMemMB = 12_800
	burstCPU   = 3000
	// cycleTime bounds one cycle.
	cycleTime = 9 * time.Second
)

// playBurst hands in, again and again, a lasting job of a queue with advice and then a job that fills, while a large job takes all memory.
// The rule is broken if processes end by themselves three times on two machines.
func playBurst(r *record, trouble bool) bool {
	w := newWorld(r)
	w.tickets = map[string]time.Time{}
	f := newFleet(w, burstHosts, 1, false)
	defer f.stop()
	c, advised := f.newCaller(), f.newCaller()
	advised.prefix = advisedPrefix
	for n, begun := 0, time.Now(); time.Since(begun) < burstTime && f.machinesWith(brokenEnds) < brokenMachines; n++ {
		id := func(kind string) string { return fmt.Sprintf("%014x%s", n+1, kind) }
		end := time.Now().Add(cycleTime)
		if trouble {
			large := &job{Spec: "plan", Steps: []step{{Count: burstTasks, CPU: burstCPU, MemMB: burstMemMB, EstimateMs: 1500}}}
			if !c.handIn(id("b1"), large, cycleTime) {
				cannotRun("the large job was not accepted")
			}
			f.await("the large job works", cycleTime, func() bool { return w.runsOf(id("b1")) > 0 || w.isDone(id("b1")) })
		}
		if !advised.handIn(id("c1"), &job{Spec: "watch", advised: true, Steps: []step{{Count: 1, CPU: 1000, MemMB: 1000, EstimateMs: 1000,
			Perpetual: true, Image: "watch-image", TargetMs: 50}}}, cycleTime) {
			cannotRun("the lasting job was not accepted")
		}
		time.Sleep(150 * time.Millisecond)
		if !c.handIn(id("e1"), &job{Spec: "plan", Steps: []step{{Count: 3, CPU: 1000, MemMB: 1000, EstimateMs: 1000, Fills: true,
			Image: "plan-image"}}}, cycleTime) {
			cannotRun("the job that fills was not accepted")
		}
		for !(w.isDone(id("e1")) && w.runsOf(id("c1")) > 0) && time.Now().Before(end) {
			time.Sleep(50 * time.Millisecond)
		}
		for status := 0; status != http.StatusOK && time.Now().Before(end.Add(cycleTime)); time.Sleep(100 * time.Millisecond) {
			status, _ = advised.call(0, http.MethodDelete, id("c1"), "")
			r.note("client: DELETE %s -> %d", id("c1"), status)
		}
		for w.runsOf(id("c1")) > 0 && time.Now().Before(end.Add(cycleTime)) {
			time.Sleep(50 * time.Millisecond)
		}
	}
	for _, p := range f.processes() {
		p.mu.Lock()
		fmt.Printf("%s: ended %d times by itself\n", p.name, p.ownEnds)
		p.mu.Unlock()
		for _, line := range p.panics() {
			r.note("log of %s: %s", p.name, line)
		}
	}
	return f.machinesWith(brokenEnds) >= brokenMachines
}

// machinesWith returns the number of machines on which a process has ended by itself so many times.
func (f *fleet) machinesWith(ends int) (machines int) {
	for _, p := range f.processes() {
		p.mu.Lock()
		if p.ownEnds >= ends {
			machines++
		}
		p.mu.Unlock()
	}
	return machines
}

// panics returns the lines of the log of the process that tell of a panic.
func (p *process) panics() (lines []string) {
	for line := range strings.Lines(p.log()) {
		if strings.HasPrefix(line, "panic:") {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}
