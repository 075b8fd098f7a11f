package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func randomJob(rng *rand.Rand, n int) *job {
	j := &job{id: fmt.Sprintf("%08x%08x", rng.Uint32(), n), Spec: fmt.Sprintf("spec %d é<&>", n)}
	steps := 1 + rng.IntN(3)
	for i := range steps {
		s := step{Count: 1 + rng.IntN(6), CPU: 500 + rng.IntN(3000), MemMB: 100 + rng.IntN(3000), EstimateMs: 200 + rng.IntN(3000)}
		if i > 0 {
			s.After = []int{rng.IntN(i)}
		}
		switch rng.IntN(7) {
		case 0, 1, 2:
			s.Gang, s.Checkpointing, s.SameRack = true, rng.IntN(2) == 0, rng.IntN(2) == 0
			s.Count = 2 + rng.IntN(7)
		case 3:
			s.Requirements = []string{"a", "b", "r1-1"}[rng.IntN(3)]
		case 4:
			s.GPU = 1 + rng.IntN(2)
		case 5:
			s.AntiAffinity = 1 + rng.IntN(2)
			s.Affinity = "r1-0"
		}
		if rng.IntN(4) == 0 {
			s.Checkpointing = true
		}
		j.Steps = append(j.Steps, s)
	}
	if rng.IntN(5) == 0 {
		j.Repeats, j.StartAtMs, j.IntervalMs = 1+rng.IntN(3), time.Now().UnixMilli()+int64(rng.IntN(4000)), int64(500+rng.IntN(3000))
	}
	return j
}

