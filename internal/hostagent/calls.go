package hostagent

import (
	"context"
	"errors"
	"time"

	"bamboofork/internal/app"
	"bamboofork/internal/boottime"
	"bamboofork/internal/events"
	"bamboofork/internal/jobs"
	"bamboofork/internal/ownerconn"
	"bamboofork/internal/session"
)

const (
	// callTimeout bounds one start, stop or pace call; a worker normally responds within 1 ms. An unanswered start or stop
	// is repeated, because the worker may still execute it seconds later.
	callTimeout = 250 * time.Millisecond
	// callRetryDelay is the delay before a start or stop is repeated.
	callRetryDelay = 60 * time.Millisecond
	// expirySlackMs covers calls that are in flight when a hold expires.
	expirySlackMs = 300
	// maxRefusedConns is the number of consecutive refused connections after which the worker's process counts as ended.
	maxRefusedConns = 3
)

// startLoop executes queued starts. An unanswered start is repeated with the same run number, which the worker treats as
// the same run, until the worker responds, the run is stopped, or the worker enters a new lifetime.
func (a *Agent) startLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-a.startQueue:
			a.executeStart(ctx, r)
		}
	}
}

func (a *Agent) executeStart(ctx context.Context, r *run) {
	startedAt := boottime.Now()
	for attempt := 1; ctx.Err() == nil; {
		a.mu.Lock()
		if a.runs[r.start.Task] != r || r.stopping {
			a.mu.Unlock()
			return
		}
		if a.unreachable { // it may have restarted, and would start the run in a lifetime that the agent does not know
			a.mu.Unlock()
			app.Sleep(ctx, callRetryDelay)
			continue
		}
		id, token, deadline := a.identity(), a.token, a.nextDeadline()
		a.mu.Unlock()
		sentAt := boottime.Now()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		rejection, clockMs, err := a.cfg.Runner.Start(callCtx, id, token, &r.start, deadline)
		cancel()
		if a.handleStartResult(r, id, rejection, clockMs, err, sentAt, startedAt, attempt) {
			return
		}
		attempt++
		app.Sleep(ctx, callRetryDelay)
	}
}

// handleStartResult processes the result of one attempt to start a run and reports whether no further attempt is needed.
func (a *Agent) handleStartResult(r *run, id Identity, rejection Rejection, clockMs int64, err error,
	sentAt, startedAt time.Duration, attempt int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.runs[r.start.Task] != r {
		return true
	}
	a.recordClock(id.Lifetime, clockMs, sentAt)
	log := &a.cfg.Log
	switch {
	case errors.Is(err, ErrOtherLifetime):
		a.removeRun(r)
		a.refuse(r.start.Task, r.start.Run, "another lifetime of the worker")
		return true
	case errors.Is(err, ErrBusy) || errors.Is(err, ErrRejected) || errors.Is(err, ErrConnRefused):
		if attempt > 1 {
			break // an earlier attempt may still take effect
		}
		a.removeRun(r)
		a.refuse(r.start.Task, r.start.Run, err.Error())
		return true
	case err != nil:
	case rejection == Accepted:
		r.started = true
		if r.start.BestEffort && a.targetPace(r) != r.pace {
			a.signalPace()
		}
		a.cfg.Metrics.Histogram("agent_start_us").Update((boottime.Now() - startedAt).Microseconds())
		events.RunStarted.Log(log).Str("task", r.start.Task).Int("run", r.start.Run).Int("tries", attempt).
			Int64("took_ms", (boottime.Now() - startedAt).Milliseconds()).Send()
		return true
	case rejection == RejectedStaleRun:
		// An earlier attempt may have run and ended already; the worker's next list decides.
		r.refuseReason, r.recheckAfter = "old run number", boottime.Now()
		return true
	default:
		if attempt > 1 && rejection != RejectedFenced {
			// An earlier attempt may still take effect; a stop makes the worker reject it.
			a.queueStop(&session.Stop{Task: r.start.Task, Run: r.start.Run})
			return true
		}
		a.removeRun(r)
		a.refuse(r.start.Task, r.start.Run, string(rejection))
		return true
	}
	if attempt == 1 {
		events.RunUnanswered.Log(log).Str("task", r.start.Task).Int("run", r.start.Run).Err(err).Send()
		a.cfg.Metrics.Counter("agent_starts_unanswered").Inc(1)
	}
	return false
}

// nextDeadline returns the time on the worker's clock until which its runs are held. It never exceeds what the owner has
// granted, because the owner treats unreachable runs as ended from then on.
func (a *Agent) nextDeadline() int64 {
	d := min(a.grantedUntilMs, a.workerClockMs()+a.cfg.MaxHold.Milliseconds())
	a.heldUntilMs = max(a.heldUntilMs, d)
	return d
}

// stopLoop executes queued stops and repeats unanswered ones.
func (a *Agent) stopLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-a.stopQueue:
			a.executeStop(ctx, r)
		}
	}
}

