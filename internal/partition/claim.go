package partition

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"bamboofork/internal/caslog"
	"bamboofork/internal/events"
	"bamboofork/internal/invariant"
	"bamboofork/internal/store"
)

// Run claims partitions until ctx ends, then releases them.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(claimTick)
	defer ticker.Stop()
	for {
		m.claimDue(ctx)
		select {
		case <-ctx.Done():
			m.wg.Wait()
			return nil
		case <-ticker.C:
		}
	}
}

func (m *Manager) claimDue(ctx context.Context) {
	leaseID, _, ok := m.keeper.Current()
	if !ok {
		return
	}
	for _, id := range m.due(time.Now()) {
		if ctx.Err() != nil || !m.budget.Allow() {
			return
		}
		m.look(ctx, id, leaseID)
	}
}

// look reads a partition's owner key and claims the partition if it is this process's turn.
func (m *Manager) look(ctx context.Context, id int, leaseID store.LeaseID) {
	kv, err := m.st.Get(ctx, OwnerKey(id))
	if err != nil {
		m.setNext(id, time.Now().Add(jitter(missingCheck)))
		return
	}
	rec, mine := m.readOwner(kv, leaseID)
	view := m.noteOwner(id, kv, rec)
	rank, candidate := m.rank(id)
	switch {
	case mine:
		m.recover(ctx, id, leaseID) // an earlier claim whose answer was lost, or a recovery that failed
	case !view.free || !candidate:
	case len(m.Owned()) >= m.cfg.Max:
		m.setNext(id, time.Now().Add(jitter(fullCheck)))
	case time.Since(view.freeSince) >= time.Duration(rank)*rankDelay:
		m.claim(ctx, id, view.mod, leaseID)
	}
}

// readOwner decodes an owner key. mine is true if this process holds it under the lease.
func (m *Manager) readOwner(kv store.KV, leaseID store.LeaseID) (rec OwnerRecord, mine bool) {
	if kv.ModRevision == 0 {
		return OwnerRecord{Released: true}, false
	}
	if err := json.Unmarshal(kv.Value, &rec); err != nil {
		events.OwnerUnreadable.Log(&m.log).Str("key", kv.Key).Err(err).Send()
		return OwnerRecord{ID: "unreadable"}, false
	}
	return rec, rec.ID == m.cfg.ID && kv.Lease == leaseID && !rec.Released
}

func (m *Manager) noteOwner(id int, kv store.KV, rec OwnerRecord) ownerView {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.views[id]
	view := ownerView{id: rec.ID, member: rec.Member, free: rec.Released, mod: kv.ModRevision, next: now.Add(jitter(presentCheck))}
	if view.free {
		view.freeSince, view.next = now, now.Add(jitter(missingCheck))
		if old.free {
			view.freeSince = old.freeSince
		}
	}
	m.views[id] = view
	return view
}

// claim takes the owner key. A lost answer is resolved by the next look.
func (m *Manager) claim(ctx context.Context, id int, mod int64, leaseID store.LeaseID) {
	value, err := json.Marshal(OwnerRecord{ID: m.cfg.ID, Member: m.cfg.Self, Addr: m.cfg.Addr})
	if err != nil {
		return
	}
	res, err := m.st.CompareAndSwap(ctx, OwnerKey(id), mod, value, leaseID)
	if errors.Is(err, store.ErrUncertain) {
		m.setNext(id, time.Now())
		return
	}
	if err != nil || !res.Swapped {
		return
	}
	m.recover(ctx, id, leaseID)
}

// recover loads a partition whose key this process holds and starts its owner. After a failure the next look tries
// again while the lease lasts.
func (m *Manager) recover(ctx context.Context, id int, leaseID store.LeaseID) {
	started := time.Now()
	log := caslog.New(m.st, LogPrefix(id), m.cfg.ID)
	cfg := OwnerConfig{Partition: id, Outage: m.cfg.Outage, Retention: m.cfg.Retention, Appends: storeAppends / float64(m.cfg.Partitions)}
	o, err := Recover(ctx, cfg, log, m.keeper, leaseID, m.log)
	if err != nil {
		events.RecoveryFailed.Log(&m.log).Int("partition", id).Err(err).Send()
		m.setNext(id, time.Now().Add(jitter(missingCheck)))
		return
	}
	events.RecoveryDone.Log(&m.log).Int("partition", id).Dur("took", time.Since(started)).Int64("epoch", o.epoch).Send()
	m.mu.Lock()
	invariant.Check(m.owners[id] == nil, "one_owner_per_partition", "partition %d is owned twice in one process", id)
	m.owners[id] = o
	m.mu.Unlock()
	m.wg.Add(1)
	go m.runOwner(ctx, o, leaseID)
}

func (m *Manager) runOwner(ctx context.Context, o *Owner, leaseID store.LeaseID) {
	defer m.wg.Done()
	placeCtx, stop := context.WithCancel(ctx)
	placed := make(chan struct{})
	go func() {
		defer close(placed)
		newPlacer(m, o).run(placeCtx)
	}()
	err := o.run(ctx)
	stop()
	<-placed
	m.mu.Lock()
	delete(m.owners, o.id)
	delete(m.views, o.id)
	m.mu.Unlock()
	if err != nil {
		events.PartitionLost.Log(&m.log).Int("partition", o.id).Err(err).Send()
	}
	m.releaseKey(o.id, leaseID)
}

// releaseKey marks the owner key as free, so that a successor need not wait for the lease. The swap has no effect if
// another process holds the key by now.
func (m *Manager) releaseKey(id int, leaseID store.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	kv, err := m.st.Get(ctx, OwnerKey(id))
	if err != nil {
		return
	}
	if _, mine := m.readOwner(kv, leaseID); !mine {
		return
	}
	value, err := json.Marshal(OwnerRecord{Released: true})
	if err != nil {
		return
	}
	if _, err := m.st.CompareAndSwap(ctx, OwnerKey(id), kv.ModRevision, value, 0); err != nil {
		events.CommitFailed.Log(&m.log).Err(err).Int("partition", id).Msg("owner key not released, it expires with the lease")
	}
}
