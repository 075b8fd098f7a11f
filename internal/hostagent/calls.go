package hostagent

import (
	"context"
	"errors"
	"time"

	"bamboofork/internal/app"
	"bamboofork/internal/boottime"
	"bamboofork/internal/events"
	"bamboofork/internal/follow"
	"bamboofork/internal/jobs"
	"bamboofork/internal/session"
)

const (
	// orderTimeout bounds one start or stop; a worker answers in a millisecond, and an order without an answer is
	// repeated because it may be carried out seconds later.
	orderTimeout = 250 * time.Millisecond
	// orderRetry is the pause before an order is repeated.
	orderRetry = 60 * time.Millisecond
	// lapseSlack covers calls that are on their way when a hold ends.
	lapseSlack = 300
	// closedLimit is the number of refused connections in a row after which the worker's process has ended.
	closedLimit = 3
)

// startLoop carries out starts. An unanswered start is repeated with the same run number, which the worker takes as the
// same run, until the worker answers or the run is stopped or overtaken by a new lifetime.
func (a *Agent) startLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-a.orders:
			a.carryOut(ctx, r)
		}
	}
}

func (a *Agent) carryOut(ctx context.Context, r *run) {
	began := boottime.Now()
	for try := 1; ctx.Err() == nil; {
		a.mu.Lock()
		if a.runs[r.start.Task] != r || r.stopping {
			a.mu.Unlock()
			return
		}
		if a.lost { // it may be in a new lifetime, which would begin the run unseen
			a.mu.Unlock()
			app.Sleep(ctx, orderRetry)
			continue
		}
		who, token, deadline := a.identity(), a.token, a.deadline()
		a.mu.Unlock()
		asked := boottime.Now()
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		reason, clock, err := a.cfg.Runner.Start(callCtx, who, token, &r.start, deadline)
		cancel()
		if a.started(r, who, reason, clock, err, asked, began, try) {
			return
		}
		try++
		app.Sleep(ctx, orderRetry)
	}
}

// started takes in the answer to a start and reports whether the order is settled.
func (a *Agent) started(r *run, who Identity, reason Rejection, clock int64, err error, asked, began time.Duration, try int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.runs[r.start.Task] != r {
		return true
	}
	a.noteClock(who.Life, clock, asked)
	log := &a.cfg.Log
	switch {
	case errors.Is(err, ErrOtherLife):
		a.remove(r)
		a.refuse(r.start.Task, r.start.Run, "another lifetime of the worker")
		return true
	case errors.Is(err, ErrBusy) || errors.Is(err, ErrRejected) || errors.Is(err, ErrClosed):
		if try > 1 {
			break // an earlier attempt may still be carried out
		}
		a.remove(r)
		a.refuse(r.start.Task, r.start.Run, err.Error())
		return true
	case err != nil:
	case reason == Accepted:
		r.started = true
		if r.start.Fills && a.paceOf(r) != r.pace {
			a.signalPace()
		}
		a.cfg.Metrics.Histogram("agent_start_us").Update((boottime.Now() - began).Microseconds())
		events.RunStarted.Log(log).Str("task", r.start.Task).Int("run", r.start.Run).Int("tries", try).
			Int64("took_ms", (boottime.Now() - began).Milliseconds()).Send()
		return true
	case reason == RejectedOld:
		// An earlier attempt may have run and ended already; the next list of the worker tells.
		r.why, r.recheck = "old run number", boottime.Now()
		return true
	default:
		if try > 1 && reason != RejectedFence {
			// An earlier attempt may still be carried out; a stop makes the worker reject it.
			a.stop(&session.Stop{Task: r.start.Task, Run: r.start.Run})
			return true
		}
		a.remove(r)
		a.refuse(r.start.Task, r.start.Run, string(reason))
		return true
	}
	if try == 1 {
		events.RunUnanswered.Log(log).Str("task", r.start.Task).Int("run", r.start.Run).Err(err).Send()
		a.cfg.Metrics.Counter("agent_starts_unanswered").Inc(1)
	}
	return false
}

// deadline is the time on the worker's clock until which its runs are held. It never passes what the owner has granted,
// because the owner counts runs out of its reach as over from then on.
func (a *Agent) deadline() int64 {
	d := min(a.grantMs, a.workerClock()+a.cfg.Hold.Milliseconds())
	a.heldMs = max(a.heldMs, d)
	return d
}

// stopLoop carries out stops and repeats unanswered ones.
func (a *Agent) stopLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-a.stops:
			a.carryOutStop(ctx, r)
		}
	}
}