func (a *Agent) executeStop(ctx context.Context, r *run) {
	for ctx.Err() == nil {
		a.mu.Lock()
		if a.runs[r.start.Task] != r {
			a.mu.Unlock()
			return
		}
		id, token := a.identity(), a.token
		a.mu.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := a.cfg.Runner.Stop(callCtx, id, token, r.start.Task, r.start.Run)
		cancel()
		if err == nil || errors.Is(err, ErrOtherLifetime) {
			a.mu.Lock()
			// If the run had not started, the worker rejects it from now on and never lists it.
			r.refuseReason, r.recheckAfter = "stopped", boottime.Now()+a.cfg.StopTimeout
			a.mu.Unlock()
			return
		}
		app.Sleep(ctx, callRetryDelay)
	}
}

const (
	// holdPollMs is how long the worker may wait for a run to end before it responds. Each call extends the hold, and each
	// response brings the latencies of serving runs, which are averaged over half a second.
	holdPollMs = 250
	// holdTimeout bounds one Hold call, including the wait on the worker.
	holdTimeout = holdPollMs*time.Millisecond + 400*time.Millisecond
	// maxTokenStep bounds the step by which a rejected fencing token grows, in milliseconds of the worker's clock (37 hours).
	maxTokenStep = 1 << 27
	// ackWait is how long the agent waits for the owner's acknowledgement of listed ends before it calls Hold again; until
	// then the worker would respond at once with the same ends.
	ackWait = 150 * time.Millisecond
	// unreachableRetryDelay is the delay before Hold is retried on a worker that did not respond.
	unreachableRetryDelay = 150 * time.Millisecond
)

// holdLoop extends the hold of the runs and reconciles them with the worker's lists.
func (a *Agent) holdLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := a.renewHold(ctx); err != nil {
			a.handleHoldError(err)
			app.Sleep(ctx, unreachableRetryDelay)
			continue
		}
		a.mu.Lock()
		unacked := len(a.unackedEnds) > 0
		a.mu.Unlock()
		if unacked {
			app.SleepOrSignal(ctx, a.endsAcked, ackWait)
		}
	}
}

var errNoWorker = errors.New("no worker has registered")

func (a *Agent) renewHold(ctx context.Context) error {
	a.mu.Lock()
	if a.worker == nil || a.worker.Gone {
		a.mu.Unlock()
		return errNoWorker
	}
	id, token, lastSeen, deadline := a.identity(), a.token, a.ackedEndSeq, int64(0)
	waitMs := holdPollMs
	if token == 0 || len(a.unackedEnds) > 0 || a.recheckPending() {
		waitMs = 0
	}
	if a.unreachable {
		// The worker may have restarted under the same ID and numbers its ends from the start again: acknowledging by the
		// previous numbers would make it forget ends that were never read.
		lastSeen, waitMs = 0, 0
	}
	if token != 0 && a.grantedUntilMs > 0 && !a.unreachable {
		deadline = a.nextDeadline() // the hold of an unreachable worker is not extended, so that its runs expire
	}
	a.mu.Unlock()
	sentAt := boottime.Now()
	callCtx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	resp, err := a.cfg.Runner.Hold(callCtx, id, token, deadline, lastSeen, waitMs)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.markReachable()
	a.refusedConns = 0
	if a.worker.Lifetime != id.Lifetime {
		return nil
	}
	if token == 0 || resp.Fenced {
		// The worker's clock increases through its lifetime, so each agent process gets a higher token without a store.
		// A call from a previous lifetime may have left a higher token; doubling the step exceeds it within a few calls.
		a.token = max(resp.ClockMs, a.token+a.tokenStep)
		a.tokenStep = min(2*a.tokenStep, maxTokenStep)
		a.recordClock(id.Lifetime, resp.ClockMs, sentAt)
		events.WorkerLife.Log(&a.cfg.Log).Str("worker", id.ID).Int64("life", id.Lifetime).Int64("token", a.token).Send()
		return nil
	}
	if resp.Lifetime != 0 && resp.Lifetime != id.Lifetime {
		return ErrOtherLifetime
	}
	a.tokenStep = 1
	a.recordClock(id.Lifetime, resp.ClockMs, sentAt)
	a.reconcile(&resp, sentAt)
	return nil
}

// recheckPending reports whether a run's state is undetermined, in which case the next list is requested without waiting.
func (a *Agent) recheckPending() bool {
	for _, r := range a.runs {
		if r.recheckAfter != 0 {
			return true
		}
	}
	return false
}

// reconcile updates the runs from the worker's lists.
func (a *Agent) reconcile(resp *HoldResponse, sentAt time.Duration) {
	if !a.listed {
		a.listed = true
		a.signalReport()
	}
	for _, e := range resp.Ended {
		a.recordEnd(&e)
	}
	active := make(map[string]int, len(resp.Active))
	for i := range resp.Active {
		row := &resp.Active[i]
		active[row.Task] = row.Run
		a.recordActive(row)
	}
	for task, r := range a.runs {
		if r.recheckAfter == 0 || sentAt < r.recheckAfter || active[task] == r.start.Run {
			continue
		}
		a.removeRun(r)
		a.refuse(task, r.start.Run, r.refuseReason)
	}
	a.listCount++
	a.listUnreported = true
	a.signalReport()
}

