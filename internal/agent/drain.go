package agent

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
	// announceDelay is the time for the entries to receive the announcement of the shutdown. Requests that an entry routes to
	// this agent within this time are still served.
	announceDelay = 1500 * time.Millisecond
	// streamDrainFraction is the fraction of the drain timeout over which the streams are ended, each at a random moment.
	streamDrainFraction = 0.8
	// maxReleaseMargin is the time at the end of the drain timeout in which the partitions are released even if batch tasks are not
	// handed over yet, limited to maxReleaseFraction of the timeout.
	maxReleaseMargin   = 5 * time.Second
	maxReleaseFraction = 0.5
)

// drainSignals notifies requests in flight that the agent is draining.
type drainSignals struct {
	draining   chan struct{} // closed when the drain begins; responses then carry wire.HeaderLeaving
	endStreams chan struct{} // closed when the gate is closed; streams then end at random moments of the drain timeout
	// partitionsDue is done when this process's partitions are to be released. releasePartitions ends it.
	partitionsDue     context.Context
	releasePartitions context.CancelFunc
}

func newDrainSignals() *drainSignals {
	due, release := context.WithCancel(context.Background())
	return &drainSignals{draining: make(chan struct{}), endStreams: make(chan struct{}), partitionsDue: due, releasePartitions: release}
}

func (s *drainSignals) isDraining() bool {
	select {
	case <-s.draining:
		return true
	default:
		return false
	}
}

// drain announces the shutdown and refuses new requests after announceDelay. It then lets requests in flight finish and ends the
// streams. Meanwhile it hands over the batch tasks and then the partitions, so that successors do not wait for long requests. The
// partitions follow the tasks, because their owners record the ends of the tasks.
func (a *Agent) drain() {
	events.AgentDraining.Log(&a.log).Send()
	close(a.drainSignals.draining)
	a.table.Update(func(m *membership.Member) { m.Leaving = true })
	time.Sleep(announceDelay)
	a.gate.BeginShutdown()
	close(a.drainSignals.endStreams)
	timeout := a.cfg.DrainTimeout
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	margin := min(maxReleaseMargin, time.Duration(maxReleaseFraction*float64(timeout)))
	time.AfterFunc(timeout-margin, a.drainSignals.releasePartitions)
	var handOver sync.WaitGroup
	handOver.Go(func() {
		a.taskRunner.handOverTasks(ctx)
		a.drainSignals.releasePartitions()
	})
	if err := a.gate.Drain(ctx); err != nil {
		events.AgentDraining.Log(&a.log).Err(err).Msg("requests are still in flight at the end of the drain time")
	}
	handOver.Wait()
}

// UntilPartitionsDue returns a context that ends with parent, or when the partitions are to be released in a graceful shutdown.
func (a *Agent) UntilPartitionsDue(parent context.Context) (context.Context, context.CancelFunc) {
	return app.UntilEither(parent, a.drainSignals.partitionsDue)
}

// streamContext returns a context that is cancelled at a random moment of the drain timeout, so that the callers whose streams
// end do not all reconnect at once.
func (a *Agent) streamContext(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	go func() {
		select {
		case <-ctx.Done():
			return
		case <-a.drainSignals.endStreams:
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