func playFuzz(r *record, trouble bool) bool {
	seed := uint64(envInt("SEED", 1))
	what := os.Getenv("WHAT")
	rng := rand.New(rand.NewPCG(seed, 7))
	w := newWorld(r, seed)
	if os.Getenv("ADVICE") != "" {
		w.tickets = map[string]time.Time{}
	}
	f := newFleet(w, 6, 2, false)
	defer f.stop()
	begin := time.Now()
	until := begin.Add(time.Duration(envInt("SECONDS", 25)) * time.Second)
	w.mu.Lock()
	if what == "" || !trouble {
		w.calmFrom = begin
	}
	w.mu.Unlock()
	var wg sync.WaitGroup
	go func() {
		if what == "" || !trouble {
			return
		}
		for time.Now().Before(until) {
			time.Sleep(time.Duration(1500+rng.IntN(2500)) * time.Millisecond)
			kinds := strings.Split(what, ",")
			switch kinds[rng.IntN(len(kinds))] {
			case "owner":
				if o := f.owner(); o != nil {
					r.note("kill owner %s", o.name)
					o.signal(syscall.SIGKILL, true)
				}
			case "host":
				h := f.hosts[rng.IntN(len(f.hosts))]
				r.note("kill %s", h.name)
				h.signal(syscall.SIGKILL, true)
			case "term":
				h := f.hosts[rng.IntN(len(f.hosts))]
				r.note("term %s", h.name)
				h.signal(syscall.SIGTERM, true)
			case "freeze":
				h := f.hosts[rng.IntN(len(f.hosts))]
				if o := f.owner(); o != nil && rng.IntN(2) == 0 {
					h = o
				}
				d := time.Duration(1000+rng.IntN(11000)) * time.Millisecond
				r.note("freeze %s %s", h.name, d)
				h.signal(syscall.SIGSTOP, false)
				go func() { time.Sleep(d); h.signal(syscall.SIGCONT, false) }()
			case "crash":
				f.runners[rng.IntN(len(f.runners))].crash(time.Duration(300+rng.IntN(3000)) * time.Millisecond)
			case "mute":
				k := f.runners[rng.IntN(len(f.runners))]
				w.mu.Lock()
				k.mute = true
				r.note("mute %s", k.id)
				w.mu.Unlock()
				time.AfterFunc(time.Duration(1000+rng.IntN(11000))*time.Millisecond, func() { w.mu.Lock(); k.mute = false; w.mu.Unlock() })
			case "late":
				w.mu.Lock()
				w.lateShare = 0.2
				w.mu.Unlock()
			case "all":
				r.note("kill all")
				for _, p := range f.processes() {
					p.signal(syscall.SIGKILL, true)
				}
				time.Sleep(4 * time.Second)
			}
		}
		w.mu.Lock()
		w.lateShare = 0
		w.mu.Unlock()
	}()
	jobs := []*job{}
	for n := 0; time.Now().Before(until); n++ {
		j := randomJob(rand.New(rand.NewPCG(seed, uint64(1000+n))), n)
		jobs = append(jobs, j)
		wg.Go(func() {
			c := f.newCaller()
			body, err := json.Marshal(j)
			if err != nil {
				panic(err)
			}
			w.mu.Lock()
			w.jobs[j.id] = j
			j.sentAt = time.Now()
			w.mu.Unlock()
			status := c.submit(j.id, string(body), 20*time.Second)
			if status != 200 {
				r.note("client: gives up %s %d", j.id, status)
				return
			}
			w.mu.Lock()
			j.ackedAt = time.Now()
			w.mu.Unlock()
			if n%8 == 7 {
				time.Sleep(time.Duration(n%5) * 300 * time.Millisecond)
				w.mu.Lock()
				j.cancelSent = time.Now()
				w.mu.Unlock()
				for range 20 {
					status, _ := c.call(n, http.MethodDelete, j.id, "")
					if status == 200 || status == 410 {
						w.mu.Lock()
						j.cancelAck = time.Now()
						r.note("client: DELETE %s -> %d", j.id, status)
						w.mu.Unlock()
						break
					}
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
		time.Sleep(time.Duration(100+rng.IntN(300)) * time.Millisecond)
	}
	wg.Wait()
	c := f.newCaller()
	open := jobs
	end := time.Now().Add(time.Duration(envInt("FINISH", 30)) * time.Second)
	for len(open) > 0 && time.Now().Before(end) {
		left := []*job{}
		for i, j := range open {
			if j.ackedAt.IsZero() {
				continue
			}
			w.mu.Lock()
			before := w.jobDone(j)
			_ = before
			w.mu.Unlock()
			status, text := c.state(i, j.id)
			w.mu.Lock()
			done := w.jobDone(j)
			w.mu.Unlock()
			switch {
			case status == 410:
				w.mu.Lock()
				w.violate("LOST %s: 410", j.id)
				w.mu.Unlock()
			case strings.Contains(text, "completed"):
				if !done {
					w.mu.Lock()
					w.violate("MIXED %s completed while a task has not ended so", j.id)
					w.mu.Unlock()
				}
			case strings.Contains(text, "cancelled"):
				if j.cancelSent.IsZero() {
					w.mu.Lock()
					w.violate("LOST %s cancelled", j.id)
					w.mu.Unlock()
				}
			case strings.Contains(text, "failed"):
				w.mu.Lock()
				worst := 0
				for _, t := range w.tasks {
					if t.job == j {
						worst = max(worst, t.fails)
					}
				}
				gangFails := 0
				for _, t := range w.tasks {
					if t.job == j && t.step().Gang {
						gangFails += t.fails
					}
				}
				r.note("job %s failed, worst %d gang %d", j.id, worst, gangFails)
				if worst < 3 && gangFails < 3 {
					w.violate("LOST %s failed without cause (%d)", j.id, worst)
				}
				w.mu.Unlock()
			default:
				left = append(left, j)
			}
		}
		open = left
		time.Sleep(500 * time.Millisecond)
	}
	for _, j := range open {
		status, text := c.state(0, j.id)
		w.mu.Lock()
		w.violate("LOST? %s is not over: %d %s", j.id, status, text)
		w.mu.Unlock()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range f.processes() {
		if p.ownEnds > 0 {
			w.violate("Fault %s ended by itself %d times", p.name, p.ownEnds)
		}
	}
	fmt.Println(what, seed, "jobs", len(jobs), w.counts)
	for _, v := range w.violations {
		fmt.Println("  ", v)
	}
	return len(w.violations) > 0
}

func envInt(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

func init() { cases["fuzz"] = playFuzz }
