package dev_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bamboofork/internal/dev"
	"bamboofork/internal/entry"
	"bamboofork/internal/ledger"
	"bamboofork/internal/worker"
)

// startFleet starts a fleet of the workshop profile with an additional branch for urgent plans and waits until the fleet is ready.
func startFleet(t *testing.T, ctx context.Context) *dev.Fleet {
	p, err := dev.Workshop()
	qt.Assert(t, err, qt.IsNil)
	p.InitialSettings.Branches["workshop/urgent-plans"] = map[string]string{"class": "batch", "kind": "moulding-plan", "priority": "95"}
	fleet, err := dev.Start(p, zerolog.Nop())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { qt.Check(t, fleet.Stop(), qt.IsNil) })
	qt.Assert(t, fleet.WaitReady(ctx), qt.IsNil)
	return fleet
}

func submitJob(t *testing.T, ctx context.Context, f *dev.Fleet, key string, r entry.JobRequest) string {
	body, err := json.Marshal(r)
	qt.Assert(t, err, qt.IsNil)
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.EntryURL(0)+entry.PathJobs, bytes.NewReader(body))
		qt.Assert(t, err, qt.IsNil)
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("Idempotency-Key", key)
		resp, err := http.DefaultClient.Do(req)
		qt.Assert(t, err, qt.IsNil)
		respBody, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		qt.Assert(t, err, qt.IsNil)
		if resp.StatusCode == http.StatusAccepted {
			var out struct{ ID string }
			qt.Assert(t, json.Unmarshal(respBody, &out), qt.IsNil)
			return out.ID
		}
		select { // right after the start, partitions may not have an owner yet
		case <-ctx.Done():
			t.Fatalf("status %d: %s", resp.StatusCode, respBody)
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func getJob(t *testing.T, ctx context.Context, f *dev.Fleet, id string) ledger.Job {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.EntryURL(0)+entry.PathJobs+"/"+id, nil)
	qt.Assert(t, err, qt.IsNil)
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	var job ledger.Job
	if resp.StatusCode == http.StatusOK {
		qt.Assert(t, json.NewDecoder(resp.Body).Decode(&job), qt.IsNil)
	}
	return job
}

