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

// Run claims partitions until ctx is done, then waits until their owners have released them. It also releases the keys of partitions
// that were claimed and not recovered, because the process may keep its lease for much longer.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(claimInterval)
	defer ticker.Stop()
	for {
		m.claimDue(ctx)
		select {
		case <-ctx.Done():
			for id, leaseID := range m.ownerlessKeys {
				m.releaseKey(id, leaseID)
			}
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
	for _, id := range m.duePartitions(time.Now()) {
		if ctx.Err() != nil || !m.ownerReadLimiter.Allow() {
			return
		}
		m.checkOwner(ctx, id, leaseID)
	}
}

// checkOwner reads a partition's owner key and claims the partition if it is free and this process's rank delay has passed.
func (m *Manager) checkOwner(ctx context.Context, id int, leaseID store.LeaseID) {
	kv, err := m.store.Get(ctx, OwnerKey(id))
	if err != nil {
		m.scheduleRead(id, time.Now().Add(jitter(missingOwnerRecheckInterval)))
		return
	}
	rec, mine := m.decodeOwner(kv, leaseID)
	view := m.recordOwner(id, kv, rec)
	rank, candidate := m.rank(id)
	switch {
	case mine:
		m.recoverPartition(ctx, id, leaseID) // the response to an earlier claim was lost, or an earlier recovery failed
	case !view.isFree || !candidate:
	case len(m.Owned()) >= m.cfg.MaxPartitions:
		m.scheduleRead(id, time.Now().Add(jitter(atLimitRecheckInterval)))
	case time.Since(view.freeSince) >= time.Duration(rank)*rankDelay:
		m.claim(ctx, id, view.modRevision, leaseID)
	}
}

// decodeOwner decodes an owner key. A missing key counts as released. mine is true if this process is the owner and the key
// is attached to the given lease.
func (m *Manager) decodeOwner(kv store.KV, leaseID store.LeaseID) (rec OwnerRecord, mine bool) {
	if kv.ModRevision == 0 {
		return OwnerRecord{Released: true}, false
	}
	if err := json.Unmarshal(kv.Value, &rec); err != nil {
		events.OwnerUnreadable.Log(&m.log).Str("key", kv.Key).Err(err).Send()
		return OwnerRecord{ID: "unreadable"}, false
	}
	return rec, rec.ID == m.cfg.ProcessID && kv.Lease == leaseID && !rec.Released
}

func (m *Manager) recordOwner(id int, kv store.KV, rec OwnerRecord) ownerView {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.viewByPartition[id]
	view := ownerView{
		processID: rec.ID, memberID: rec.Member, isFree: rec.Released, modRevision: kv.ModRevision,
		nextReadAt: now.Add(jitter(presentOwnerRecheckInterval))}
	if view.isFree {
		view.freeSince, view.nextReadAt = now, now.Add(jitter(missingOwnerRecheckInterval))
		if old.isFree {
			view.freeSince = old.freeSince
		}
	}
	m.viewByPartition[id] = view
	return view
}

// claim writes the owner key and recovers the partition. If the response is lost, the next checkOwner reads the outcome.
func (m *Manager) claim(ctx context.Context, id int, modRevision int64, leaseID store.LeaseID) {
	value, err := json.Marshal(OwnerRecord{ID: m.cfg.ProcessID, Member: m.cfg.MemberID, Addr: m.cfg.Addr})
	if err != nil {
		return
	}
	m.ownerlessKeys[id] = leaseID
	res, err := m.store.CompareAndSwap(ctx, OwnerKey(id), modRevision, value, leaseID)
	if errors.Is(err, store.ErrUncertain) {
		m.scheduleRead(id, time.Now())
		return
	}
	if err != nil || !res.Swapped {
		delete(m.ownerlessKeys, id)
		return
	}
	m.recoverPartition(ctx, id, leaseID)
}

// recoverPartition loads a partition whose owner key this process holds and starts its Owner. After a failure the next
// checkOwner retries while the lease is valid.
func (m *Manager) recoverPartition(ctx context.Context, id int, leaseID store.LeaseID) {
	started := time.Now()
	m.ownerlessKeys[id] = leaseID
	log := caslog.New(m.store, LogPrefix(id), m.cfg.ProcessID)
	cfg := OwnerConfig{Partition: id, OutageHold: m.cfg.OutageHold, Retention: m.cfg.Retention,
		AppendsPerSecond: storeAppendsPerSecond / float64(m.cfg.PartitionCount)}
	o, err := Recover(ctx, cfg, log, m.keeper, leaseID, m.log)
	if err != nil {
		events.RecoveryFailed.Log(&m.log).Int("partition", id).Err(err).Send()
		m.scheduleRead(id, time.Now().Add(jitter(missingOwnerRecheckInterval)))
		return
	}
	events.RecoveryDone.Log(&m.log).Int("partition", id).Dur("took", time.Since(started)).Int64("epoch", o.epoch).Send()
	m.mu.Lock()
	invariant.Check(m.owners[id] == nil, "one_owner_per_partition", "partition %d is owned twice in one process", id)
	m.owners[id] = o
	m.mu.Unlock()
	delete(m.ownerlessKeys, id)
	m.wg.Add(1)
	go m.runOwner(ctx, o, leaseID)
}

func (m *Manager) runOwner(ctx context.Context, o *Owner, leaseID store.LeaseID) {
	defer m.wg.Done()
	loopCtx, stop := context.WithCancel(ctx)
	placerDone := make(chan struct{})
	go func() {
		defer close(placerDone)
		newPlacer(m, o).run(loopCtx)
	}()
	resolverDone := make(chan struct{})
	go func() {
		defer close(resolverDone)
		(&claimResolver{owner: o, rpc: m.rpc}).run(loopCtx)
	}()
	err := o.run(ctx)
	stop()
	<-placerDone
	<-resolverDone
	m.mu.Lock()
	delete(m.owners, o.id)
	delete(m.viewByPartition, o.id)
	m.mu.Unlock()
	if err != nil {
		events.PartitionLost.Log(&m.log).Int("partition", o.id).Err(err).Send()
	}
	m.releaseKey(o.id, leaseID)
}

// releaseKey marks the owner key as released, so that a successor need not wait for the lease to expire. The
// compare-and-swap has no effect if another process holds the key by then.
func (m *Manager) releaseKey(id int, leaseID store.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	kv, err := m.store.Get(ctx, OwnerKey(id))
	if err != nil {
		return
	}
	if _, mine := m.decodeOwner(kv, leaseID); !mine {
		return
	}
	value, err := json.Marshal(OwnerRecord{Released: true})
	if err != nil {
		return
	}
	if _, err := m.store.CompareAndSwap(ctx, OwnerKey(id), kv.ModRevision, value, 0); err != nil {
		events.CommitFailed.Log(&m.log).Err(err).Int("partition", id).Msg("cannot release the owner key; it expires with the lease")
	}
}
