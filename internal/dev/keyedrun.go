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

// KeyedRun sends requests with idempotency keys to a fleet while it injects faults. The run checks that no request runs twice and
// that every outcome reported to a caller is correct. Seed determines the requests and the faults, but not the order in which they
// take effect.
type KeyedRun struct {
	Fleet         *Fleet
	Requests      int // number of keys
	Concurrency   int // number of concurrent callers
	Seed          uint64
	FaultInterval time.Duration // mean time between faults; 0: no faults
	Branch        string        // a branch whose requests are not idempotent

	client *http.Client
	mu     sync.Mutex // guards report
	report KeyedReport
}

// KeyedReport is the result of a KeyedRun. A key counts as done if any response to it has the outcome done. A key counts as not run
// if all responses to it have the outcome not_run. Any other key counts as unknown.
type KeyedReport struct {
	Requests     int            // number of keys
	RequestsSent int            // requests sent, including retries and duplicates
	Outcomes     map[string]int // responses by outcome; "lost": no complete response
	DoneKeys     int            // keys that count as done
	NotRunKeys   int            // keys that count as not run
	UnknownKeys  int            // keys that count as unknown
	Faults       map[string]int // injected faults by name
	RanTwice     []string       // keys that ran more than once
	FalseDone    []string       // keys that count as done but never ran
	FalseNotRun  []string       // keys that count as not run but ran
	Mismatched   []string       // keys whose response repeats the body of another request
	Duration     time.Duration
}

// Passed reports whether no request ran twice and no caller received a false outcome or the response to another request.
func (r KeyedReport) Passed() bool {
	return len(r.RanTwice)+len(r.FalseDone)+len(r.FalseNotRun)+len(r.Mismatched) == 0
}

// Parameters of the callers.
const (
	keyedMaxAttempts    = 4
	keyedRetryDelay     = 100 * time.Millisecond // doubled before each attempt after the first
	keyedRequestTimeout = 4 * time.Second        // per attempt
	duplicateFraction   = 0.05                   // fraction of requests whose first attempt goes to two entries concurrently
	settleDelay         = 8 * time.Second        // wait after the last request, so that delayed requests run before the check
)

// outcomeCounts counts the responses to one key by outcome.
type outcomeCounts struct{ done, notRun, other int }

// Run sends the requests and returns the report.
func (k *KeyedRun) Run(ctx context.Context) KeyedReport {
	startedAt := time.Now()
	k.report = KeyedReport{Requests: k.Requests, Outcomes: map[string]int{}, Faults: map[string]int{}}
	k.client = &http.Client{Timeout: keyedRequestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: k.Concurrency}}
	defer k.client.CloseIdleConnections()
	faultCtx, stopFaults := context.WithCancel(ctx)
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		k.injectFaults(faultCtx)
	}()
	counts := k.sendAll(ctx)
	stopFaults()
	<-faultsDone
	time.Sleep(settleDelay)
	k.checkRuns(counts)
	k.report.Duration = time.Since(startedAt)
	return k.report
}

func (k *KeyedRun) sendAll(ctx context.Context) []outcomeCounts {
	counts := make([]outcomeCounts, k.Requests)
	next := make(chan int)
	var wg sync.WaitGroup
	for range k.Concurrency {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range next {
				counts[i] = k.sendUntilDone(ctx, i)
			}
		}()
	}
	for i := range k.Requests {
		next <- i
	}
	close(next)
	wg.Wait()
	return counts
}

func (k *KeyedRun) key(i int) string { return fmt.Sprintf("order-%d-%d", k.Seed, i) }

// sendUntilDone sends request i to random entries until a response has the outcome done or keyedMaxAttempts is reached. It returns
// the outcomes of all responses.
func (k *KeyedRun) sendUntilDone(ctx context.Context, i int) outcomeCounts {
	rng := rand.New(rand.NewPCG(k.Seed, uint64(i)))
	var counts outcomeCounts
	for attempt := range keyedMaxAttempts {
		if attempt > 0 {
			time.Sleep(keyedRetryDelay << attempt)
		}
		outcomes := []string{}
		if attempt == 0 && rng.Float64() < duplicateFraction {
			outcomes = append(outcomes, k.sendTwice(ctx, i, rng.IntN(k.Fleet.Profile.Entries))...)
		} else {
			outcomes = append(outcomes, k.send(ctx, i, rng.IntN(k.Fleet.Profile.Entries)))
		}
		for _, outcome := range outcomes {
			counts.add(outcome)
		}
		if counts.done > 0 {
			break
		}
	}
	return counts
}

func (c *outcomeCounts) add(outcome string) {
	switch outcome {
	case "done":
		c.done++
	case "not_run":
		c.notRun++
	default:
		c.other++
	}
}

// sendTwice sends request i concurrently to the entry with the given index and to the next entry. It returns both outcomes.
func (k *KeyedRun) sendTwice(ctx context.Context, i, entryIndex int) []string {
	second := make(chan string, 1)
	go func() { second <- k.send(ctx, i, (entryIndex+1)%k.Fleet.Profile.Entries) }()
	first := k.send(ctx, i, entryIndex)
	return []string{first, <-second}
}

// send sends request i to the entry with the given index and returns the outcome of the response. The outcome is "lost" if no
// complete response arrives.
func (k *KeyedRun) send(ctx context.Context, i, entryIndex int) string {
	key := k.key(i)
	url := k.Fleet.EntryURL(entryIndex) + "/v1/run/" + k.Branch + "/-/order?ms=1"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte("body of "+key)))
	if err != nil {
		return "lost"
	}
	req.GetBody = nil // prevents retries by the HTTP transport, which the report would not count
	req.Header.Set("Idempotency-Key", key)
	outcome := k.sendAndVerify(req, key)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.report.RequestsSent++
	k.report.Outcomes[outcome]++
	return outcome
}

// sendAndVerify sends req and returns the outcome of the response. A response that repeats the body of another request is recorded in the
// report.
func (k *KeyedRun) sendAndVerify(req *http.Request, key string) string {
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

// checkRuns compares the outcomes that the callers received with the runs counted by the backend servers.
func (k *KeyedRun) checkRuns(counts []outcomeCounts) {
	runsByKey := map[string]int{}
	for i := range k.Fleet.Profile.Agents {
		for key, n := range k.Fleet.Agent(i).Backend.RunsByKey() {
			runsByKey[key] += n
		}
	}
	r := &k.report
	for i, c := range counts {
		key := k.key(i)
		runCount := runsByKey[key]
		if runCount > 1 {
			r.RanTwice = append(r.RanTwice, key)
		}
		switch {
		case c.done > 0:
			r.DoneKeys++
			if runCount == 0 {
				r.FalseDone = append(r.FalseDone, key)
			}
		case c.other == 0:
			r.NotRunKeys++
			if runCount > 0 {
				r.FalseNotRun = append(r.FalseNotRun, key)
			}
		default:
			r.UnknownKeys++
		}
	}
}
