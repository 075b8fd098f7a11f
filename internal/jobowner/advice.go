package jobowner

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"bamboofork/internal/boottime"
	"bamboofork/internal/events"
	"bamboofork/internal/jobs"
	"bamboofork/internal/session"
)

// Adviser is a client of the advice service, which decides for queues with an external placement policy which workers may
// run a step.
type Adviser interface {
	// Advise returns a ticket for each of the named workers that may run the step, and how long the tickets are valid. The
	// call takes the queue's decision time.
	Advise(ctx context.Context, step string, workers []string) (map[string]string, time.Duration, error)
}

const (
	// maxAdviceWorkers is the maximum number of workers in one request; the service's decision time grows with each of them.
	maxAdviceWorkers = 30
	// minTicketValidity is the minimum remaining validity of a ticket when a start is planned.
	minTicketValidity = 400 * time.Millisecond
	// adviceTimeoutMargin is added to the expected decision time to get the timeout of a request.
	adviceTimeoutMargin = time.Second
	// adviceRetryDelay is the delay after a request that failed or returned no ticket.
	adviceRetryDelay = 500 * time.Millisecond
	// maxAdviceRequests is the length of the request queue; steps that find it full are retried by a later planning pass.
	maxAdviceRequests = 256
)

// stepAdvice is the advice for one step. It is not persisted; a new owner requests it again.
type stepAdvice struct {
	inFlight      bool
	queried       map[string]bool   // workers named in requests so far
	tickets       map[string]string // by worker ID
	expiresAt     time.Duration     // boot time at which the tickets expire
	nextRequestAt time.Duration     // boot time of the next permitted request
}

// adviceRequest is one call to the advice service.
type adviceRequest struct {
	step    string
	workers []string
	timeout time.Duration
}

func stepKey(job string, occ, step int) string {
	return job + "." + strconv.Itoa(occ) + "." + strconv.Itoa(step)
}

// agentsWithTickets returns the names of the agents whose workers have a valid ticket for the step. If there is none, it
// queues a request for tickets and returns nil.
func (o *Owner) agentsWithTickets(j *jobs.Job, occ, step int) map[string]bool {
	key := stepKey(j.ID, occ, step)
	a := o.advice[key]
	if a == nil {
		a = &stepAdvice{queried: map[string]bool{}}
		o.advice[key] = a
	}
	now := boottime.Now()
	if a.expiresAt < now+minTicketValidity {
		a.tickets = nil
	}
	if len(a.tickets) == 0 {
		o.requestAdvice(a, key, j, now)
		return nil
	}
	names := map[string]bool{}
	for _, m := range o.members {
		if m.worker != nil && a.tickets[m.worker.ID] != "" {
			names[m.Name] = true
		}
	}
	return names
}

// requestAdvice queues a request for workers that no earlier request named; once every worker was named, it starts over.
func (o *Owner) requestAdvice(a *stepAdvice, key string, j *jobs.Job, now time.Duration) {
	if a.inFlight || now < a.nextRequestAt || o.cfg.Adviser == nil {
		return
	}
	ids := o.workersNotQueried(a, j.Queue.Service)
	if len(ids) == 0 {
		clear(a.queried)
		ids = o.workersNotQueried(a, j.Queue.Service)
	}
	if len(ids) == 0 {
		return
	}
	timeout := adviceTimeoutMargin + time.Duration(j.Queue.AdviceMs+int64(len(ids))*j.Queue.AdvicePerWorkerMs)*time.Millisecond
	select {
	case o.adviceRequests <- adviceRequest{step: key, workers: ids, timeout: timeout}:
		a.inFlight = true
	default:
	}
}

func (o *Owner) workersNotQueried(a *stepAdvice, service string) []string {
	var ids []string
	for _, m := range o.members {
		if w := m.worker; w != nil && w.Service == service && !w.Draining && !w.Gone && m.live() && !a.queried[w.ID] {
			ids = append(ids, w.ID)
		}
	}
	slices.SortFunc(ids, strings.Compare)
	return ids[:min(len(ids), maxAdviceWorkers)]
}

// adviceLoop sends one request at a time, because the advice service handles them sequentially.
func (o *Owner) adviceLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case req := <-o.adviceRequests:
			callCtx, cancel := context.WithTimeout(ctx, req.timeout)
			tickets, valid, err := o.cfg.Adviser.Advise(callCtx, req.step, req.workers)
			cancel()
			o.handleAdvice(req, tickets, valid, err)
		}
	}
}

func (o *Owner) handleAdvice(req adviceRequest, tickets map[string]string, valid time.Duration, err error) {
	events.StepAdvised.Log(&o.cfg.Log).Str("step", req.step).Int("named", len(req.workers)).Int("good", len(tickets)).
		Int64("valid_ms", valid.Milliseconds()).AnErr("cause", err).Send()
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.advice[req.step]
	if a == nil {
		return // the job has ended
	}
	now := boottime.Now()
	a.inFlight = false
	if err == nil {
		a.tickets, a.expiresAt = tickets, now+valid
		for _, id := range req.workers {
			a.queried[id] = true
		}
	}
	if len(tickets) == 0 {
		a.nextRequestAt = now + adviceRetryDelay
	}
	o.wakeCommitLoop()
}

// ticketFor returns the ticket for starting the task on the worker, or "" for steps without advice.
func (o *Owner) ticketFor(p *placedTask, w *session.Worker) string {
	a := o.advice[stepKey(p.job.ID, p.id.Occ, p.id.Step)]
	if a == nil || w == nil {
		return ""
	}
	return a.tickets[w.ID]
}

// forgetAdvice drops the advice for the steps of an ended job.
func (o *Owner) forgetAdvice(j *jobs.Job) {
	for k := range j.Occ {
		for i := range j.Spec.Steps {
			delete(o.advice, stepKey(j.ID, k, i))
		}
	}
}
