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
	// callTimeout is the timeout of one start, stop or pace call. A worker normally responds within 1 ms. An unanswered start
	// or stop is repeated, because the worker may still execute the call seconds later.
	callTimeout = 250 * time.Millisecond
	// callRetryDelay is the delay before a start or stop call is repeated.
	callRetryDelay = 60 * time.Millisecond
	// expiryMarginMs is added to the deadline of a hold before its runs count as ended. It covers late timers of the worker. Calls that
	// are in flight carry no later deadline.
	expiryMarginMs = 100
	// maxRefusedConns is the number of consecutive refused connections after which the worker's process counts as ended.
	maxRefusedConns = 3
)

// executeStarts executes queued starts. An unanswered start is repeated with the same run number, which the worker treats as
// the same run, until the worker responds, the run is stopped, the worker enters a new lifetime or drains, or its failure domain is taken
// out of service.
func (a *Agent) executeStarts(ctx context.Context) {
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
		if a.runByTask[r.start.Task] != r || r.stopRequested {
			a.mu.Unlock()
			return
		}
		if reason := a.closedReason(); reason != "" {
			a.withdrawStart(r, attempt, reason)
			a.mu.Unlock()
			return
		}
		if a.lifetimeInDoubt() { // the worker may have restarted and would start the run in a lifetime that the agent does not know
			a.mu.Unlock()
			app.Sleep(ctx, callRetryDelay)
			continue
		}
		workerID, token, deadlineMs := a.identity(), a.token, a.nextDeadlineMs()
		a.mu.Unlock()
		sentAt := boottime.Now()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		rejection, clockMs, err := a.cfg.Runner.Start(callCtx, workerID, token, &r.start, deadlineMs)
		cancel()
		if a.handleStartResult(r, workerID, rejection, clockMs, err, sentAt, startedAt, attempt) {
			return
		}
		attempt++
		app.Sleep(ctx, callRetryDelay)
	}
}

// withdrawStart makes a start that the worker has not confirmed have no effect, because the worker takes no starts any more for the reason.
// attempt is the number of the next attempt. An earlier attempt may be carried out seconds later, unless a stop makes the worker reject it.
// A run that the worker has listed has begun and goes on.
func (a *Agent) withdrawStart(r *run, attempt int, reason string) {
	switch {
	case r.startConfirmed:
	case attempt > 1:
		a.cfg.Metrics.Counter("agent_starts_withdrawn").Inc(1)
		a.queueStop(&session.Stop{Task: r.start.Task, Run: r.start.Run})
	default:
		if reason == reasonOutOfService {
			a.cfg.Metrics.Counter("agent_starts_refused_out_of_service").Inc(1)
		}
		a.removeRun(r)
		a.recordRefusal(r.start.Task, r.start.Run, reason)
	}
}

