package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
	"time"
)

func init() {
	scenarios["ends"] = playEnds
	scenarios["frame"] = playFrame
	scenarios["gang"] = playGang
	scenarios["pending"] = playPending
	scenarios["count"] = playCount
}

func specOf(s taskSpec) string {
	data, err := json.Marshal(s)
	if err != nil {
		panic(err) // cannot happen: the value has only plain types
	}
	return string(data)
}

// nonOwner returns the index of a host that does not own the jobs.
func (l *lab) nonOwner() int {
	owner := l.store.OwnerName()
	for i := range l.workers {
		if fmt.Sprintf("side-%d", i+1) != owner {
			return i
		}
	}
	return 0
}

// await waits until the condition holds and returns whether it does.
func await(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// playEnds kills the processes beside some workers while more tasks than a worker lists at a time come to their ends.
func playEnds(l *lab) ([]string, error) {
	const (
		id        = "5c0e7a21d94b36f8"
		numHosts  = 11
		numKilled = 6 // herd_kill, share 0.55
		tasks     = 11_000
		runTime   = 6 * time.Second
		downFor   = 2 * time.Second         // herd_kill, for_s
		killAfter = 5200 * time.Millisecond // after the first start
	)
	if err := l.startFleet(1, numHosts); err != nil {
		return nil, err
	}
	if !l.submit(id, job{Spec: specOf(taskSpec{RunMs: runTime.Milliseconds()}),
		Steps: []step{{Count: tasks, CPU: 50, MemMB: 50, EstimateMs: runTime.Milliseconds()}}}, 4) {
		return nil, errors.New("the job was not accepted")
	}
	if !await(5*time.Second, func() bool { return l.runs.startedCount(id, "") > 0 }) {
		return nil, errors.New("nothing was started")
	}
	time.Sleep(killAfter)
	if started := l.runs.startedCount(id, ""); started < tasks {
		return nil, fmt.Errorf("only %d of %d tasks were started in time", started, tasks)
	}
	if l.trouble {
		var killed []*proc
		for _, p := range l.procs[:numHosts] {
			if p.name != l.store.OwnerName() && len(killed) < numKilled {
				p.kill()
				killed = append(killed, p)
			}
		}
		time.Sleep(downFor)
		for _, p := range killed {
			if err := p.start(); err != nil {
				return nil, err
			}
		}
	}
	await(30*time.Second, func() bool {
		time.Sleep(500 * time.Millisecond)
		return l.state(id) == "completed"
	})
	time.Sleep(2 * time.Second)
	return l.runs.twice(), nil
}

// playFrame takes one worker away for good and hands in a job that fills the others.
func playFrame(l *lab) ([]string, error) {
	const (
		wide     = "00000000000000a0"
		small    = "00000000000000c0" // of another client
		numHosts = 8
		tasks    = 14_900
		taskCPU  = 30 // 2,133 tasks fill a worker
		runMs    = 1000
		finish   = 14 * time.Second // finish_s
		idle     = 3 * time.Second
	)
	if err := l.startFleet(1, numHosts); err != nil {
		return nil, err
	}
	if l.trouble {
		l.workers[l.nonOwner()].goAway()
	}
	time.Sleep(4 * time.Second)
	spec := taskSpec{RunMs: runMs}
	spec.Plan = strings.Repeat("x", 4000-len(specOf(taskSpec{RunMs: runMs, Plan: "x"}))+1)
	if !l.submit(wide, job{Spec: specOf(spec), Steps: []step{{Count: tasks, CPU: taskCPU, MemMB: 20, EstimateMs: runMs}}}, 4) {
		return nil, errors.New("the job was not accepted")
	}
	time.Sleep(time.Second)
	if !l.submit(small, job{Spec: specOf(taskSpec{RunMs: runMs}), Steps: []step{{Count: 1, CPU: 1000, MemMB: 100, EstimateMs: runMs}}}, 4) {
		return nil, errors.New("the small job was not accepted")
	}
	time.Sleep(finish)
	hasRun := map[string]bool{}
	ids := []string{wide, small}
	for end := time.Now().Add(idle); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, id := range ids {
			hasRun[id] = hasRun[id] || l.runs.activeCount(id) > 0
		}
	}
	var broken []string
	for _, id := range ids {
		if state := l.state(id); state != "completed" && !hasRun[id] {
			broken = append(broken, fmt.Sprintf("job %s is %q; nothing of it ran for %s, %s after the last job was accepted; %d of its runs were ever started",
				id, state, idle, finish, l.runs.startedCount(id, "")))
		}
	}
	return broken, nil
}

