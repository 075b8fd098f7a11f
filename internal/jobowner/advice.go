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

// Adviser tells which workers may run a step, in queues whose policy is known to it alone.
type Adviser interface {
	// Advise returns a ticket for each of the named workers that may run the step, and how long the tickets are valid. It
	// answers after the queue's decision time.
	Advise(ctx context.Context, step string, workers []string) (map[string]string, time.Duration, error)
}

const (
	// adviceWorkers is the number of workers named in one question; its answer takes time for each of them.
	adviceWorkers = 30
	// adviceMargin is the least validity that a ticket must have left when a start is planned.
	adviceMargin = 400 * time.Millisecond
	// adviceSlack is added to the adviser's own time before a question counts as unanswered.
	adviceSlack = time.Second
	// adviceRetry is the pause after a question without an answer, or without a worker that may run the step.
	adviceRetry = 500 * time.Millisecond
	// adviceQueue is the number of steps that may wait for advice; the others ask with a later plan.
	adviceQueue = 256
)

// advice is what is known about one step. It is relearned by a new owner.
type advice struct {
	asking  bool
	named   map[string]bool   // workers asked about
	tickets map[string]string // by worker
	until   time.Duration     // boot time of the end of the tickets
	next    time.Duration     // boot time before which nothing is asked
}

// question is one call to the adviser.
type question struct {
	step    string
	workers []string
	timeout time.Duration
}

func stepKey(job string, occ, step int) string {
	return job + "." + strconv.Itoa(occ) + "." + strconv.Itoa(step)
}

// adviseFor returns the agents whose workers have a ticket for the step, by name. Without tickets it asks for them.
func (o *Owner) adviseFor(j *jobs.Job, occ, step int) map[string]bool {
	key := stepKey(j.ID, occ, step)
	a := o.advice[key]
	if a == nil {
		a = &advice{named: map[string]bool{}}
		o.advice[key] = a
	}
	now := boottime.Now()
	if a.until < now+adviceMargin {
		a.tickets = nil
	}
	if len(a.tickets) == 0 {
		o.ask(a, key, j, now)
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

// ask queues a question about workers that were not named yet, or about all again when every one was.
func (o *Owner) ask(a *advice, key string, j *jobs.Job, now time.Duration) {
	if a.asking || now < a.next || o.cfg.Adviser == nil {
		return
	}
	ids := o.unnamed(a, j.Queue.Service)
	if len(ids) == 0 {
		clear(a.named)
		ids = o.unnamed(a, j.Queue.Service)
	}
	if len(ids) == 0 {
		return
	}
	timeout := adviceSlack + time.Duration(j.Queue.AdviceMs+int64(len(ids))*j.Queue.AdviceStepMs)*time.Millisecond
	select {
	case o.questions <- question{step: key, workers: ids, timeout: timeout}:
		a.asking = true
	default:
	}
}

func (o *Owner) unnamed(a *advice, service string) []string {
	var ids []string
	for _, m := range o.members {
		if w := m.worker; w != nil && w.Service == service && !w.Draining && !w.Gone && m.live() && !a.named[w.ID] {
			ids = append(ids, w.ID)
		}
	}
	slices.SortFunc(ids, strings.Compare)
	return ids[:min(len(ids), adviceWorkers)]
}

// adviceLoop asks one question at a time, as the adviser handles them.
func (o *Owner) adviceLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case q := <-o.questions:
			callCtx, cancel := context.WithTimeout(ctx, q.timeout)
			tickets, valid, err := o.cfg.Adviser.Advise(callCtx, q.step, q.workers)
			cancel()
			o.advised(q, tickets, valid, err)
		}
	}
}

func (o *Owner) advised(q question, tickets map[string]string, valid time.Duration, err error) {
	events.StepAdvised.Log(&o.cfg.Log).Str("step", q.step).Int("named", len(q.workers)).Int("good", len(tickets)).
		Int64("valid_ms", valid.Milliseconds()).AnErr("cause", err).Send()
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.advice[q.step]
	if a == nil {
		return // the job has ended
	}
	now := boottime.Now()
	a.asking = false
	if err == nil {
		a.tickets, a.until = tickets, now+valid
		for _, id := range q.workers {
			a.named[id] = true
		}
	}
	if len(tickets) == 0 {
		a.next = now + adviceRetry
	}
	o.signal()
}

// ticketFor returns the ticket of a start, or nothing for steps without advice.
func (o *Owner) ticketFor(p *placedTask, w *session.Worker) string {
	a := o.advice[stepKey(p.job.ID, p.id.Occ, p.id.Step)]
	if a == nil || w == nil {
		return ""
	}
	return a.tickets[w.ID]
}

// forgetAdvice drops what was learned about the steps of an ended job.
func (o *Owner) forgetAdvice(j *jobs.Job) {
	for k := range j.Occ {
		for i := range j.Spec.Steps {
			delete(o.advice, stepKey(j.ID, k, i))
		}
	}
}
