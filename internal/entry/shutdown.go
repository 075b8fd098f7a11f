package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"bamboofork/internal/events"
	"bamboofork/internal/membership"
)

// Timing of a graceful shutdown.
const (
	// announceDuration is how long an entry keeps serving after it has announced its shutdown. In this time load balancers
	// poll /readyz, the membership record spreads, and callers' connections close after their next response.
	announceDuration = 1500 * time.Millisecond
	// DefaultStreamDrainTimeout is the default period over which an entry ends its streams during a graceful shutdown.
	DefaultStreamDrainTimeout = 30 * time.Second
	// streamFraction is the fraction of the drain period over which streams end, so that the last ends before the server stops.
	streamFraction = 0.8
)

// shutdownSignal notifies requests in flight of a graceful shutdown.
type shutdownSignal struct {
	once     sync.Once
	begun    chan struct{} // closed when the shutdown begins
	drain    time.Duration // period over which streams end
	onBegin  func()
	announce time.Duration // time to keep serving after the announcement
}

func newShutdownSignal() *shutdownSignal {
	return &shutdownSignal{begun: make(chan struct{}), drain: DefaultStreamDrainTimeout, announce: announceDuration, onBegin: func() {}}
}

// ConfigureShutdown sets the period over which streams end during a graceful shutdown and a function that is called at its start.
func (e *Entry) ConfigureShutdown(drain time.Duration, notify func()) {
	e.shutdown.drain, e.shutdown.onBegin = drain, notify
}

func (e *Entry) beginShutdown() {
	events.EntryDraining.Log(&e.log).Send()
	e.table.Update(func(m *membership.Member) { m.Leaving = true })
	e.shutdown.onBegin()
	e.shutdown.once.Do(func() { close(e.shutdown.begun) })
	time.Sleep(e.shutdown.announce)
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

// streamContext returns a context that ends at a random time within the drain period, so that callers do not reopen their
// streams all at once.
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
		case <-time.After(rand.N(time.Duration(streamFraction*float64(e.shutdown.drain)) + 1)):
			e.metrics.Counter("entry_streams_ended").Inc(1)
			cancel()
		}
	}()
	return ctx, cancel
}
