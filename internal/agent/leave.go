package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"bamboofork/internal/events"
	"bamboofork/internal/membership"
)

// Times of a planned stop.
const (
	// announceDelay is the time for the entries to hear that this agent leaves; requests that were routed before are
	// still served.
	announceDelay = 1500 * time.Millisecond
	// streamShare of the drain time is used to end the streams, each at a random moment.
	streamShare = 0.8
)

// stopState tells requests in flight that the agent leaves.
type stopState struct {
	leaving chan struct{} // closed when the stop begins: answers carry wire.HeaderLeaving
	ending  chan struct{} // closed when the gate is closed: streams end, spread over the drain time
}

func newStopState() *stopState {
	return &stopState{leaving: make(chan struct{}), ending: make(chan struct{})}
}

func (s *stopState) isLeaving() bool {
	select {
	case <-s.leaving:
		return true
	default:
		return false
	}
}

// drain announces the stop, refuses new work after announceDelay, lets requests in flight finish, ends the streams
// and hands the batch tasks over.
func (a *Agent) drain() {
	events.AgentDraining.Log(&a.log).Send()
	close(a.stop.leaving)
	a.table.Update(func(m *membership.Member) { m.Leaving = true })
	time.Sleep(announceDelay)
	a.gate.Leave()
	close(a.stop.ending)
	ctx, cancel := context.WithTimeout(context.Background(), a.cfg.Drain)
	defer cancel()
	if err := a.gate.Drain(ctx); err != nil {
		events.AgentDraining.Log(&a.log).Err(err).Msg("requests are still in flight at the end of the drain time")
	}
	a.tasks.handOver(ctx)
}

// streamContext ends a stream at a random moment of the drain time, so that its callers come back spread out.
func (a *Agent) streamContext(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	go func() {
		select {
		case <-ctx.Done():
			return
		case <-a.stop.ending:
		}
		select {
		case <-ctx.Done():
		case <-time.After(rand.N(time.Duration(streamShare*float64(a.cfg.Drain)) + 1)):
			a.metrics.Counter("agent_streams_ended").Inc(1)
			cancel()
		}
	}()
	return ctx, cancel
}
