package partition

import (
	"encoding/binary"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboofork/internal/membership"
)

// Timing of the search for partitions without an owner. Only the candidates of a partition read its owner key.
const (
	candidatesPerPartition = 3 // a takeover needs one of them
	claimInterval          = 250 * time.Millisecond
	rankDelay              = 300 * time.Millisecond // delay per rank before a candidate claims, so that lower ranks go first
	missingOwnerRecheck    = 600 * time.Millisecond // mean read interval without an owner; keyed requests wait up to 3 s for one
	presentOwnerRecheck    = 30 * time.Second       // mean read interval while the owner is in the membership view
	atLimitRecheck         = 10 * time.Second       // mean read interval of a candidate that already owns Config.MaxPartitions partitions
	ownerReadRate          = 4                      // owner key reads per second of one process
	ownerReadBurst         = 8
)

// ownerView is the last known owner of a partition that this process does not own.
type ownerView struct {
	processID   string    // process ID of the owner, see ProcessID
	member      string    // member ID of the owner; empty if there is none
	free        bool      // there is no owner, or the owner released the partition
	modRevision int64     // modification revision of the owner key
	nextRead    time.Time // when the owner key is read again
	freeSince   time.Time
}

// rank returns this process's rank among the candidates of a partition, by rendezvous hashing over the agents that the
// membership view lists as alive. ok is false if this process is not a candidate. A process that its own view does not
// list counts as a candidate at any rank.
func (m *Manager) rank(partition int) (rank int, ok bool) {
	self, found := m.membership.Lookup(m.cfg.MemberID)
	if found && self.Leaving {
		return 0, false
	}
	ownWeight := rendezvousWeight(partition, m.cfg.MemberID)
	for _, n := range m.membership.Members() {
		if n.Role != membership.RoleAgent || n.Suspect || n.Leaving || n.ID == m.cfg.MemberID {
			continue
		}
		if w := rendezvousWeight(partition, n.ID); w > ownWeight || w == ownWeight && n.ID > m.cfg.MemberID {
			rank++
		}
	}
	return rank, rank < candidatesPerPartition || !found
}

func rendezvousWeight(partition int, id string) uint64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], uint64(partition))
	d := xxhash.New()
	_, _ = d.Write(seed[:]) // Write on a hash never fails
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// duePartitions returns the partitions whose owner keys are to be read now, those without an owner first.
func (m *Manager) duePartitions(now time.Time) []int {
	out := []int{}
	for id := range m.cfg.Partitions {
		if m.owner(id) != nil {
			continue
		}
		rank, ok := m.rank(id)
		if ok && m.readDue(id, rank, now) {
			out = append(out, id)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	sort.SliceStable(out, func(i, j int) bool { return m.ownerViews[out[i]].free && !m.ownerViews[out[j]].free })
	return out
}

// readDue reports whether a candidate reads the owner key now. While the membership view lists the owner as alive, the
// key is rarely read. If the owner is missing, the next read is brought forward by rank, so that candidates do not race.
func (m *Manager) readDue(id, rank int, now time.Time) bool {
	m.mu.Lock()
	view, known := m.ownerViews[id]
	m.mu.Unlock()
	if !known {
		return true
	}
	if !now.Before(view.nextRead) {
		return true
	}
	if view.free || view.member == "" {
		return false
	}
	owner, alive := m.membership.Lookup(view.member)
	// After a restart the host is alive, but the previous process, which owned the partition, is not.
	missing := !alive || owner.Suspect || owner.Leaving || ProcessID(view.member, owner.Incarnation) != view.processID
	latest := now.Add(time.Duration(rank)*rankDelay + missingOwnerRecheck)
	if missing && view.nextRead.After(latest) {
		m.scheduleRead(id, now.Add(time.Duration(rank)*rankDelay+rand.N(missingOwnerRecheck)))
	}
	return false
}

func (m *Manager) scheduleRead(id int, next time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	view := m.ownerViews[id]
	view.nextRead = next
	m.ownerViews[id] = view
}

// jitter returns a random duration between half of d and one and a half times d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