func awaitJob(t *testing.T, ctx context.Context, f *dev.Fleet, id string, ok func(ledger.Job) bool) ledger.Job {
	for {
		job := getJob(t, ctx, f, id)
		if ok(job) {
			return job
		}
		select {
		case <-ctx.Done():
			t.Fatalf("job %s: %+v", id, job)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// atLeast returns a predicate that reports whether at least n tasks of a job are in the state.
func atLeast(state ledger.TaskState, n int) func(ledger.Job) bool {
	return func(j ledger.Job) bool {
		matching := 0
		for _, task := range j.Tasks {
			if task.State == state {
				matching++
			}
		}
		return matching >= n
	}
}

// awaitWorkersUse waits until the tasks on each worker use at least the given number of cores. A placed task uses none before its
// agent has started it.
func awaitWorkersUse(t *testing.T, ctx context.Context, f *dev.Fleet, cores float64) {
	for i := range f.Profile.Agents {
		for used := 0.0; used < cores; {
			used = 0
			for _, c := range f.Agent(i).Worker.CoresByKind() {
				used += c
			}
			select {
			case <-ctx.Done():
				t.Fatalf("the tasks on the worker of agent %d use %.0f of %.0f cores", i, used, cores)
			case <-time.After(5 * time.Millisecond):
			}
		}
	}
}

// Guards against an urgent task that waits for long batch tasks on a full fleet. A task of lower priority must be checkpointed and
// evicted instead. No more tasks than necessary (one) may be evicted, and the evicted task must resume.
func TestUrgentPreemptsOnFullFleet(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	f := startFleet(t, ctx)
	need := worker.Resources{Cores: 50, MemoryMB: 40_000}
	fullJobID := submitJob(t, ctx, f, "full", entry.JobRequest{Branch: "workshop/moulding-plans", Tasks: 11, Need: need, RunMs: 600_000})
	awaitJob(t, ctx, f, fullJobID, atLeast(ledger.TaskPlaced, 11))
	awaitWorkersUse(t, ctx, f, need.Cores)
	submittedAt := time.Now()
	urgentJobID := submitJob(t, ctx, f, "urgent", entry.JobRequest{Branch: "workshop/urgent-plans", Tasks: 1, Need: need, RunMs: 500})
	awaitJob(t, ctx, f, urgentJobID, func(j ledger.Job) bool { return atLeast(ledger.TaskPlaced, 1)(j) || j.Finished() })
	t.Logf("urgent task placed after %s", time.Since(submittedAt).Round(time.Millisecond))
	awaitJob(t, ctx, f, urgentJobID, atLeast(ledger.TaskDone, 1))
	job := awaitJob(t, ctx, f, fullJobID, atLeast(ledger.TaskPlaced, 11))
	evictions := 0
	for _, task := range job.Tasks {
		evictions += task.Evictions
		qt.Check(t, task.Resumes, qt.Equals, task.Evictions)
	}
	qt.Check(t, evictions, qt.Equals, 1)
}

var measureFleet = flag.Duration("measure-fleet", 0, "length of each phase of the fleet run, for example 30s")

// Measures the latency of latency-critical requests with and without batch work on an in-process fleet:
// go test -run TestMeasureFleet -v ./internal/dev -measure-fleet 30s
func TestMeasureFleet(t *testing.T) {
	if *measureFleet == 0 {
		t.Skip("a measurement; run with -measure-fleet 30s")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*(*measureFleet)+time.Minute)
	defer cancel()
	f := startFleet(t, ctx)
	baselineP99 := footScanP99(ctx, f, *measureFleet)
	planJobID := submitJob(t, ctx, f, "plan", entry.JobRequest{Branch: "workshop/moulding-plans", Tasks: 200, Need: worker.Resources{Cores: 4, MemoryMB: 4_000}, RunMs: 3000})
	firstP99 := footScanP99(ctx, f, *measureFleet)
	secondP99 := footScanP99(ctx, f, *measureFleet)
	job := getJob(t, ctx, f, planJobID)
	done, evictions := 0, 0
	for _, task := range job.Tasks {
		evictions += task.Evictions
		if task.State == ledger.TaskDone {
			done++
		}
	}
	t.Logf("p99 with batch work relative to p99 without: %.3f in the first phase, %.3f in the second; %d of %d tasks done, %d evictions",
		float64(firstP99)/float64(baselineP99), float64(secondP99)/float64(baselineP99), done, len(job.Tasks), evictions)
}

// footScanP99 sends foot scans at a fixed rate (open loop) and returns the p99 latency, measured from the scheduled send time. It
// returns 0 if no request succeeded.
func footScanP99(ctx context.Context, f *dev.Fleet, duration time.Duration) time.Duration {
	const interval = 5 * time.Millisecond
	var mu sync.Mutex
	var wg sync.WaitGroup
	latencies := []time.Duration{}
	startedAt := time.Now()
	for i := 0; time.Duration(i)*interval < duration; i++ {
		scheduledAt := startedAt.Add(time.Duration(i) * interval)
		time.Sleep(time.Until(scheduledAt))
		wg.Go(func() {
			url := fmt.Sprintf("%s/v1/run/workshop/foot-scan/fitting-desk/-/scan", f.EntryURL(i%3))
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte("x")))
			if err != nil {
				return
			}
			if resp, err := http.DefaultClient.Do(req); err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if err == nil && resp.StatusCode == http.StatusOK {
					mu.Lock()
					latencies = append(latencies, time.Since(scheduledAt))
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	slices.Sort(latencies)
	if len(latencies) > 0 {
		fmt.Printf("%d responses, p50 divided by p99 %.3f\n",
			len(latencies), float64(latencies[len(latencies)/2])/float64(latencies[len(latencies)*99/100]))
	}
	if len(latencies) == 0 {
		return 0
	}
	return latencies[len(latencies)*99/100]
}