// handleStartResult processes the result of one attempt to start a run. It returns true if no further attempt is needed.
func (a *Agent) handleStartResult(r *run, workerID WorkerIdentity, rejection StartResult, clockMs int64, err error,
	sentAt, startedAt time.Duration, attempt int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.runByTask[r.start.Task] != r {
		return true
	}
	a.recordClock(workerID.Lifetime, clockMs, sentAt)
	log := &a.cfg.Log
	switch {
	case errors.Is(err, ErrOtherLifetime):
		a.removeRun(r)
		a.recordRefusal(r.start.Task, r.start.Run, "another lifetime of the worker")
		return true
	case errors.Is(err, ErrBusy) || errors.Is(err, ErrRejected) || errors.Is(err, ErrConnRefused):
		if attempt > 1 {
			break // an earlier attempt may still take effect
		}
		a.removeRun(r)
		a.recordRefusal(r.start.Task, r.start.Run, err.Error())
		return true
	case err != nil:
	case rejection == Accepted:
		r.startConfirmed = true
		if r.start.BestEffort && a.targetPacePercent(r) != r.pacePercent {
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
		a.recordRefusal(r.start.Task, r.start.Run, string(rejection))
		return true
	}
	if attempt == 1 {
		events.RunUnanswered.Log(log).Str("task", r.start.Task).Int("run", r.start.Run).Err(err).Send()
		a.cfg.Metrics.Counter("agent_starts_unanswered").Inc(1)
	}
	return false
}

// nextDeadlineMs returns the time on the worker's clock until which the worker is to hold its runs, and records it as sent. The
// time is never later than the owner has granted, because from then on the owner treats the runs of an unreachable worker as
// ended.
func (a *Agent) nextDeadlineMs() int64 {
	deadlineMs := min(a.grantedUntilMs, a.clock.reachedMs()+a.cfg.MaxHoldDuration.Milliseconds())
	if a.isGrantOver() {
		deadlineMs = min(deadlineMs, a.clock.readMs) // has passed, so that the worker rejects starts
	}
	a.heldUntilMs = max(a.heldUntilMs, deadlineMs)
	return deadlineMs
}

// executeStops executes queued stops and repeats unanswered ones.
func (a *Agent) executeStops(ctx context.Context) {
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
		if a.runByTask[r.start.Task] != r {
			a.mu.Unlock()
			return
		}
		workerID, token := a.identity(), a.token
		a.mu.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := a.cfg.Runner.Stop(callCtx, workerID, token, r.start.Task, r.start.Run)
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
	// holdPollMs is how long the worker may wait for a run to end before it responds to a Hold call. Each call extends the hold.
	// Each response contains the latencies of the serving runs, which the worker averages over half a second.
	holdPollMs = 250
	// holdTimeout bounds one Hold call, including the wait on the worker.
	holdTimeout = holdPollMs*time.Millisecond + 400*time.Millisecond
	// maxTokenStepMs is the maximum of tokenStepMs: 37 hours, because tokens are readings of the worker's clock.
	maxTokenStepMs = 1 << 27
	// maxAckAge is the time after the request of the last response within which ended runs are acknowledged to the worker. While the
	// worker responds, Hold calls follow each other within holdPollMs and ackTimeout.
	maxAckAge = time.Second
	// ackTimeout is how long the agent waits for the owner to acknowledge ended runs before it calls Hold again. Without the wait
	// the worker would respond at once with the same ends.
	ackTimeout = 150 * time.Millisecond
	// unknownWorkerProbeDelay is the delay before a worker that runs and has not registered yet is probed again.
	unknownWorkerProbeDelay = 500 * time.Millisecond
	// unreachableRetryDelay is the delay before Hold is retried on a worker that did not respond.
	unreachableRetryDelay = 150 * time.Millisecond
)

// renewHolds repeatedly extends the hold of the worker's runs and updates the agent's runs from the worker's lists.
func (a *Agent) renewHolds(ctx context.Context) {
	for ctx.Err() == nil {
		if err := a.renewHold(ctx); err != nil {
			a.handleHoldError(err)
			app.Sleep(ctx, unreachableRetryDelay)
			continue
		}
		a.mu.Lock()
		awaitsAck := len(a.unackedEnds) > 0 || a.listIncomplete
		a.mu.Unlock()
		if awaitsAck {
			app.SleepOrSignal(ctx, a.endsAcked, ackTimeout)
		}
	}
}

var errNoWorker = errors.New("no worker has registered")

func (a *Agent) renewHold(ctx context.Context) error {
	a.mu.Lock()
	if a.worker == nil {
		a.mu.Unlock()
		a.probeUnknownWorker(ctx)
		return errNoWorker
	}
	if a.worker.Gone {
		a.mu.Unlock()
		return errNoWorker
	}
	workerID, token, lastAckedEndSeq, deadlineMs := a.identity(), a.token, a.ackedEndSeq, int64(0)
	waitMs := holdPollMs
	if token == 0 || len(a.unackedEnds) > 0 || a.recheckPending() {
		waitMs = 0
	}
	if a.lifetimeInDoubt() {
		// The worker may have restarted under the same ID, and then numbers its ends from the start again. An acknowledgement
		// with a previous number would make the worker forget ends that were never read.
		lastAckedEndSeq, waitMs = 0, 0
	}
	if token != 0 && a.grantedUntilMs > 0 && !a.workerUnreachable && a.registration.pending == nil {
		a.logUnconfirmedHold()
		a.stopOverdueRuns()
		deadlineMs = a.nextDeadlineMs() // the hold of an unreachable worker is not extended, so that its runs expire
	}
	a.mu.Unlock()
	sentAt := boottime.Now()
	callCtx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	resp, err := a.cfg.Runner.Hold(callCtx, workerID, token, deadlineMs, lastAckedEndSeq, waitMs)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.markReachable()
	a.refusedConns = 0
	if a.worker.Lifetime != workerID.Lifetime {
		return nil
	}
	if resp.Lifetime != 0 && resp.Lifetime != workerID.Lifetime {
		return &OtherLifetimeError{Lifetime: resp.Lifetime}
	}
	if a.checkPendingLifetime(resp.Lifetime, sentAt); a.worker.Lifetime != workerID.Lifetime {
		return nil
	}
	if token == 0 || resp.Fenced {
		// The worker's clock increases throughout its lifetime, so each agent process gets a higher token without a store.
		// A call from a previous lifetime may have left a higher token. Doubling the step exceeds that token within a few calls.
		a.token = max(resp.ClockMs, a.token+a.tokenStepMs)
		a.tokenStepMs = min(2*a.tokenStepMs, maxTokenStepMs)
		a.recordClock(workerID.Lifetime, resp.ClockMs, sentAt)
		// An earlier agent process may have held the runs until MaxHoldDuration from now. One of a version that took the clock for later
		// than it was may have held them longer, by at most the duration of a call.
		a.heldUntilMs = max(a.heldUntilMs, resp.ClockMs+(a.cfg.MaxHoldDuration+holdTimeout).Milliseconds())
		events.WorkerLife.Log(&a.cfg.Log).Str("worker", workerID.ID).Int64("life", workerID.Lifetime).Int64("token", a.token).Send()
		return nil
	}
	a.tokenStepMs = 1
	a.recordClock(workerID.Lifetime, resp.ClockMs, sentAt)
	a.reconcileRuns(&resp, sentAt)
	return nil
}

// probeUnknownWorker checks whether a worker that has not registered with this agent process runs at all. It may have ended for good while
// no agent ran.
func (a *Agent) probeUnknownWorker(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := a.cfg.Runner.Hold(callCtx, WorkerIdentity{}, 0, 0, 0, 0)
	if !errors.Is(err, ErrConnRefused) {
		a.mu.Lock()
		a.refusedConns = 0
		a.mu.Unlock()
		app.SleepOrSignal(ctx, a.registered, unknownWorkerProbeDelay)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.worker != nil {
		return // it has registered meanwhile
	}
	if a.refusedConns++; a.refusedConns >= maxRefusedConns {
		events.WorkerLost.Log(&a.cfg.Log).Err(err).Msg("no worker has registered, and none listens")
		a.worker = &session.Worker{}
		a.markWorkerGone()
	}
}

// recheckPending reports whether any run waits for a list that shows whether it is active. The next list is then requested
// without waiting for a run to end.
func (a *Agent) recheckPending() bool {
	for _, r := range a.runByTask {
		if r.recheckAfter != 0 {
			return true
		}
	}
	return false
}

// reconcileRuns updates the agent's runs from the worker's lists of active and ended runs. sentAt is the boot time at which the
// lists were requested. A run that is in neither list has ended or was never started only if the lists are complete: the end of a run
// may be listed only after the owner has acknowledged the ends before it.
func (a *Agent) reconcileRuns(resp *HoldResponse, sentAt time.Duration) {
	a.noteUnreadableRows(resp)
	a.activeListed, a.listIncomplete = true, resp.Incomplete
	if !a.runsListed && !resp.Incomplete {
		a.runsListed = true
		a.signalReport()
	}
	a.listedAt = sentAt
	for _, e := range resp.Ended {
		a.recordEnd(&e)
	}
	activeRunNumbers := make(map[string]int, len(resp.Active))
	for i := range resp.Active {
		listedRun := &resp.Active[i]
		activeRunNumbers[listedRun.Task] = listedRun.Run
		a.recordActive(listedRun)
	}
	for task, r := range a.runByTask {
		if resp.Incomplete || r.recheckAfter == 0 || sentAt < r.recheckAfter || activeRunNumbers[task] == r.start.Run {
			continue
		}
		a.removeRun(r)
		a.recordRefusal(task, r.start.Run, r.refuseReason)
	}
	a.listCount++
	a.listUnreported = true
	a.signalReport()
}

// noteUnreadableRows counts the rows that could not be decoded, and logs the first list with such rows of each lifetime of the worker.
func (a *Agent) noteUnreadableRows(resp *HoldResponse) {
	if resp.UnreadableRows == 0 {
		return
	}
	a.cfg.Metrics.Counter("agent_rows_unreadable").Inc(int64(resp.UnreadableRows))
	if !a.unreadableRowsLogged {
		a.unreadableRowsLogged = true
		events.WorkerRowsUnreadable.Log(&a.cfg.Log).Int("rows", resp.UnreadableRows).AnErr("cause", resp.UnreadableCause).Send()
	}
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
	if r := a.runByTask[e.Task]; r != nil && r.start.Run <= e.Run {
		a.removeRun(r)
	}
}

// recordActive adds or updates a run that the worker lists as active. It ignores a run whose end is already recorded.
func (a *Agent) recordActive(listedRun *ActiveRun) {
	r := a.runByTask[listedRun.Task]
	if r == nil {
		for _, e := range a.unackedEnds {
			if e.Task == listedRun.Task && e.Run >= listedRun.Run {
				return
			}
		}
		r = &run{start: session.Start{Task: listedRun.Task, Run: listedRun.Run}, pacePercent: unknownPacePercent, ownerPacePercent: jobs.FullPacePercent}
		a.runByTask[listedRun.Task] = r
	}
	if r.start.Run != listedRun.Run {
		return
	}
	if r.progressedAt == 0 || listedRun.ProgressPercent != r.progressPercent {
		r.progressedAt = a.listedAt
	}
	r.startConfirmed = true
	if r.recheckAfter != 0 && !r.stopRequested {
		r.recheckAfter = 0
	}
	r.checkpoint, r.progressPercent, r.recentUsage = listedRun.Checkpoint, listedRun.ProgressPercent, listedRun.RecentUsage
}

func (a *Agent) handleHoldError(err error) {
	if errors.Is(err, errNoWorker) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.noteUnanswered(err)
	if !a.workerUnreachable {
		a.workerUnreachable = true
		events.WorkerLost.Log(&a.cfg.Log).Err(err).Int("runs", len(a.runByTask)).Send()
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
		for _, r := range a.runByTask {
			a.removeRun(r)
			a.recordRefusal(r.start.Task, r.start.Run, "the worker does not answer and its hold has lapsed")
		}
	}
}

// holdExpired reports whether the hold has certainly expired on the worker's clock, so that the worker has ended all runs.
func (a *Agent) holdExpired() bool {
	if a.heldUntilMs == 0 || a.clock.readMs == 0 {
		return false
	}
	return a.clock.reachedMs() > a.heldUntilMs+expiryMarginMs
}

func (a *Agent) markReachable() {
	if a.workerUnreachable {
		a.workerUnreachable = false
		events.WorkerBack.Log(&a.cfg.Log).Int("runs", len(a.runByTask)).Send()
	}
}

// reportLoop reports ends, refusals and changes of the worker to the owner at once, and all runs periodically.
func (a *Agent) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var lastCompleteAt time.Duration // boot time of the latest complete report
	for {
		isPeriodic := false
		select {
		case <-ctx.Done():
			return
		case <-a.reportDue:
		case <-ticker.C:
			isPeriodic = true
		}
		conn := a.cfg.Follower.Conn()
		interval := listReportInterval(a.cfg.Follower.AgentCount())
		a.mu.Lock()
		isComplete := (isPeriodic || a.listUnreported) && boottime.Now() >= lastCompleteAt+interval
		if isComplete {
			lastCompleteAt, a.listUnreported = boottime.Now(), false
		}
		if conn != nil {
			a.sendReport(conn, isComplete)
		}
		a.assertCapacity()
		a.mu.Unlock()
	}
}

// sendReport sends the ends, the refusals and the state of the worker that have not been reported yet. A complete report also
// lists all runs. The first report on a connection is always complete and repeats all unacknowledged ends. A report that would
// not be complete and has nothing new is not sent.
func (a *Agent) sendReport(conn *ownerconn.Conn, isComplete bool) {
	isFirst := a.bindOwner(conn)
	isComplete = isFirst || isComplete
	message := a.emptyReport()
	message.Refused, a.unreportedRefusals = a.unreportedRefusals, nil
	if isFirst {
		message.Suspicion = a.suspicionForOwner()
	}
	for _, e := range a.unackedEnds {
		if e.Seq > a.reportedEndSeq {
			message.Ends = append(message.Ends, e)
			a.reportedEndSeq = e.Seq
		}
	}
	if a.worker != a.reportedWorker && (a.worker.Gone || a.clock.readMs != 0) { // the worker has confirmed the lifetime
		message.Worker, a.reportedWorker = a.worker, a.worker
	}
	if !isComplete && message.Worker == nil && len(message.Ends) == 0 && len(message.Refused) == 0 {
		return
	}
	if a.worker != nil && (a.worker.Gone || (a.clock.readMs != 0 && a.activeListed)) {
		a.lastReportSeq++
		message.ReportSeq = a.lastReportSeq
		if a.clock.readMs != 0 {
			a.sentReports[a.lastReportSeq] = sentReport{clockMs: a.clock.reachedMs(), at: boottime.Now()}
		}
		if isComplete && (a.worker.Gone || a.runsListed) {
			message.RunsComplete = true
			if a.worker.Gone && a.goneReportSeq == 0 {
				a.goneReportSeq = a.lastReportSeq
			}
			message.Runs, message.PollSeq = a.runList(isFirst), a.listCount
		}
	}
	for _, part := range message.Parts(conn.PeerJoinsParts()) {
		conn.Send(part)
	}
}

// emptyReport returns a message that tells only what each report does.
func (a *Agent) emptyReport() session.FromMember {
	return session.FromMember{AckSeq: a.lastCommandSeq, BestEffortPaused: a.paceLimitPercent < 100}
}

// runList returns all runs. The first list on a connection also tells a new owner for how long each run has made no progress. Time in
// which the worker has listed nothing does not count, because this process may have been paused.
func (a *Agent) runList(isFirst bool) []session.Run {
	list := make([]session.Run, 0, len(a.runByTask))
	for task, r := range a.runByTask {
		listed := session.Run{
			Task: task, Run: r.start.Run, Started: r.startConfirmed, Checkpoint: r.checkpoint, ProgressPercent: r.progressPercent,
			RecentUsage: r.recentUsage, PacePercent: max(0, r.pacePercent), ResourcesUnknown: !r.resourcesKnown}
		if isFirst && r.progressedAt != 0 {
			listed.StalledMs = max(0, a.listedAt-r.progressedAt).Milliseconds()
		}
		list = append(list, listed)
	}
	return list
}
