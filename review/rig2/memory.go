package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	ordinaryID = "00000000000000a1"
	// crowdJobs is the number of large jobs, which crowdClients hand in one after the other.
	crowdJobs    = 600
	crowdClients = 8
	crowdTime    = 25 * time.Second // at most
	// finishTime is finish_s of a small deployment.
	finishTime = 14 * time.Second
	// askTime is how long an accepted job is asked for at all entries.
	askTime = 20 * time.Second
)

func ordinaryJob() *job {
	return &job{Spec: "scan", Steps: []step{{Count: 6, CPU: 960, MemMB: 1900, EstimateMs: 640}}}
}

// largeJob returns a job whose steps run one after the other, each after all earlier ones. Its body has under half of the bytes that the
// manifest allows.
func largeJob() *job {
	const steps = 250
	j := &job{Spec: "plan"}
	for i := range steps {
		s := step{Count: 1, CPU: 1000, MemMB: 100, EstimateMs: 500}
		for a := range i {
			s.After = append(s.After, a)
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

// playMemory lets clients hand in many large jobs of legal size at once. The rule is broken if an accepted job gets no answer afterwards.
func playMemory(r *record, trouble bool) bool {
	w := newWorld(r)
	f := newFleet(w, 11, 3, true)
	defer f.stop()
	c := f.newCaller()
	if !c.handIn(ordinaryID, ordinaryJob(), 10*time.Second) {
		cannotRun("the ordinary job was not accepted")
	}
	accepted := []string{ordinaryID}
	if trouble {
		accepted = append(accepted, f.handInCrowd()...)
	}
	fmt.Printf("%d jobs accepted\n", len(accepted))
	time.Sleep(finishTime)
	unanswered := 0
	asked := []string{accepted[0], accepted[len(accepted)-1]}
	for _, id := range asked {
		if !c.isAnswered(id, askTime/time.Duration(len(asked))) {
			unanswered++
		}
	}
	for _, p := range f.processes() {
		p.mu.Lock()
		if p.killed > 0 {
			fmt.Printf("%s: killed %d times above %d MB\n", p.name, p.killed, p.memoryMB)
		}
		p.mu.Unlock()
	}
	fmt.Printf("%d of %d accepted jobs that were asked for got no answer\n", unanswered, len(asked))
	return unanswered > 0
}

// handInCrowd hands in the large jobs and returns the ids of the accepted ones.
func (f *fleet) handInCrowd() (accepted []string) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	numbers, end := make(chan int), time.Now().Add(crowdTime)
	for range crowdClients {
		wg.Go(func() {
			c := f.newCaller()
			for n := range numbers {
				id := fmt.Sprintf("b%015x", n)
				if c.handIn(id, largeJob(), 3*time.Second) {
					mu.Lock()
					accepted = append(accepted, id)
					mu.Unlock()
				}
			}
		})
	}
	for n := 0; n < crowdJobs && time.Now().Before(end); n++ {
		numbers <- n
	}
	close(numbers)
	wg.Wait()
	return accepted
}

// isAnswered asks all entries in turn for the state of the job until one answers 200 or the time is over.
func (c *caller) isAnswered(id string, most time.Duration) bool {
	for front, end := 0, time.Now().Add(most); time.Now().Before(end); front++ {
		status, text := c.call(front, http.MethodGet, id, "")
		c.fleet.record.note("client: GET %s at %s -> %d %s", id, c.fleet.fronts[front%len(c.fleet.fronts)].name, status, text)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}
