package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"bamboofork/internal/events"
	"bamboofork/internal/membership"
)

// Timing of a graceful shutdown.
const (
	// announceDelay is the time for the entries to receive the announcement of the shutdown; requests that they route to
	// this agent until then are still served.
	announceDelay = 1500 * time.Millisecond
	// streamDrainFraction is the fraction of the drain time over which the streams are ended, each at a random moment.
	streamDrainFraction = 0.8
)

// drainState signals to requests in flight that the agent drains.
type drainState struct {
	draining   chan struct{} // closed when the drain begins: responses carry wire.HeaderLeaving
	endStreams chan struct{} // closed when the gate is closed: streams end, spread over the drain time
}

func newDrainState() *drainState {
	return &drainState{draining: make(chan struct{}), endStreams: make(chan struct{})}
}

func (s *drainState) isDraining() bool {
	select {
	case <-s.draining:
		return true
	default:
		return false
	}
}

// drain announces the shutdown, refuses new requests after announceDelay, lets requests in flight finish, ends the streams
// and hands over the batch tasks.
func (a *Agent) drain() {
	events.AgentDraining.Log(&a.log).Send()
	close(a.drainState.draining)
	a.table.Update(func(m *membership.Member) { m.Leaving = true })
	time.Sleep(announceDelay)
	a.gate.BeginShutdown()
	close(a.drainState.endStreams)
	ctx, cancel := context.WithTimeout(context.Background(), a.cfg.DrainTimeout)
	defer cancel()
	if err := a.gate.Drain(ctx); err != nil {
		events.AgentDraining.Log(&a.log).Err(err).Msg("requests are still in flight at the end of the drain time")
	}
	a.tasks.handOver(ctx)
}

// streamContext ends a stream at a random moment of the drain time, so that the callers' reconnections are spread out.
func (a *Agent) streamContext(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	go func() {
		select {
		case <-ctx.Done():
			return
		case <-a.drainState.endStreams:
		}
		select {
		case <-ctx.Done():
		case <-time.After(rand.N(time.Duration(streamDrainFraction*float64(a.cfg.DrainTimeout)) + 1)):
			a.metrics.Counter("agent_streams_ended").Inc(1)
			cancel()
		}
	}()
	return ctx, cancel
}
