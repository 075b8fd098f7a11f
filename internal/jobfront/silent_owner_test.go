package jobfront

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/jobs"
	"bamboofork/internal/outage"
	"bamboofork/internal/queues"
	"bamboofork/internal/session"
)

// newHoldingFront is newFront for a front that holds requests while no owner is within reach.
func newHoldingFront(t *testing.T) (*Front, func(epoch int64) *fakeOwner) {
	front, connect := newFront(t)
	front.SilentStore = &outage.Policy{MaxHeld: 10, MaxHeldBytes: 1 << 20}
	front.Manifest = &queues.CurrentManifest{}
	return front, connect
}

// submit sends a submission of a caller that waits for the time, and returns the channel of its result.
func submit(ctx context.Context, front *Front, wait time.Duration) <-chan Result {
	results := make(chan Result, 1)
	go func() {
		result, _ := front.sendUntilReply(ctx, &session.Request{Verb: session.VerbSubmit, JobID: "j", Spec: &jobs.Spec{}}, ownerWait(wait), wait)
		results <- result
	}()
	return results
}

// silentOwner makes the front see an owner that is connected and was heard last a second ago.
func silentOwner(front *Front) {
	front.mu.Lock()
	defer front.mu.Unlock()
	front.heardAt -= time.Second
}

// Guards against an unclear answer about a submission that was sent to an owner whose host is gone already: its connection fails only
// after session.IdleTimeout.
func TestSubmissionIsNotSentToASilentOwner(t *testing.T) {
	front, connect := newHoldingFront(t)
	connect(1) // sends nothing more
	silentOwner(front)
	start := time.Now()
	result := <-submit(t.Context(), front, 2*time.Second)
	qt.Check(t, result.Outcome, qt.Equals, NotAccepted)
	qt.Check(t, result.RetryAfter > 0, qt.IsTrue)
	qt.Check(t, time.Since(start) < 1800*time.Millisecond, qt.IsTrue, qt.Commentf("the caller has time left"))
	qt.Check(t, front.held, qt.Equals, 0)
	qt.Check(t, front.heldBytes, qt.Equals, 0)
}

// Guards against a submission that stays away from an owner which was only slow to send something.
func TestSubmissionIsSentOnceTheOwnerIsHeardAgain(t *testing.T) {
	front, connect := newHoldingFront(t)
	owner := connect(1)
	silentOwner(front)
	results := submit(t.Context(), front, time.Minute)
	time.Sleep(3 * connPollInterval)
	request := owner.awaitRequest() // sends a message first
	qt.Check(t, request.RemainingMs > 0 && request.RemainingMs < time.Minute.Milliseconds(), qt.IsTrue)
	qt.Check(t, request.WaitedMs >= (3*connPollInterval).Milliseconds()/2 && request.WaitedMs+request.RemainingMs <= time.Minute.Milliseconds(), qt.IsTrue)
	owner.conn.Send(session.ToMember{Replies: []session.Reply{{RequestID: request.ID, Code: session.CodeOK}}})
	qt.Check(t, (<-results).Outcome, qt.Equals, Done)
}

// Guards against an unclear answer about a submission that its owner has released, and against a release that ends the wait for a successor.
func TestReleasedSubmissionGoesToTheSuccessorOrIsNotRun(t *testing.T) {
	for name, hasSuccessor := range map[string]bool{"successor": true, "none": false} {
		t.Run(name, func(t *testing.T) {
			front, connect := newHoldingFront(t)
			owner := connect(1)
			results := submit(t.Context(), front, 3*time.Second)
			request := owner.awaitRequest()
			owner.conn.Send(session.ToMember{Replies: []session.Reply{{RequestID: request.ID, Code: session.CodeReleased}}})
			if !hasSuccessor {
				owner.conn.Send(session.ToMember{Resigned: true})
				qt.Check(t, (<-results).Outcome, qt.Equals, NotAccepted)
				return
			}
			successor := connect(2)
			successor.conn.Send(session.ToMember{Replies: []session.Reply{{RequestID: successor.awaitRequest().ID, Code: session.CodeOK}}})
			qt.Check(t, (<-results).Outcome, qt.Equals, Done)
		})
	}
}

// Guards against a submission that is reported as not run because an earlier owner has released it, although it is with its successor: the
// release arrives late.
func TestReleaseByAnEarlierOwnerProvesNothing(t *testing.T) {
	front, connect := newHoldingFront(t)
	earlier := connect(1)
	earlierConn := front.Follower.Conn()
	results := submit(t.Context(), front, time.Second)
	request := earlier.awaitRequest()
	last := connect(2)
	last.awaitRequest()
	front.HandleMessage(earlierConn, &session.ToMember{Replies: []session.Reply{{RequestID: request.ID, Code: session.CodeReleased}}})
	qt.Check(t, (<-results).Outcome, qt.Equals, Unclear)
}

