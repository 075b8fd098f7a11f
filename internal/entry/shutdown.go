package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"bamboofork/internal/app"
	"bamboofork/internal/events"
	"bamboofork/internal/membership"
)

// Timing of a graceful shutdown.
const (
	// announceDuration is how long an entry keeps serving after it has announced its shutdown. During this time load balancers
	// poll /readyz, the membership record spreads, and each caller's connection closes after its next response.
	announceDuration = 1500 * time.Millisecond
	// DefaultStreamDrainTimeout is the default drain period: the time within which an entry ends its streams during a graceful
	// shutdown.
	DefaultStreamDrainTimeout = 30 * time.Second
	// streamEndFraction is the fraction of the drain period within which all streams end. The rest of the period is a margin,
	// so that the last stream ends before the server stops.
	streamEndFraction = 0.8
	// maxAnswerMargin is the time between the end of all waits and the end of the drain period, limited to maxAnswerFraction of that
	// period. An entry queries an agent for the outcome of a keyed request in this time.
	maxAnswerMargin   = 2 * time.Second
	maxAnswerFraction = 0.5
)

// shutdownSignal notifies requests in flight of a graceful shutdown.
type shutdownSignal struct {
	closeOnce      sync.Once
	begun          chan struct{} // closed when the shutdown begins
	drainPeriod    time.Duration // period over which streams end
	onBegin        func()
	announcePeriod time.Duration // time to keep serving after the announcement
	// answersDue is done shortly before the connections are closed. Requests that wait for an agent or an owner then get an answer
	// at once. endWaits ends answersDue.
	answersDue context.Context
	endWaits   context.CancelFunc
}

func newShutdownSignal() *shutdownSignal {
	answersDue, endWaits := context.WithCancel(context.Background())
	return &shutdownSignal{begun: make(chan struct{}), drainPeriod: DefaultStreamDrainTimeout, announcePeriod: announceDuration,
		onBegin: func() {}, answersDue: answersDue, endWaits: endWaits}
}

// ConfigureShutdown sets the drain period, within which streams end during a graceful shutdown. onBegin is called when the
// shutdown begins.
func (e *Entry) ConfigureShutdown(drainPeriod time.Duration, onBegin func()) {
	e.shutdown.drainPeriod, e.shutdown.onBegin = drainPeriod, onBegin
}

func (e *Entry) beginShutdown() {
	events.EntryDraining.Log(&e.log).Send()
	e.table.Update(func(m *membership.Member) { m.Leaving = true })
	e.shutdown.onBegin()
	e.shutdown.closeOnce.Do(func() { close(e.shutdown.begun) })
	margin := min(maxAnswerMargin, time.Duration(maxAnswerFraction*float64(e.shutdown.drainPeriod)))
	time.AfterFunc(e.shutdown.announcePeriod+e.shutdown.drainPeriod-margin, e.shutdown.endWaits)
	time.Sleep(e.shutdown.announcePeriod)
}

// isShuttingDown reports whether a graceful shutdown has begun.
func (e *Entry) isShuttingDown() bool {
	select {
	case <-e.shutdown.begun:
		return true
	default:
		return false
	}
}

// untilAnswersDue returns a context that also ends when the answers are due in a graceful shutdown.
func (e *Entry) untilAnswersDue(parent context.Context) (context.Context, context.CancelFunc) {
	return app.UntilEither(parent, e.shutdown.answersDue)
}

// streamContext returns a context that ends at a random time within the drain period of a graceful shutdown. The random times
// keep callers from reopening their streams all at once.
func (e *Entry) streamContext(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	go func() {
		select {
		case <-ctx.Done():
			return
		case <-e.shutdown.begun:
		}
		select {
		case <-ctx.Done():
		case <-time.After(rand.N(time.Duration(streamEndFraction*float64(e.shutdown.drainPeriod)) + 1)):
			e.metrics.Counter("entry_streams_ended").Inc(1)
			cancel()
		}
	}()
	return ctx, cancel
}
