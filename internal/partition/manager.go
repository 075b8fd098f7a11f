package partition

import (
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"bamboofork/internal/lease"
	"bamboofork/internal/scheduler"
	"bamboofork/internal/store"
)

// Config configures a Manager.
type Config struct {
	Self       string // id in the membership view, also of the agent in the same process
	ID         string // unique to the process's incarnation
	Addr       string // control address announced to callers of the partitions
	Partitions int    // number of partitions of the fleet
	Max        int    // partitions that this process takes at most
	Outage     time.Duration
	Retention  time.Duration                         // how long finished jobs and recorded claims are kept at least; 0: DefaultRetention
	Share      func(team string) scheduler.TeamShare // quotas and weights, see Shares; nil: none
}

// storeAppends is the number of appends per second of all partitions together in the long run. The platform's store
// takes several hundred writes per second; with 256 partitions an owner appends every 2.6 s at the peak, so that an
// append carries about 190 task starts, and a start still happens within 4 s.
const storeAppends = 100

// Manager claims partitions and runs their owners. mu guards owners and views.
type Manager struct {
	cfg    Config
	st     store.Store
	keeper *lease.Keeper
	nodes  Nodes
	pool   Caller
	log    zerolog.Logger

	mu     sync.Mutex
	owners map[int]*Owner
	views  map[int]ownerView // what this process last read about other partitions
	budget *rate.Limiter     // calls to the store that look for partitions without an owner
	wg     sync.WaitGroup
}

// NewManager returns a manager without partitions.
func NewManager(cfg Config, st store.Store, keeper *lease.Keeper, nodes Nodes, pool Caller, log zerolog.Logger) *Manager {
	if cfg.Retention == 0 {
		cfg.Retention = DefaultRetention
	}
	if cfg.Outage == 0 {
		cfg.Outage = DefaultOutage
	}
	return &Manager{
		cfg: cfg, st: st, keeper: keeper, nodes: nodes, pool: pool, log: log, owners: map[int]*Owner{},
		views: map[int]ownerView{}, budget: rate.NewLimiter(claimRate, claimBurst),
	}
}

// OwnerKey is the store key that names the owner of a partition.
func OwnerKey(partition int) string { return fmt.Sprintf("own/%04d", partition) }

// LogPrefix is the store prefix of a partition's log.
func LogPrefix(partition int) string { return fmt.Sprintf("part/%04d", partition) }

// Of maps an idempotency key or job id to its partition.
func Of(key string, partitions int) int { return int(xxhash.Sum64String(key) % uint64(partitions)) }

// OwnerRecord is the value of an owner key.
type OwnerRecord struct {
	ID       string `json:"id"`
	Member   string `json:"member,omitempty"` // id in the membership view
	Addr     string `json:"addr"`
	Released bool   `json:"released,omitempty"` // the owner gave the partition up; anyone may claim it
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
