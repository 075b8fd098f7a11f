package dev

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// KeyedRun sends keyed requests to a fleet under faults and checks that none runs twice and that every outcome told to
// a caller is true. The seed determines requests and faults; their interleaving is up to the machine.
type KeyedRun struct {
	Fleet       *Fleet
	Requests    int
	Concurrency int
	Seed        uint64
	FaultEvery  time.Duration // mean time between faults, 0: none
	Branch      string        // a branch that is not idempotent

	client *http.Client
	mu     sync.Mutex // guards report
	report KeyedReport
}

// KeyedReport counts what happened. Keys are counted by the best answer that their caller got.
type KeyedReport struct {
	Requests   int            // keys
	Sends      int            // requests sent, repeats included
	Outcomes   map[string]int // answers by outcome; "lost" for none
	Done       int            // keys answered done
	NotRun     int            // keys with only not_run answers
	Unknown    int            // other keys
	Faults     map[string]int
	Doubled    []string // keys that ran more than once
	FalseDone  []string // keys answered done that never ran
	FalseNot   []string // keys with only not_run answers that ran
	Mismatched []string // keys answered with another request's body
	Took       time.Duration
}

// Sound reports whether nothing ran twice and no caller was told something false.
func (r KeyedReport) Sound() bool {
	return len(r.Doubled)+len(r.FalseDone)+len(r.FalseNot)+len(r.Mismatched) == 0
}

// Tries and shares of the callers.
const (
	keyedTries   = 4
	keyedPause   = 100 * time.Millisecond // between the tries of one caller
	keyedTimeout = 4 * time.Second        // a caller's patience for one try
	shareTwice   = 0.05                   // of requests sent to two entries at the same time
	settleTime   = 8 * time.Second        // after the last request, for late arrivals
)

// verdict collects the answers that a key's caller got.
type verdict struct{ done, notRun, other int }

// Run sends the requests and returns the report.
func (k *KeyedRun) Run(ctx context.Context) KeyedReport {
	started := time.Now()
	k.report = KeyedReport{Requests: k.Requests, Outcomes: map[string]int{}, Faults: map[string]int{}}
	k.client = &http.Client{Timeout: keyedTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: k.Concurrency}}
	defer k.client.CloseIdleConnections()
	faultCtx, stopFaults := context.WithCancel(ctx)
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		k.injectFaults(faultCtx)
	}()
	verdicts := k.sendAll(ctx)
	stopFaults()
	<-faultsDone
	time.Sleep(settleTime)
	k.compare(verdicts)
	k.report.Took = time.Since(started)
	return k.report
}

func (k *KeyedRun) sendAll(ctx context.Context) []verdict {
	verdicts := make([]verdict, k.Requests)
	next := make(chan int)
	var wg sync.WaitGroup
	for range k.Concurrency {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range next {
				verdicts[i] = k.caller(ctx, i)
			}
		}()
	}
	for i := range k.Requests {
		next <- i
	}
	close(next)
	wg.Wait()
	return verdicts
}

func (k *KeyedRun) key(i int) string { return fmt.Sprintf("order-%d-%d", k.Seed, i) }

// caller sends one request until it is done, each time at a random entry.
func (k *KeyedRun) caller(ctx context.Context, i int) verdict {
	rng := rand.New(rand.NewPCG(k.Seed, uint64(i)))
	var v verdict
	for try := range keyedTries {
		if try > 0 {
			time.Sleep(keyedPause << try)
		}
		answers := []string{}
		if try == 0 && rng.Float64() < shareTwice {
			answers = append(answers, k.twice(ctx, i, rng.IntN(k.Fleet.Profile.Entries))...)
		} else {
			answers = append(answers, k.send(ctx, i, rng.IntN(k.Fleet.Profile.Entries)))
		}
		for _, a := range answers {
			v.count(a)
		}
		if v.done > 0 {
			break
		}
	}
	return v
}

func (v *verdict) count(outcome string) {
	switch outcome {
	case "done":
		v.done++
	case "not_run":
		v.notRun++
	default:
		v.other++
	}
}

func (k *KeyedRun) twice(ctx context.Context, i, entry int) []string {
	second := make(chan string, 1)
	go func() { second <- k.send(ctx, i, (entry+1)%k.Fleet.Profile.Entries) }()
	first := k.send(ctx, i, entry)
	return []string{first, <-second}
}

// send makes one request and returns its outcome; "lost" without an answer.
func (k *KeyedRun) send(ctx context.Context, i, entry int) string {
	key := k.key(i)
	url := k.Fleet.EntryURL(entry) + "/v1/run/" + k.Branch + "/-/order?ms=1"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte("body of "+key)))
	if err != nil {
		return "lost"
	}
	req.GetBody = nil // the caller's own transport must not repeat it unseen
	req.Header.Set("Idempotency-Key", key)
	outcome := k.receive(req, key)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.report.Sends++
	k.report.Outcomes[outcome]++
	return outcome
}

func (k *KeyedRun) receive(req *http.Request, key string) string {
	resp, err := k.client.Do(req)
	if err != nil {
		return "lost"
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	outcome := resp.Header.Get("Bf-Outcome")
	if err != nil || outcome == "" {
		return "lost"
	}
	if outcome == "done" && resp.Header.Get("Bf-Body") == "" && !bytes.HasSuffix(body, []byte("body of "+key+"\n")) {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.report.Mismatched = append(k.report.Mismatched, fmt.Sprintf("%s: %q", key, body))
	}
	return outcome
}

// compare checks what the callers were told against what the backend servers ran.
func (k *KeyedRun) compare(verdicts []verdict) {
	runs := map[string]int{}
	for i := range k.Fleet.Profile.Agents {
		for key, n := range k.Fleet.Agent(i).Backend.Runs() {
			runs[key] += n
		}
	}
	r := &k.report
	for i, v := range verdicts {
		key := k.key(i)
		n := runs[key]
		if n > 1 {
			r.Doubled = append(r.Doubled, key)
		}
		switch {
		case v.done > 0:
			r.Done++
			if n == 0 {
				r.FalseDone = append(r.FalseDone, key)
			}
		case v.other == 0:
			r.NotRun++
			if n > 0 {
				r.FalseNot = append(r.FalseNot, key)
			}
		default:
			r.Unknown++
		}
	}
}
