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

// netFaults are the faults of the fake network: probabilities per call, and the longest delay of a message.
type netFaults struct {
	dropRequest float64
	dropReply   float64
	maxDelay    time.Duration
}

// network carries calls between fake hosts without sockets. mu guards its fields.
type network struct {
	mu     sync.Mutex
	rnd    *rand.Rand
	hosts  map[string]*process // by address
	faults netFaults
}

// plan draws the faults of one call.
func (n *network) plan() (drop, lose bool, out, back time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	drop = n.rnd.Float64() < n.faults.dropRequest
	lose = n.rnd.Float64() < n.faults.dropReply
	if n.faults.maxDelay > 0 {
		out = time.Duration(n.rnd.Int64N(int64(n.faults.maxDelay)))
		back = time.Duration(n.rnd.Int64N(int64(n.faults.maxDelay)))
	}
	return drop, lose, out, back
}

func (n *network) at(addr string) *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[addr]
}

// endpoint is the partition.Caller of one process.
type endpoint struct {
	net  *network
	from *process
}

// Call delivers a call. A call that was delayed is still delivered after its caller gave up.
func (e endpoint) Call(ctx context.Context, addr, method string, args, reply any) error {
	if !e.from.alive() {
		return peer.ErrNotSent
	}
	to := e.net.at(addr)
	if to == nil || !to.alive() {
		return peer.ErrNotSent
	}
	drop, lose, out, back := e.net.plan()
	answered := make(chan any, 1)
	if !drop {
		go func() {
			time.Sleep(out)
			if !to.alive() {
				return
			}
			answer := to.dispatch(method, args)
			time.Sleep(back)
			if !lose {
				answered <- answer
			}
		}()
	}
	select {
	case answer := <-answered:
		if !e.from.alive() {
			return peer.ErrLost
		}
		return copyAnswer(answer, reply)
	case <-ctx.Done():
		e.from.alive() // a paused caller notices its deadline only after it resumes
		return peer.ErrLost
	}
}

func copyAnswer(answer, reply any) error {
	switch r := reply.(type) {
	case *wire.ReportReply:
		*r = answer.(wire.ReportReply)
	case *wire.PlaceReply:
		*r = answer.(wire.PlaceReply)
	case *wire.StopReply:
		*r = answer.(wire.StopReply)
	case *wire.QueryReply:
		*r = answer.(wire.QueryReply)
	case *wire.SubmitReply:
		*r = answer.(wire.SubmitReply)
	case *wire.CancelReply:
		*r = answer.(wire.CancelReply)
	case *wire.GetReply:
		*r = answer.(wire.GetReply)
	default:
		panic("fake network: unknown reply type")
	}
	return nil
}

// hostStore is the store as one process sees it: calls of a paused process go out when it resumes.
type hostStore struct {
	store.Store
	p *process
}

func (s hostStore) Get(ctx context.Context, key string) (store.KV, error) {
	if !s.p.alive() {
		return store.KV{}, store.ErrUnavailable
	}
	kv, err := s.Store.Get(ctx, key)
	s.p.alive()
	return kv, err
}

func (s hostStore) List(ctx context.Context, from, to string, limit int) ([]store.KV, int64, error) {
	if !s.p.alive() {
		return nil, 0, store.ErrUnavailable
	}
	kvs, rev, err := s.Store.List(ctx, from, to, limit)
	s.p.alive()
	return kvs, rev, err
}

func (s hostStore) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, id store.LeaseID) (store.CASResult, error) {
	if !s.p.alive() {
		return store.CASResult{}, store.ErrUnavailable
	}
	res, err := s.Store.CompareAndSwap(ctx, key, expect, value, id)
	s.p.alive()
	return res, err
}

func (s hostStore) DeleteRange(ctx context.Context, from, to string) (int64, error) {
	if !s.p.alive() {
		return 0, store.ErrUnavailable
	}
	return s.Store.DeleteRange(ctx, from, to)
}

func (s hostStore) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if !s.p.alive() {
		return 0, store.ErrUnavailable
	}
	id, err := s.Store.GrantLease(ctx, ttl)
	s.p.alive()
	return id, err
}

func (s hostStore) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	if !s.p.alive() {
		return 0, store.ErrUnavailable
	}
	ttl, err := s.Store.KeepAlive(ctx, id)
	s.p.alive()
	return ttl, err
}

func (s hostStore) RevokeLease(ctx context.Context, id store.LeaseID) error {
	if !s.p.alive() {
		return store.ErrUnavailable
	}
	return s.Store.RevokeLease(ctx, id)
}

// hostWorker is the worker as one agent process sees it.
type hostWorker struct {
	worker.Worker
	p *process
}

func (w hostWorker) Start(ctx context.Context, spec worker.Spec) error {
	if !w.p.alive() {
		return worker.ErrUnavailable
	}
	w.p.fleet.watch.offered(spec)
	return w.Worker.Start(ctx, spec)
}

func (w hostWorker) Renew(ctx context.Context, refs []worker.Ref, lease time.Duration) error {
	if !w.p.alive() {
		return worker.ErrUnavailable
	}
	return w.Worker.Renew(ctx, refs, lease)
}

func (w hostWorker) RenewUntil(ctx context.Context, refs []worker.Ref, lease, until time.Duration) error {
	if !w.p.alive() {
		return worker.ErrUnavailable
	}
	return w.Worker.(worker.Clocked).RenewUntil(ctx, refs, lease, until)
}

func (w hostWorker) Clock(ctx context.Context) (time.Duration, error) {
	if !w.p.alive() {
		return 0, worker.ErrUnavailable
	}
	clock, err := w.Worker.(worker.Clocked).Clock(ctx)
	w.p.alive()
	return clock, err
}

func (w hostWorker) List(ctx context.Context) ([]worker.Status, error) {
	if !w.p.alive() {
		return nil, worker.ErrUnavailable
	}
	list, err := w.Worker.List(ctx)
	w.p.alive()
	return list, err
}

func (w hostWorker) Checkpoint(ctx context.Context, ref worker.Ref) (string, error) {
	if !w.p.alive() {
		return "", worker.ErrUnavailable
	}
	return w.Worker.Checkpoint(ctx, ref)
}

func (w hostWorker) Stop(ctx context.Context, ref worker.Ref) error {
	if !w.p.alive() {
		return worker.ErrUnavailable
	}
	return w.Worker.Stop(ctx, ref)
}

func (w hostWorker) Forget(ctx context.Context, ref worker.Ref) error {
	if !w.p.alive() {
		return worker.ErrUnavailable
	}
	return w.Worker.Forget(ctx, ref)
}