func (a *Agent) carryOutStop(ctx context.Context, r *run) {
	for ctx.Err() == nil {
		a.mu.Lock()
		if a.runs[r.start.Task] != r {
			a.mu.Unlock()
			return
		}
		who, token := a.identity(), a.token
		a.mu.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		err := a.cfg.Runner.Stop(callCtx, who, token, r.start.Task, r.start.Run)
		cancel()
		if err == nil || errors.Is(err, ErrOtherLife) {
			a.mu.Lock()
			// A run that had not begun is rejected from now on and is listed nowhere.
			r.why, r.recheck = "stopped", boottime.Now()+a.cfg.StopTime
			a.mu.Unlock()
			return
		}
		app.Sleep(ctx, orderRetry)
	}
}

const (
	// holdWait is how long the worker may wait for an end before it answers. Runs are held anew with each call, and the
	// latencies of serving runs, which average half a second, come with each answer.
	holdWait = 250
	// holdTimeout bounds a call that waits.
	holdTimeout = holdWait*time.Millisecond + 400*time.Millisecond
	// maxTokenStep bounds the step by which a refused fencing token grows, in ms of the worker's clock: about a day.
	maxTokenStep = 1 << 27
	// ackWait is how long the agent waits for the owner's acknowledgement of listed ends before it asks again; the
	// worker would list the same ends at once.
	ackWait = 150 * time.Millisecond
	// lostRetry is the pause before a worker that does not answer is asked again.
	lostRetry = 150 * time.Millisecond
)

// holdLoop keeps the runs held and takes in what the worker lists.
func (a *Agent) holdLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := a.holdOnce(ctx); err != nil {
			a.workerLost(err)
			app.Sleep(ctx, lostRetry)
			continue
		}
		a.mu.Lock()
		unacked := len(a.ends) > 0
		a.mu.Unlock()
		if unacked {
			app.Wait(ctx, a.acked, ackWait)
		}
	}
}

var errNoWorker = errors.New("no worker has registered")

func (a *Agent) holdOnce(ctx context.Context) error {
	a.mu.Lock()
	if a.worker == nil || a.worker.Gone {
		a.mu.Unlock()
		return errNoWorker
	}
	who, token, seen, deadline := a.identity(), a.token, a.ackEnds, int64(0)
	waitMs := holdWait
	if token == 0 || len(a.ends) > 0 || a.rechecking() {
		waitMs = 0
	}
	if a.lost {
		// A new lifetime under the same id numbers its ends anew: acknowledging by the former numbers would let it forget
		// ends that nobody has seen.
		seen, waitMs = 0, 0
	}
	if token != 0 && a.grantMs > 0 && !a.lost {
		deadline = a.deadline() // a worker that does not answer is not given more time, so that its runs lapse
	}
	a.mu.Unlock()
	asked := boottime.Now()
	callCtx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	h, err := a.cfg.Runner.Hold(callCtx, who, token, deadline, seen, waitMs)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.workerBack()
	a.closed = 0
	if a.worker.Life != who.Life {
		return nil
	}
	if token == 0 || h.Fenced {
		// The worker's clock rises through its lifetime, so each life of the agent gets a higher token without a store.
		// A call of a former lifetime may have left a higher one behind; doubling the step passes it in a few calls.
		a.token = max(h.ClockMs, a.token+a.tokenStep)
		a.tokenStep = min(2*a.tokenStep, maxTokenStep)
		a.noteClock(who.Life, h.ClockMs, asked)
		events.WorkerLife.Log(&a.cfg.Log).Str("worker", who.ID).Int64("life", who.Life).Int64("token", a.token).Send()
		return nil
	}
	if h.Life != 0 && h.Life != who.Life {
		return ErrOtherLife
	}
	a.tokenStep = 1
	a.noteClock(who.Life, h.ClockMs, asked)
	a.takeIn(&h, asked)
	return nil
}

// rechecking reports whether a run's state is open, so that the next list is wanted at once.
func (a *Agent) rechecking() bool {
	for _, r := range a.runs {
		if r.recheck != 0 {
			return true
		}
	}
	return false
}

// takeIn compares the worker's lists with the runs.
func (a *Agent) takeIn(h *HoldAnswer, asked time.Duration) {
	if !a.listed {
		a.listed = true
		a.signal()
	}
	for _, e := range h.Ended {
		a.ended(&e)
	}
	active := make(map[string]int, len(h.Active))
	for i := range h.Active {
		row := &h.Active[i]
		active[row.Task] = row.Run
		a.seen(row)
	}
	for task, r := range a.runs {
		if r.recheck == 0 || asked < r.recheck || active[task] == r.start.Run {
			continue
		}
		a.remove(r)
		a.refuse(task, r.start.Run, r.why)
	}
	a.looks++
	a.lookDue = true
	a.signal()
}

