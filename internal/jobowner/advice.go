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

// Adviser is a client of the advice service. For queues with an external placement policy, the service decides which workers
// may run a step.
type Adviser interface {
	// Advise returns a ticket for each of the named workers that may run the step, by worker ID. The duration says how long the
	// tickets are valid from the response on. The call takes as long as the service needs to decide.
	Advise(ctx context.Context, step string, workers []string) (map[string]string, time.Duration, error)
}

const (
	// maxAdviceWorkers is the maximum number of workers in one request. The decision time of the service grows with each worker.
	maxAdviceWorkers = 30
	// minTicketValidity is the minimum remaining validity of a ticket when a start is planned.
	minTicketValidity = 400 * time.Millisecond
	// adviceTimeoutMargin is added to the expected decision time to get the timeout of a request.
	adviceTimeoutMargin = time.Second
	// adviceRetryDelay is the delay after a request that failed or returned no ticket.
	adviceRetryDelay = 500 * time.Millisecond
	// maxAdviceRequests is the capacity of the request queue. If the queue is full, a later planning pass requests the advice
	// for the step again.
	maxAdviceRequests = 256
)

// stepAdvice is the advice of the service for one step. The advice is not persisted; a new owner requests it again.
type stepAdvice struct {
	requestInFlight  bool
	queriedWorkerIDs map[string]bool   // workers named in requests so far
	ticketByWorkerID map[string]string // nil if no ticket is valid
	expiresAt        time.Duration     // boot time at which the tickets expire
	nextRequestAt    time.Duration     // boot time of the next permitted request
}

// adviceRequest is one call to the advice service.
type adviceRequest struct {
	stepID    string
	workerIDs []string
	timeout   time.Duration
}

// stepKey returns the identifier of a step in Owner.adviceByStep and in requests to the advice service. The occurrence index
// counts the repetitions of the job, and the step index counts the steps of the job.
func stepKey(jobID string, occIndex, stepIndex int) string {
	return jobID + "." + strconv.Itoa(occIndex) + "." + strconv.Itoa(stepIndex)
}

// agentsWithTickets returns the names of the agents whose workers have a valid ticket for the step. If no worker has a ticket, or all that
// have one are in failure domains out of service, it queues a request for tickets.
func (o *Owner) agentsWithTickets(job *jobs.Job, occIndex, stepIndex int) map[string]bool {
	key := stepKey(job.ID, occIndex, stepIndex)
	advice := o.adviceByStep[key]
	if advice == nil {
		advice = &stepAdvice{queriedWorkerIDs: map[string]bool{}}
		o.adviceByStep[key] = advice
	}
	now := boottime.Now()
	if advice.expiresAt < now+minTicketValidity {
		advice.ticketByWorkerID = nil
	}
	names, inService := map[string]bool{}, false
	for _, member := range o.members {
		if member.worker != nil && advice.ticketByWorkerID[member.worker.ID] != "" {
			names[member.Name] = true
			inService = inService || !o.isOutOfService(member)
		}
	}
	if len(advice.ticketByWorkerID) == 0 || len(names) > 0 && !inService {
		o.requestAdvice(advice, key, job, now)
	}
	return names
}

// requestAdvice queues a request for workers that no earlier request for the step named. Once every worker was named, the
// requests start over with all workers. It does nothing while a request for the step is in flight or the retry delay has not
// passed.
func (o *Owner) requestAdvice(advice *stepAdvice, key string, job *jobs.Job, now time.Duration) {
	if advice.requestInFlight || now < advice.nextRequestAt || o.cfg.Adviser == nil {
		return
	}
	ids := o.workersNotQueried(advice, job.Queue.Service)
	if len(ids) == 0 {
		clear(advice.queriedWorkerIDs)
		ids = o.workersNotQueried(advice, job.Queue.Service)
	}
	if len(ids) == 0 {
		return
	}
	timeout := adviceTimeoutMargin + time.Duration(job.Queue.AdviceMs+int64(len(ids))*job.Queue.AdvicePerWorkerMs)*time.Millisecond
	select {
	case o.adviceRequests <- adviceRequest{stepID: key, workerIDs: ids, timeout: timeout}:
		advice.requestInFlight = true
	default:
	}
}

// workersNotQueried returns the IDs of at most maxAdviceWorkers workers of the service that are not in queriedWorkerIDs, in
// lexical order.
func (o *Owner) workersNotQueried(advice *stepAdvice, service string) []string {
	var ids []string
	for _, member := range o.members {
		if w := member.worker; w != nil && w.Service == service && !w.Draining && !w.Gone &&
			member.isReady() && !advice.queriedWorkerIDs[w.ID] && !o.isOutOfService(member) {
			ids = append(ids, w.ID)
		}
	}
	slices.SortFunc(ids, strings.Compare)
	return ids[:min(len(ids), maxAdviceWorkers)]
}

// adviceLoop sends the queued requests one at a time until ctx is done, because the advice service handles requests
// sequentially.
func (o *Owner) adviceLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case req := <-o.adviceRequests:
			callCtx, cancel := context.WithTimeout(ctx, req.timeout)
			ticketByWorkerID, validity, err := o.cfg.Adviser.Advise(callCtx, req.stepID, req.workerIDs)
			cancel()
			o.handleAdvice(req, ticketByWorkerID, validity, err)
		}
	}
}

// handleAdvice stores the tickets that the advice service returned, or schedules the next permitted request if there are none.
func (o *Owner) handleAdvice(req adviceRequest, ticketByWorkerID map[string]string, validity time.Duration, err error) {
	events.StepAdvised.Log(&o.cfg.Log).Str("step", req.stepID).Int("named", len(req.workerIDs)).Int("good", len(ticketByWorkerID)).
		Int64("valid_ms", validity.Milliseconds()).AnErr("cause", err).Send()
	o.mu.Lock()
	defer o.mu.Unlock()
	advice := o.adviceByStep[req.stepID]
	if advice == nil {
		return // the job has ended
	}
	now := boottime.Now()
	advice.requestInFlight = false
	if err == nil {
		advice.ticketByWorkerID, advice.expiresAt = ticketByWorkerID, now+validity
		for _, id := range req.workerIDs {
			advice.queriedWorkerIDs[id] = true
		}
	}
	if len(ticketByWorkerID) == 0 {
		advice.nextRequestAt = now + adviceRetryDelay
	}
	o.wakeCommitLoop()
}

// ticketFor returns the ticket for starting the task on the worker, or "" if there is none. Steps of queues without advice have
// no tickets.
func (o *Owner) ticketFor(placed *placedTask, worker *session.Worker) string {
	advice := o.adviceByStep[stepKey(placed.job.ID, placed.id.Occurrence, placed.id.Step)]
	if advice == nil || worker == nil {
		return ""
	}
	return advice.ticketByWorkerID[worker.ID]
}

// forgetAdvice drops the advice for the steps of an ended job.
func (o *Owner) forgetAdvice(job *jobs.Job) {
	for occIndex := range job.Occurrences {
		for stepIndex := range job.Spec.Steps {
			delete(o.adviceByStep, stepKey(job.ID, occIndex, stepIndex))
		}
	}
}