func (a *Agent) recordEnd(e *EndedRun) {
	if e.Seq <= a.ackedEndSeq {
		return
	}
	if n := len(a.unackedEnds); n > 0 && e.Seq <= a.unackedEnds[n-1].Seq {
		return
	}
	a.unackedEnds = append(a.unackedEnds, session.RunEnd{
		Lifetime: a.worker.Lifetime, Seq: e.Seq, Task: e.Task, Run: e.Run, Outcome: e.Outcome, Checkpoint: e.Checkpoint})
	if r := a.runs[e.Task]; r != nil && r.start.Run <= e.Run {
		a.removeRun(r)
	}
}

// recordActive adds or updates a run that the worker lists as active.
func (a *Agent) recordActive(row *ActiveRun) {
	r := a.runs[row.Task]
	if r == nil {
		for _, e := range a.unackedEnds {
			if e.Task == row.Task && e.Run >= row.Run {
				return
			}
		}
		r = &run{start: session.Start{Task: row.Task, Run: row.Run}, pace: unknownPace, ownerPace: jobs.FullPace}
		a.runs[row.Task] = r
	}
	if r.start.Run != row.Run {
		return
	}
	r.started = true
	if r.recheckAfter != 0 && !r.stopping {
		r.recheckAfter = 0
	}
	r.checkpoint, r.percent, r.recentUsage = row.Checkpoint, row.ProgressPercent, row.RecentUsage
}

func (a *Agent) handleHoldError(err error) {
	if errors.Is(err, errNoWorker) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.unreachable {
		a.unreachable = true
		events.WorkerLost.Log(&a.cfg.Log).Err(err).Int("runs", len(a.runs)).Send()
	}
	if a.worker == nil || a.worker.Gone {
		return
	}
	if !errors.Is(err, ErrConnRefused) {
		a.refusedConns = 0
	} else if a.refusedConns++; a.refusedConns >= maxRefusedConns {
		a.markWorkerGone()
		return
	}
	if a.holdExpired() {
		for _, r := range a.runs {
			a.removeRun(r)
			a.refuse(r.start.Task, r.start.Run, "the worker does not answer and its hold has lapsed")
		}
	}
}

// holdExpired reports whether the worker must have ended all runs by its own clock.
func (a *Agent) holdExpired() bool {
	if a.heldUntilMs == 0 || a.clockMs == 0 {
		return false
	}
	passed := float64((boottime.Now() - a.clockAt).Milliseconds()) * (1 - session.WorkerClockDrift)
	return a.clockMs+int64(passed) > a.heldUntilMs+expirySlackMs
}

func (a *Agent) markReachable() {
	if a.unreachable {
		a.unreachable = false
		events.WorkerBack.Log(&a.cfg.Log).Int("runs", len(a.runs)).Send()
	}
}

// reportLoop reports ends and refusals to the owner at once and all runs periodically.
func (a *Agent) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var completeAt time.Duration // boot time of the newest complete report
	for {
		complete := false
		select {
		case <-ctx.Done():
			return
		case <-a.reportDue:
		case <-ticker.C:
			complete = true
		}
		c := a.cfg.Follower.Conn()
		a.mu.Lock()
		if a.listUnreported && boottime.Now() >= completeAt+minListReportInterval {
			complete = true
		}
		if complete {
			completeAt, a.listUnreported = boottime.Now(), false
		}
		if c != nil {
			a.sendReport(c, complete)
		}
		a.checkCapacity()
		a.mu.Unlock()
	}
}

// sendReport sends the ends and refusals not reported yet; a complete report also lists all runs. The first report on a
// connection is complete and repeats all unacknowledged ends.
func (a *Agent) sendReport(c *ownerconn.Conn, complete bool) {
	complete = a.bindOwner(c) || complete
	m := session.FromMember{Worker: a.worker, AckSeq: a.lastCommandSeq, Refused: a.refusals, BestEffortPaused: a.paceLimit < 100}
	a.refusals = nil
	for _, e := range a.unackedEnds {
		if e.Seq > a.reportedEndSeq {
			m.Ends = append(m.Ends, e)
			a.reportedEndSeq = e.Seq
		}
	}
	if a.worker != nil && a.clockMs != 0 && (a.listed || a.worker.Gone) {
		a.lastReportSeq++
		m.ReportSeq = a.lastReportSeq
		a.reportClocks[a.lastReportSeq] = a.workerClockMs()
		if complete {
			m.RunsComplete = true
			m.Runs, m.PollSeq = a.runList(), a.listCount
		}
	}
	c.Send(m)
}

func (a *Agent) runList() []session.Run {
	list := make([]session.Run, 0, len(a.runs))
	for task, r := range a.runs {
		list = append(list, session.Run{
			Task: task, Run: r.start.Run, Started: r.started, Checkpoint: r.checkpoint, Percent: r.percent, RecentUsage: r.recentUsage,
			Pace: max(0, r.pace), ResourcesUnknown: !r.resourcesKnown})
	}
	return list
}
