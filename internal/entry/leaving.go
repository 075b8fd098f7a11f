package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"bamboofork/internal/events"
	"bamboofork/internal/membership"
)

// Times of a planned stop.
const (
	// announceTime is how long an entry serves after it announced its leaving: load balancers read /readyz, other
	// processes exchange membership records, and callers' connections close with their next answer.
	announceTime = 1500 * time.Millisecond
	// DefaultStreamDrain is the time over which the streams of a leaving entry end.
	DefaultStreamDrain = 30 * time.Second
	// streamShare of the stream drain time is used, so that the last stream ends before the server stops.
	streamShare = 0.8
)

// stopSignal tells requests in flight that the entry leaves.
type stopSignal struct {
	once     sync.Once
	ch       chan struct{}
	drain    time.Duration
	onLeave  func()
	announce time.Duration
}

func newStopSignal() *stopSignal {
	return &stopSignal{ch: make(chan struct{}), drain: DefaultStreamDrain, announce: announceTime, onLeave: func() {}}
}

// OnLeave sets the time over which streams end at a planned stop and a function that is called at its start.
func (e *Entry) OnLeave(drain time.Duration, notify func()) {
	e.stop.drain, e.stop.onLeave = drain, notify
}

func (e *Entry) leave() {
	events.EntryDraining.Log(&e.log).Send()
	e.table.Update(func(m *membership.Member) { m.Leaving = true })
	e.stop.onLeave()
	e.stop.once.Do(func() { close(e.stop.ch) })
	time.Sleep(e.stop.announce)
}

// isLeaving reports whether a planned stop has begun.
func (e *Entry) isLeaving() bool {
	select {
	case <-e.stop.ch:
		return true
	default:
		return false
	}
}

// streamContext ends a stream at a random moment of the drain time, so that its callers come back spread out.
func (e *Entry) streamContext(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	go func() {
		select {
		case <-ctx.Done():
			return
		case <-e.stop.ch:
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
