package partition

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"bamboofork/internal/caslog"
	"bamboofork/internal/events"
	"bamboofork/internal/lease"
	"bamboofork/internal/peer"
	"bamboofork/internal/scheduler"
	"bamboofork/internal/store"
)

// Config configures a Manager.
type Config struct {
	ID         string // unique to the process's incarnation
	Addr       string // control address announced to callers of the partitions
	Partitions int    // number of partitions of the fleet
	Max        int    // partitions that this process takes at most
	Outage     time.Duration
	ClaimTTL   time.Duration // how long the outcome of a keyed request is kept, default DefaultClaimTTL
}

// claimInterval is the mean time between looks for partitions without an owner.
const claimInterval = time.Second

// Manager claims partitions and runs their owners. mu guards owners.
type Manager struct {
	cfg    Config
	st     store.Store
	keeper *lease.Keeper
	nodes  Nodes
	pool   *peer.Pool
	sched  *scheduler.Scheduler
	log    zerolog.Logger

	mu     sync.Mutex
	owners map[int]*Owner
	wg     sync.WaitGroup
}

// NewManager returns a manager without partitions.
func NewManager(cfg Config, st store.Store, keeper *lease.Keeper, nodes Nodes, pool *peer.Pool, log zerolog.Logger) *Manager {
	if cfg.Outage == 0 {
		cfg.Outage = DefaultOutage
	}
	if cfg.ClaimTTL == 0 {
		cfg.ClaimTTL = DefaultClaimTTL
	}
	return &Manager{cfg: cfg, st: st, keeper: keeper, nodes: nodes, pool: pool, sched: scheduler.Default(), log: log, owners: map[int]*Owner{}}
}

// OwnerKey is the store key that names the owner of a partition.
func OwnerKey(partition int) string { return fmt.Sprintf("own/%04d", partition) }

// LogPrefix is the store prefix of a partition's log.
func LogPrefix(partition int) string { return fmt.Sprintf("part/%04d", partition) }

// Of maps an idempotency key or job id to its partition.
func Of(key string, partitions int) int { return int(xxhash.Sum64String(key) % uint64(partitions)) }

// OwnerRecord is the value of an owner key.
type OwnerRecord struct {
	ID   string `json:"id"`
	Addr string `json:"addr"`
}

// Owned returns the partitions of this process.
func (m *Manager) Owned() []int {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []int{}
	for id := range m.owners {
		out = append(out, id)
	}
	return out
}

func (m *Manager) owner(partition int) *Owner {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owners[partition]
}

// Run claims partitions until ctx ends, then releases them.
func (m *Manager) Run(ctx context.Context) error {
	for {
		m.claimSome(ctx)
		select {
		case <-ctx.Done():
			m.wg.Wait()
			return nil
		case <-time.After(claimInterval/2 + rand.N(claimInterval)):
		}
	}
}

func (m *Manager) claimSome(ctx context.Context) {
	leaseID, _, ok := m.keeper.Current()
	if !ok || len(m.Owned()) >= m.cfg.Max {
		return
	}
	taken, err := m.listOwners(ctx)
	if err != nil {
		return
	}
	for _, id := range rand.Perm(m.cfg.Partitions) {
		if len(m.Owned()) >= m.cfg.Max || ctx.Err() != nil {
			return
		}
		if !taken[id] && m.owner(id) == nil {
			m.claim(ctx, id, leaseID)
			return
		}
	}
}

func (m *Manager) listOwners(ctx context.Context) (map[int]bool, error) {
	kvs, _, err := m.st.List(ctx, "own/", store.PrefixEnd("own/"), 0)
	taken := map[int]bool{}
	for _, kv := range kvs {
		var id int
		if _, err := fmt.Sscanf(kv.Key, "own/%d", &id); err == nil {
			taken[id] = true
		}
	}
	return taken, err
}

func (m *Manager) claim(ctx context.Context, id int, leaseID store.LeaseID) {
	value, err := json.Marshal(OwnerRecord{ID: m.cfg.ID, Addr: m.cfg.Addr})
	if err != nil {
		return
	}
	res, err := m.st.CompareAndSwap(ctx, OwnerKey(id), 0, value, leaseID)
	if err != nil || !res.Swapped {
		return
	}
	log := caslog.New(m.st, LogPrefix(id), m.cfg.ID)
	o, err := Recover(ctx, id, log, m.keeper, m.cfg.Outage, m.log)
	if err != nil {
		m.dropKey(id, leaseID)
		return
	}
	m.mu.Lock()
	m.owners[id] = o
	m.mu.Unlock()
	m.wg.Add(1)
	go m.runOwner(ctx, o, leaseID)
}

func (m *Manager) runOwner(ctx context.Context, o *Owner, leaseID store.LeaseID) {
	defer m.wg.Done()
	placeCtx, stop := context.WithCancel(ctx)
	placed := make(chan struct{})
	settled := make(chan struct{})
	go func() {
		defer close(settled)
		(&settler{owner: o, pool: m.pool, ttl: m.cfg.ClaimTTL}).run(placeCtx)
	}()
	go func() {
		defer close(placed)
		(&placer{owner: o, nodes: m.nodes, pool: m.pool, sched: m.sched}).run(placeCtx)
	}()
	err := o.run(ctx)
	stop()
	<-placed
	<-settled
	m.mu.Lock()
	delete(m.owners, o.id)
	m.mu.Unlock()
	if err != nil {
		events.PartitionLost.Log(&m.log).Int("partition", o.id).Err(err).Send()
	}
	m.dropKey(o.id, leaseID)
}

// dropKey deletes the owner key if it is still this process's, so that a successor need not wait for the lease.
func (m *Manager) dropKey(id int, leaseID store.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	kv, err := m.st.Get(ctx, OwnerKey(id))
	if err != nil || kv.Lease != leaseID {
		return
	}
	if _, err := m.st.DeleteRange(ctx, OwnerKey(id), OwnerKey(id)+"\x00"); err != nil {
		events.CommitFailed.Log(&m.log).Err(err).Int("partition", id).Msg("owner key not deleted, it expires with the lease")
	}
}
