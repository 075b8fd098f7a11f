package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"bamboofork/internal/events"
	"bamboofork/internal/membership"
)

// Timing of a planned shutdown.
const (
	// announceDuration is how long an entry goes on serving after it announced its shutdown. In this time load balancers
	// poll /readyz, the membership record spreads, and callers' connections close after their next response.
	announceDuration = 1500 * time.Millisecond
	// DefaultStreamDrainTimeout is the default period over which an entry ends its streams during a planned shutdown.
	DefaultStreamDrainTimeout = 30 * time.Second
	// streamShare is the part of the drain period over which streams end, so that the last ends before the server stops.
	streamShare = 0.8
)

// stopSignal notifies requests in flight of a planned shutdown.
type stopSignal struct {
	once     sync.Once
	leaving  chan struct{}
	drain    time.Duration
	onLeave  func()
	announce time.Duration
}

func newStopSignal() *stopSignal {
	return &stopSignal{leaving: make(chan struct{}), drain: DefaultStreamDrainTimeout, announce: announceDuration, onLeave: func() {}}
}

// ConfigureShutdown sets the period over which streams end during a planned shutdown and a function that is called at its start.
func (e *Entry) ConfigureShutdown(drain time.Duration, notify func()) {
	e.stop.drain, e.stop.onLeave = drain, notify
}

func (e *Entry) leave() {
	events.EntryDraining.Log(&e.log).Send()
	e.table.Update(func(m *membership.Member) { m.Leaving = true })
	e.stop.onLeave()
	e.stop.once.Do(func() { close(e.stop.leaving) })
	time.Sleep(e.stop.announce)
}

// isLeaving reports whether a planned shutdown has begun.
func (e *Entry) isLeaving() bool {
	select {
	case <-e.stop.leaving:
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
		case <-e.stop.leaving:
		}
		select {
		case <-ctx.Done():
		case <-time.After(rand.N(time.Duration(streamShare*float64(e.stop.drain)) + 1)):
			e.metrics.Counter("entry_streams_ended").Inc(1)
			cancel()
		}
	}()
	return ctx, cancel
}