// playGang crashes the worker of one member of a gang that saves its progress.
func playGang(l *lab) ([]string, error) {
	const (
		id       = "7d0e7a21d94b36f8"
		numHosts = 8
		members  = 3
		runTime  = 12 * time.Second
		downFor  = 4500 * time.Millisecond
		contact  = 3 * time.Second
		// The crash comes right after a checkpoint, which the owner then knows from the other members only.
		crashAfter = 2*checkpointEvery + 30*time.Millisecond
	)
	if err := l.startFleet(1, numHosts); err != nil {
		return nil, err
	}
	if !l.submit(id, job{Spec: specOf(taskSpec{RunMs: runTime.Milliseconds(), Gang: members, Saves: true}),
		Steps: []step{{Count: members, CPU: 40_000, MemMB: 1000, EstimateMs: runTime.Milliseconds(), Checkpointing: true, Gang: true}}}, 4) {
		return nil, errors.New("the job was not accepted")
	}
	if !await(5*time.Second, func() bool { return l.runs.startedCount(id, "") == members }) {
		return nil, errors.New("the gang was not started")
	}
	calm := time.Now()
	if l.trouble {
		time.Sleep(crashAfter)
		victim := l.nonOwner()
		for i, w := range l.workers {
			if l.runs.startedCount(id, w.name) > 0 && fmt.Sprintf("side-%d", i+1) != l.store.OwnerName() {
				victim = i
			}
		}
		l.workers[victim].crash(downFor)
		calm = time.Now().Add(contact)
	}
	completed := await(50*time.Second, func() bool {
		time.Sleep(500 * time.Millisecond)
		return l.state(id) == "completed"
	})
	broken := l.gangs.alonesSince(calm)
	if !completed {
		broken = append(broken, fmt.Sprintf("the job is not completed, but %s", l.state(id)))
	}
	return broken, nil
}

// playPending lets one worker reject starts for some time, and asks for the number of pending jobs.
func playPending(l *lab) ([]string, error) {
	const (
		numHosts     = 10
		numJobs      = 12
		unhealthyFor = 6500 * time.Millisecond
		visible      = 5 * time.Second // visible_ms and 2 s
	)
	if err := l.startFleet(1, numHosts); err != nil {
		return nil, err
	}
	w := l.workers[numHosts-1] // the only one of its rack
	began := time.Now()
	if l.trouble {
		w.setUnhealthy(true)
		time.AfterFunc(unhealthyFor, func() { w.setUnhealthy(false) })
	}
	acceptedAt := map[string]time.Time{}
	for i := range numJobs {
		id := fmt.Sprintf("%016x", 0xb0+i)
		if !l.submit(id, job{Spec: specOf(taskSpec{RunMs: 500}),
			Steps: []step{{Count: 1, CPU: 1000, MemMB: 100, EstimateMs: 500, Requirements: w.rack}}}, 4) {
			return nil, errors.New("a job was not accepted")
		}
		acceptedAt[id] = time.Now()
	}
	var broken []string
	for time.Since(began) < unhealthyFor-200*time.Millisecond {
		sent := time.Now()
		pending := l.pending(l.fronts[0])
		notBegun := 0 // at the time of the answer
		for id, at := range acceptedAt {
			if sent.Sub(at) > visible && l.runs.startedCount(id, "") == 0 {
				notBegun++
			}
		}
		if pending >= 0 && 2*pending < notBegun {
			broken = append(broken, fmt.Sprintf("pending is %d, and %d jobs that were accepted over %s before have not begun", pending, notBegun, visible))
		}
		time.Sleep(200 * time.Millisecond)
	}
	if !await(20*time.Second, func() bool {
		time.Sleep(200 * time.Millisecond)
		for id := range acceptedAt {
			if l.state(id) != "completed" {
				return false
			}
		}
		return true
	}) {
		return nil, errors.New("the jobs were not completed after the worker was healthy again")
	}
	return broken, nil
}

// playCount lets one client hand in a job that can never be done, while another one hands in ordinary jobs.
func playCount(l *lab) ([]string, error) {
	const (
		bad        = "00000000000000d0"
		numHosts   = 5
		numJobs    = 20
		gap        = 500 * time.Millisecond
		hugeCount  = math.MaxInt64
		maxOwnEnds = 2 // of a process; three count
	)
	if err := l.startFleet(1, numHosts); err != nil {
		return nil, err
	}
	badDone := make(chan struct{})
	go func() {
		defer close(badDone)
		if l.trouble {
			huge := step{Count: hugeCount, CPU: 1000, MemMB: 100, EstimateMs: 500}
			l.submit(bad, job{Spec: specOf(taskSpec{RunMs: 500}), Steps: []step{huge, huge}}, 1+clientRetries)
		}
	}()
	accepted := 0
	for i := range numJobs {
		if l.submit(fmt.Sprintf("%016x", 0xe0+i), job{Spec: specOf(taskSpec{RunMs: 500}),
			Steps: []step{{Count: 2, CPU: 1000, MemMB: 100, EstimateMs: 500}}}, 1+clientRetries) {
			accepted++
		}
		time.Sleep(gap)
	}
	<-badDone
	l.rec.logf("%d of %d ordinary jobs were accepted", accepted, numJobs)
	var broken []string
	for _, p := range l.procs {
		if n := p.ownEndCount(); n > maxOwnEnds {
			broken = append(broken, fmt.Sprintf("%s has ended by itself %d times", p.name, n))
		}
	}
	if len(broken) < 2 {
		return nil, nil // two machines at least
	}
	return broken, nil
}
