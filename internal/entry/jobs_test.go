package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/ledger"
	"bamboofork/internal/partition"
	"bamboofork/internal/peer"
	"bamboofork/internal/store/memstore"
	"bamboofork/internal/telemetry"
	"bamboofork/internal/wire"
)

// refusingOwner loses the reply to the first submission. It replies with the code to later ones.
type refusingOwner struct {
	code  wire.Code
	calls int
}

// Call implements partition.Caller.
func (o *refusingOwner) Call(ctx context.Context, _, _ string, _, reply any) error {
	o.calls++
	if o.calls == 1 {
		<-ctx.Done()
		return peer.ErrOutcomeUnknown
	}
	reply.(*wire.SubmitReply).Code = o.code
	return nil
}

// Guards against a submission that is reported as not accepted although its job may be durable: the reply to the first attempt was
// lost, and the repeated one was refused because the partition has no owner or the owner has no store.
func TestRefusedRepetitionDoesNotSettleALostReply(t *testing.T) {
	for _, code := range []wire.Code{wire.CodeNotOwner, wire.CodeNoStore} {
		t.Run(string(code), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine := memstore.New()
				_, err := engine.CompareAndSwap(t.Context(), partition.OwnerKey(0), 0, []byte(`{"id":"a-1","addr":"a"}`), 0)
				qt.Assert(t, err, qt.IsNil)
				owner := &refusingOwner{code: code}
				e := &Entry{directory: partition.NewDirectory(engine, owner, 1), shutdown: newShutdownSignal()}
				result := e.SubmitJob(t.Context(), ledger.Job{ID: "j"})
				qt.Check(t, owner.calls > 1, qt.IsTrue)
				qt.Check(t, result.Code, qt.Equals, wire.CodeUncertain)
			})
		})
	}
}

// silentOwner replies to no call.
type silentOwner struct{}

// Call implements partition.Caller.
func (silentOwner) Call(ctx context.Context, _, _ string, _, _ any) error {
	<-ctx.Done()
	return peer.ErrOutcomeUnknown
}

// Guards against a keyed request that has its outcome in a graceful shutdown and is cut off without an answer, because the entry waits
// for the partition's owner, which stops too.
func TestOutcomeIsNotHeldBackByAStoppedOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := memstore.New()
		_, err := engine.CompareAndSwap(t.Context(), partition.OwnerKey(0), 0, []byte(`{"id":"a-1","addr":"a"}`), 0)
		qt.Assert(t, err, qt.IsNil)
		e := &Entry{directory: partition.NewDirectory(engine, silentOwner{}, 1), shutdown: newShutdownSignal(), metrics: telemetry.New()}
		time.AfterFunc(100*time.Millisecond, e.shutdown.endWaits)
		start := time.Now()
		(&keyedCall{entry: e, request: &Request{}}).completeClaim(ledger.Claim{}, true)
		answerTime := maxAnswerMargin - minResolveDuration - resolveQueryTimeout // after the longest query of the agent
		qt.Check(t, time.Since(start) < 100*time.Millisecond+answerTime, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
	})
}