func (a *Agent) ended(e *EndedRun) {
	if e.Seq <= a.ackEnds {
		return
	}
	if n := len(a.ends); n > 0 && e.Seq <= a.ends[n-1].Seq {
		return
	}
	a.ends = append(a.ends, session.RunEnd{Life: a.worker.Life, Seq: e.Seq, Task: e.Task, Run: e.Run, How: e.How, Saved: e.Saved})
	if r := a.runs[e.Task]; r != nil && r.start.Run <= e.Run {
		a.remove(r)
	}
}

// seen takes in a run that the worker lists as active.
func (a *Agent) seen(row *ActiveRun) {
	r := a.runs[row.Task]
	if r == nil {
		for _, e := range a.ends {
			if e.Task == row.Task && e.Run >= row.Run {
				return
			}
		}
		r = &run{start: session.Start{Task: row.Task, Run: row.Run}, pace: unknownPace, wanted: jobs.FullPace}
		a.runs[row.Task] = r
	}
	if r.start.Run != row.Run {
		return
	}
	r.started = true
	if r.recheck != 0 && !r.stopping {
		r.recheck = 0
	}
	r.saved, r.percent, r.recent = row.Saved, row.Percent, row.Recent
}

func (a *Agent) workerLost(err error) {
	if errors.Is(err, errNoWorker) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.lost {
		a.lost = true
		events.WorkerLost.Log(&a.cfg.Log).Err(err).Int("runs", len(a.runs)).Send()
	}
	if a.worker == nil || a.worker.Gone {
		return
	}
	if !errors.Is(err, ErrClosed) {
		a.closed = 0
	} else if a.closed++; a.closed >= closedLimit {
		a.workerGone()
		return
	}
	if a.lapsed() {
		for _, r := range a.runs {
			a.remove(r)
			a.refuse(r.start.Task, r.start.Run, "the worker does not answer and its hold has lapsed")
		}
	}
}

// lapsed reports whether everything on the worker must have ended by its own clock.
func (a *Agent) lapsed() bool {
	if a.heldMs == 0 || a.clockMs == 0 {
		return false
	}
	passed := float64((boottime.Now() - a.clockAt).Milliseconds()) * (1 - session.WorkerClockDrift)
	return a.clockMs+int64(passed) > a.heldMs+lapseSlack
}

func (a *Agent) workerBack() {
	if a.lost {
		a.lost = false
		events.WorkerBack.Log(&a.cfg.Log).Int("runs", len(a.runs)).Send()
	}
}

// reportLoop tells the owner about ends and refusals at once and about all runs from time to time.
func (a *Agent) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	var fullAt time.Duration // boot time of the newest complete report
	for {
		full := false
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		case <-ticker.C:
			full = true
		}
		c := a.cfg.Follower.Conn()
		a.mu.Lock()
		if a.lookDue && boottime.Now() >= fullAt+lookGap {
			full = true
		}
		if full {
			fullAt, a.lookDue = boottime.Now(), false
		}
		if c != nil {
			a.report(c, full)
		}
		a.checkRoom()
		a.mu.Unlock()
	}
}

// report sends what the owner does not know yet; a full report also lists all runs. The first report on a connection is
// full and repeats all unacknowledged ends.
func (a *Agent) report(c *follow.Conn, full bool) {
	full = a.bind(c) || full
	m := session.FromMember{Worker: a.worker, SeenSeq: a.seenSeq, Refused: a.refused, Slowed: a.paceLimit < 100}
	a.refused = nil
	for _, e := range a.ends {
		if e.Seq > a.reported {
			m.Ends = append(m.Ends, e)
			a.reported = e.Seq
		}
	}
	if a.worker != nil && a.clockMs != 0 && (a.listed || a.worker.Gone) {
		a.stamp++
		m.Stamp = a.stamp
		a.stamps[a.stamp] = a.workerClock()
		if full {
			m.Full = true
			m.Runs, m.Look = a.list(), a.looks
		}
	}
	c.Send(m)
}

func (a *Agent) list() []session.Run {
	list := make([]session.Run, 0, len(a.runs))
	for task, r := range a.runs {
		list = append(list, session.Run{Task: task, Run: r.start.Run, Started: r.started, Saved: r.saved, Percent: r.percent, Recent: r.recent, Pace: max(0, r.pace), Unsized: !r.sized})
	}
	return list
}
