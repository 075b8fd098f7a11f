package partition

import (
	"fmt"
	"strconv"
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
	MemberID       string                                // member ID of this process and of its agent
	ProcessID      string                                // see ProcessID
	Addr           string                                // control address advertised in the owner keys
	PartitionCount int                                   // number of partitions of the fleet
	MaxPartitions  int                                   // maximum number of partitions that this process owns
	OutageHold     time.Duration                         // how long tasks keep running during a store outage; 0 means DefaultOutageHold
	Retention      time.Duration                         // minimum time to keep finished jobs and recorded claims; 0 means DefaultRetention
	TeamShareFunc  func(team string) scheduler.TeamShare // quota and weight of a team, see TeamShares; nil means no quotas and weight 1
}

// storeAppendsPerSecond is the sustained number of appends per second of all partitions together. The platform's store
// handles several hundred writes per second. With 256 partitions this is one append per owner every 2.6 s. At peak load an
// append then contains about 190 task starts, and a task still starts within 4 s.
const storeAppendsPerSecond = 100

// Manager claims partitions and runs their Owners. mu guards owners and viewByPartition.
type Manager struct {
	cfg        Config
	store      store.Store
	keeper     *lease.Keeper
	membership MembershipView
	rpc        Caller
	log        zerolog.Logger

	mu               sync.Mutex
	owners           map[int]*Owner
	viewByPartition  map[int]ownerView // owners of the other partitions as last read
	ownerReadLimiter *rate.Limiter     // limits the reads of owner keys
	wg               sync.WaitGroup

	// ownerlessKeys holds the owner keys that this process holds or may hold without an Owner, with their leases. Used by Run only.
	ownerlessKeys map[int]store.LeaseID
}

// NewManager returns a manager that owns no partitions yet.
func NewManager(cfg Config, st store.Store, keeper *lease.Keeper, members MembershipView, rpc Caller, log zerolog.Logger) *Manager {
	if cfg.Retention == 0 {
		cfg.Retention = DefaultRetention
	}
	if cfg.OutageHold == 0 {
		cfg.OutageHold = DefaultOutageHold
	}
	return &Manager{
		cfg: cfg, store: st, keeper: keeper, membership: members, rpc: rpc, log: log, owners: map[int]*Owner{},
		ownerlessKeys: map[int]store.LeaseID{}, viewByPartition: map[int]ownerView{}, ownerReadLimiter: rate.NewLimiter(ownerReadsPerSecond, ownerReadBurst),
	}
}

// OwnerKey returns the store key that holds the owner of a partition.
func OwnerKey(partition int) string { return fmt.Sprintf("own/%04d", partition) }

// LogPrefix returns the store key prefix of a partition's log.
func LogPrefix(partition int) string { return fmt.Sprintf("part/%04d", partition) }

// PartitionForKey returns the partition of an idempotency key, or of a job ID without a partition prefix (see PartitionForJobID).
func PartitionForKey(key string, partitions int) int {
	return int(xxhash.Sum64String(key) % uint64(partitions))
}

// ProcessID returns the ID of one incarnation of a member. Owner keys contain the process ID of the owner.
func ProcessID(member string, incarnation int64) string {
	return member + "-" + strconv.FormatInt(incarnation, 10)
}

// OwnerRecord is the value of an owner key.
type OwnerRecord struct {
	ID       string `json:"id"`
	Member   string `json:"member,omitempty"` // member ID
	Addr     string `json:"addr"`
	Released bool   `json:"released,omitempty"` // the owner released the partition; any candidate may claim it
}

// Owned returns the partitions that this process owns.
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