// Load: more callers than an entry holds while no owner is within reach.
func TestEntryHoldsABoundedNumberOfRequests(t *testing.T) {
	front, _ := newHoldingFront(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var held []<-chan Result
	for range front.SilentStore.MaxHeld {
		held = append(held, submit(ctx, front, time.Minute))
	}
	isFull := func() bool {
		front.mu.Lock()
		defer front.mu.Unlock()
		return front.held == front.SilentStore.MaxHeld
	}
	for !isFull() {
		time.Sleep(time.Millisecond)
	}
	start := time.Now()
	qt.Check(t, (<-submit(t.Context(), front, time.Minute)).Outcome, qt.Equals, NotAccepted)
	qt.Check(t, time.Since(start) < time.Second, qt.IsTrue)
	cancel()
	for _, result := range held {
		qt.Check(t, (<-result).Outcome, qt.Equals, NotAccepted)
	}
	qt.Check(t, front.held, qt.Equals, 0)
}

// Load: the first requests after all machines lost power reach an entry before its first manifest does.
func TestRequestWaitsForTheFirstManifest(t *testing.T) {
	front, _ := newHoldingFront(t)
	call := Call{Host: "h", Path: "/q/0123456789abcdef", Action: Read, Wait: 3 * time.Second}
	results := make(chan Result, 1)
	go func() { results <- front.Serve(t.Context(), call) }()
	time.Sleep(2 * connPollInterval)
	front.Manifest.SetIfNewer(&queues.Manifest{Version: 1})
	qt.Check(t, (<-results).Outcome, qt.Equals, NoQueue)

	empty, _ := newHoldingFront(t)
	call.Wait = 500 * time.Millisecond
	result := empty.Serve(t.Context(), call)
	qt.Check(t, result.Outcome, qt.Equals, NotAccepted)
	qt.Check(t, result.RetryAfter > 0, qt.IsTrue)
}

// Guards against an unclear answer to a caller that waits for long: the owner must be told no more time than the entry waits, or it holds the
// submission beyond that.
func TestOwnerEndsItsHoldBeforeTheEntryEndsItsWait(t *testing.T) {
	for _, wait := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second, 10 * time.Second, time.Minute} {
		front, connect := newHoldingFront(t)
		owner := connect(1)
		ctx, cancel := context.WithCancel(t.Context())
		results := submit(ctx, front, wait)
		told := time.Duration(owner.awaitRequest().RemainingMs) * time.Millisecond
		for _, silent := range []time.Duration{0, time.Second, 3 * time.Second} {
			decision := front.SilentStore.Decide(outage.Situation{Silent: silent, Remaining: told})
			qt.Check(t, decision.HoldFor < ownerWait(wait), qt.IsTrue, qt.Commentf("wait %s, silent %s: %s of %s", wait, silent, decision.HoldFor, ownerWait(wait)))
		}
		cancel()
		<-results
	}
}

// Guards against a request that is answered after its caller has given up, because the wait for the first manifest is added to the wait for
// an owner: the caller does not say how long it waits, or waits for long.
func TestWaitForTheManifestIsPartOfTheWait(t *testing.T) {
	for _, wait := range []time.Duration{0, time.Minute} {
		front, connect := newHoldingFront(t)
		connect(1) // does not answer
		call := Call{Host: "h", Path: "/q/0123456789abcdef", Action: Read, Wait: wait}
		start := time.Now()
		time.AfterFunc(1300*time.Millisecond, func() {
			manifest := &queues.Manifest{Version: 1, Routes: []queues.Route{{Host: "h", Prefix: "/q/", Timeout: 10 * time.Second}}}
			front.Manifest.SetIfNewer(manifest.BuildIndex())
		})
		qt.Check(t, front.Serve(t.Context(), call).Outcome, qt.Equals, NotAccepted)
		qt.Check(t, time.Since(start) < maxWait+200*time.Millisecond, qt.IsTrue, qt.Commentf("%s", time.Since(start)))

		empty, _ := newHoldingFront(t)
		start = time.Now()
		qt.Check(t, empty.Serve(t.Context(), call).Outcome, qt.Equals, NotAccepted)
		qt.Check(t, time.Since(start) < maxWait, qt.IsTrue, qt.Commentf("%s", time.Since(start)))
	}
}
