package dev_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/entry"
	"bamboofork/internal/ledger"
	"bamboofork/internal/standin"
	"bamboofork/internal/worker"
)

// Guards against requests that take longer than the drain period and whose connections are closed at its end without an answer.
// Each must get a complete answer: a request that runs gets an unknown outcome, and a call that waits for a job its current state.
func TestRequestsLongerThanTheDrainAreAnswered(t *testing.T) {
	f := startSmallFleet(t)
	defer func() { qt.Check(t, f.Stop(), qt.IsNil) }()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	jobID := submitJob(t, ctx, f, "long", entry.JobRequest{Branch: "workshop/moulding-plans", Tasks: 1, Need: worker.Resources{Cores: 1}, RunMs: 600_000})
	awaitJob(t, ctx, f, jobID, atLeast(ledger.TaskPlaced, 1))
	h, url := f.Entry(0), f.EntryURL(0)
	longerThanDrain := (5 * f.Profile.Drain).Milliseconds()
	requests := map[string]func() response{
		"idempotent": func() response { return post(fmt.Sprintf("%s%s?ms=%d", url, scanPath, longerThanDrain), "", "x") },
		"keyed": func() response {
			return post(fmt.Sprintf("%s%s?ms=%d", url, orderPath, longerThanDrain), "long-order", "x")
		},
		"job": func() response {
			return call(http.MethodGet, fmt.Sprintf("%s%s/%s?wait_ms=%d", url, entry.PathJobs, jobID, longerThanDrain), "", nil)
		},
	}
	responses := map[string]chan response{}
	for name, send := range requests {
		answered := make(chan response, 1)
		responses[name] = answered
		go func() { answered <- send() }()
	}
	time.Sleep(500 * time.Millisecond) // the entry forwards the requests
	qt.Check(t, h.Stop(), qt.IsNil)
	f.Remove(h)
	for _, name := range []string{"idempotent", "keyed"} {
		resp := <-responses[name]
		qt.Check(t, resp.err, qt.IsNil, qt.Commentf(name))
		qt.Check(t, resp.outcome, qt.Equals, "unknown", qt.Commentf("%s: %d %s", name, resp.status, resp.body))
	}
	resp := <-responses["job"]
	qt.Check(t, resp.err, qt.IsNil)
	qt.Check(t, resp.status, qt.Equals, http.StatusOK, qt.Commentf("%s", resp.body))
}

// Guards against a stopping agent that keeps its batch tasks and partitions until its requests have ended. Requests that outlast the
// drain period then leave no time for the hand-over, and the tasks wait for the end of their holds.
func TestHandOverDoesNotWaitForLongRequests(t *testing.T) {
	f := startSmallFleet(t)
	defer func() { qt.Check(t, f.Stop(), qt.IsNil) }()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	const tasks = 8
	jobID := submitJob(t, ctx, f, "spread", entry.JobRequest{Branch: "workshop/moulding-plans", Tasks: tasks, Need: worker.Resources{Cores: 12}, RunMs: 600_000})
	awaitWorkersUse(t, ctx, f, 12)
	h := f.Agent(0)
	longerThanDrain := (5 * f.Profile.Drain).Milliseconds()
	answers := make(chan response, 2*f.Profile.Agents)
	for i := range cap(answers) { // the entry prefers the agent in its own failure domain
		go func() {
			answers <- post(fmt.Sprintf("%s%s?ms=%d", f.EntryURL(0), orderPath, longerThanDrain), fmt.Sprintf("long-%d", i), "x")
		}()
	}
	time.Sleep(500 * time.Millisecond) // the entry forwards the requests
	qt.Assert(t, h.Node.OwnedPartitions(), qt.Not(qt.HasLen), 0)
	const announcePeriod = 1500 * time.Millisecond
	drainEnds := time.After(announcePeriod + f.Profile.Drain)
	stopped := make(chan error, 1)
	go func() { stopped <- h.Stop() }()
	f.Remove(h)
	for len(h.Node.OwnedPartitions()) > 0 {
		select {
		case <-drainEnds:
			t.Fatalf("%d partitions are not handed over at the end of the drain period", len(h.Node.OwnedPartitions()))
		case <-time.After(20 * time.Millisecond):
		}
	}
	awaitJob(t, ctx, f, jobID, func(j ledger.Job) bool {
		elsewhere := 0
		for _, task := range j.Tasks {
			if task.State == ledger.TaskPlaced && task.Agent != h.Config.ID {
				elsewhere++
			}
		}
		select {
		case err := <-stopped:
			t.Fatalf("the agent stopped (%v) when %d of %d tasks ran elsewhere", err, elsewhere, tasks)
		default:
		}
		return elsewhere == tasks
	})
	qt.Check(t, <-stopped, qt.IsNil)
	for range cap(answers) {
		resp := <-answers
		qt.Check(t, resp.err, qt.IsNil)
		qt.Check(t, resp.outcome == "done" || resp.outcome == "unknown", qt.IsTrue, qt.Commentf("%d %s %s", resp.status, resp.outcome, resp.body))
	}
}

// Guards against tasks that still run on a worker after its agent has stopped, because a checkpoint call had no response.
func TestHandOverRepeatsUnansweredCheckpoints(t *testing.T) {
	f := startSmallFleet(t)
	defer func() { qt.Check(t, f.Stop(), qt.IsNil) }()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	submitJob(t, ctx, f, "spread", entry.JobRequest{Branch: "workshop/moulding-plans", Tasks: 8, Need: worker.Resources{Cores: 12}, RunMs: 600_000})
	awaitWorkersUse(t, ctx, f, 12)
	h := f.Agent(0)
	h.Worker.SetFaults(standin.WorkerFaults{Paused: true})
	time.AfterFunc(2*time.Second, func() { h.Worker.SetFaults(standin.WorkerFaults{}) }) // after the first checkpoint calls
	qt.Check(t, h.Stop(), qt.IsNil)
	f.Remove(h)
	for kind, cores := range h.Worker.CoresByKind() {
		t.Errorf("tasks of kind %s still use %.0f cores", kind, cores)
	}
}
