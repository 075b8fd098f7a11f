package partition_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"bamboofork/internal/peer"
	"bamboofork/internal/store"
	"bamboofork/internal/wire"
	"bamboofork/internal/worker"
)

// netFaults configures the faults of the fake network: probabilities per call, and the maximum delay of a message.
type netFaults struct {
	dropRequest float64
	dropReply   float64
	maxDelay    time.Duration
}

// network delivers calls between processes without sockets. mu guards its fields.
type network struct {
	mu     sync.Mutex
	rng    *rand.Rand
	hosts  map[string]*process // by address
	faults netFaults
}

// drawFaults draws the faults of one call.
func (n *network) drawFaults() (dropRequest, dropReply bool, requestDelay, replyDelay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	dropRequest = n.rng.Float64() < n.faults.dropRequest
	dropReply = n.rng.Float64() < n.faults.dropReply
	if n.faults.maxDelay > 0 {
		requestDelay = time.Duration(n.rng.Int64N(int64(n.faults.maxDelay)))
		replyDelay = time.Duration(n.rng.Int64N(int64(n.faults.maxDelay)))
	}
	return dropRequest, dropReply, requestDelay, replyDelay
}

func (n *network) processAt(addr string) *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[addr]
}

// processCaller is the partition.Caller of one process.
type processCaller struct {
	net  *network
	from *process
}

// Call delivers a call. A delayed call is delivered even if its caller's deadline has passed.
func (c processCaller) Call(ctx context.Context, addr, method string, args, reply any) error {
	if !c.from.waitAlive() {
		return peer.ErrNotSent
	}
	to := c.net.processAt(addr)
	if to == nil || !to.waitAlive() {
		return peer.ErrNotSent
	}
	dropRequest, dropReply, requestDelay, replyDelay := c.net.drawFaults()
	results := make(chan any, 1)
	if !dropRequest {
		go func() {
			time.Sleep(requestDelay)
			if !to.waitAlive() {
				return
			}
			result := to.dispatch(method, args)
			time.Sleep(replyDelay)
			if !dropReply {
				results <- result
			}
		}()
	}
	select {
	case result := <-results:
		if !c.from.waitAlive() {
			return peer.ErrOutcomeUnknown
		}
		return copyReply(result, reply)
	case <-ctx.Done():
		c.from.waitAlive() // a paused caller observes its deadline only after it resumes
		return peer.ErrOutcomeUnknown
	}
}

func copyReply(result, reply any) error {
	switch r := reply.(type) {
	case *wire.ReportReply:
		*r = result.(wire.ReportReply)
	case *wire.PlaceReply:
		*r = result.(wire.PlaceReply)
	case *wire.StopReply:
		*r = result.(wire.StopReply)
	case *wire.QueryReply:
		*r = result.(wire.QueryReply)
	case *wire.SubmitReply:
		*r = result.(wire.SubmitReply)
	case *wire.CancelReply:
		*r = result.(wire.CancelReply)
	case *wire.GetReply:
		*r = result.(wire.GetReply)
	default:
		panic("fake network: unknown reply type")
	}
	return nil
}

// procStore is the store as seen by one process: calls of a paused process are sent when it resumes.
type procStore struct {
	store.Store
	p *process
}

func (s procStore) Get(ctx context.Context, key string) (store.KV, error) {
	if !s.p.waitAlive() {
		return store.KV{}, store.ErrUnavailable
	}
	kv, err := s.Store.Get(ctx, key)
	s.p.waitAlive()
	return kv, err
}

func (s procStore) List(ctx context.Context, from, to string, limit int) ([]store.KV, int64, error) {
	if !s.p.waitAlive() {
		return nil, 0, store.ErrUnavailable
	}
	kvs, rev, err := s.Store.List(ctx, from, to, limit)
	s.p.waitAlive()
	return kvs, rev, err
}

func (s procStore) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, id store.LeaseID) (store.CASResult, error) {
	if !s.p.waitAlive() {
		return store.CASResult{}, store.ErrUnavailable
	}
	res, err := s.Store.CompareAndSwap(ctx, key, expect, value, id)
	s.p.waitAlive()
	return res, err
}

func (s procStore) DeleteRange(ctx context.Context, from, to string) (int64, error) {
	if !s.p.waitAlive() {
		return 0, store.ErrUnavailable
	}
	return s.Store.DeleteRange(ctx, from, to)
}

func (s procStore) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if !s.p.waitAlive() {
		return 0, store.ErrUnavailable
	}
	id, err := s.Store.GrantLease(ctx, ttl)
	s.p.waitAlive()
	return id, err
}

func (s procStore) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	if !s.p.waitAlive() {
		return 0, store.ErrUnavailable
	}
	ttl, err := s.Store.KeepAlive(ctx, id)
	s.p.waitAlive()
	return ttl, err
}

func (s procStore) RevokeLease(ctx context.Context, id store.LeaseID) error {
	if !s.p.waitAlive() {
		return store.ErrUnavailable
	}
	return s.Store.RevokeLease(ctx, id)
}

// procWorker is the worker as seen by one agent process.
type procWorker struct {
	worker.Worker
	p *process
}

func (w procWorker) Start(ctx context.Context, spec worker.Spec) error {
	if !w.p.waitAlive() {
		return worker.ErrUnavailable
	}
	w.p.fleet.observer.recordOffer(spec)
	return w.Worker.Start(ctx, spec)
}

func (w procWorker) Renew(ctx context.Context, refs []worker.Ref, lease time.Duration) error {
	if !w.p.waitAlive() {
		return worker.ErrUnavailable
	}
	return w.Worker.Renew(ctx, refs, lease)
}

func (w procWorker) RenewUntil(ctx context.Context, refs []worker.Ref, lease, until time.Duration) error {
	if !w.p.waitAlive() {
		return worker.ErrUnavailable
	}
	return w.Worker.(worker.ClockedWorker).RenewUntil(ctx, refs, lease, until)
}

func (w procWorker) Clock(ctx context.Context) (time.Duration, error) {
	if !w.p.waitAlive() {
		return 0, worker.ErrUnavailable
	}
	clock, err := w.Worker.(worker.ClockedWorker).Clock(ctx)
	w.p.waitAlive()
	return clock, err
}

func (w procWorker) List(ctx context.Context) ([]worker.Status, error) {
	if !w.p.waitAlive() {
		return nil, worker.ErrUnavailable
	}
	list, err := w.Worker.List(ctx)
	w.p.waitAlive()
	return list, err
}

func (w procWorker) Checkpoint(ctx context.Context, ref worker.Ref) (string, error) {
	if !w.p.waitAlive() {
		return "", worker.ErrUnavailable
	}
	return w.Worker.Checkpoint(ctx, ref)
}

func (w procWorker) Stop(ctx context.Context, ref worker.Ref) error {
	if !w.p.waitAlive() {
		return worker.ErrUnavailable
	}
	return w.Worker.Stop(ctx, ref)
}

func (w procWorker) Forget(ctx context.Context, ref worker.Ref) error {
	if !w.p.waitAlive() {
		return worker.ErrUnavailable
	}
	return w.Worker.Forget(ctx, ref)
}
