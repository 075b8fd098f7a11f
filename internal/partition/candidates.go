package partition

import (
	"encoding/binary"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboofork/internal/membership"
)

// Timing of the search for partitions without an owner. A candidate for a partition is a process that may claim it. Only
// candidates read the owner key.
const (
	candidatesPerPartition      = 3                      // a takeover succeeds while one of them is alive
	claimInterval               = 250 * time.Millisecond // interval of the search
	rankDelay                   = 300 * time.Millisecond // delay per rank before a candidate claims, so that lower ranks go first
	missingOwnerRecheckInterval = 600 * time.Millisecond // mean read interval without an owner; keyed requests wait up to 3 s for one
	presentOwnerRecheckInterval = 30 * time.Second       // mean read interval while the owner is in the membership view
	atLimitRecheckInterval      = 10 * time.Second       // mean read interval of a candidate that already owns Config.MaxPartitions partitions
	ownerReadsPerSecond         = 4                      // owner key reads per second of one process
	ownerReadBurst              = 8                      // burst of the limiter of owner key reads
)

// ownerView is the last known owner of a partition that this process does not own.
type ownerView struct {
	processID   string    // process ID of the owner, see ProcessID
	memberID    string    // member ID of the owner; empty if there is none
	isFree      bool      // there is no owner, or the owner released the partition
	modRevision int64     // modification revision of the owner key
	nextReadAt  time.Time // when the owner key is read again
	freeSince   time.Time // when this process first read that the partition is free
}

// rank returns this process's rank among the agents that the membership view lists as alive, by rendezvous hashing; rank 0
// claims first. ok is false if this process is not a candidate. A process that is missing from its own membership view is a
// candidate at any rank.
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

// duePartitions returns the IDs of the partitions whose owner keys are to be read now. Partitions without an owner come first.
func (m *Manager) duePartitions(now time.Time) []int {
	out := []int{}
	for id := range m.cfg.PartitionCount {
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
	sort.SliceStable(out, func(i, j int) bool { return m.viewByPartition[out[i]].isFree && !m.viewByPartition[out[j]].isFree })
	return out
}

// readDue reports whether a candidate of the given rank reads the owner key now. While the membership view lists the owner as
// alive, the key is rarely read. If the owner is missing from the view, readDue schedules an earlier read. Higher ranks read
// later, so that candidates do not race.
func (m *Manager) readDue(id, rank int, now time.Time) bool {
	m.mu.Lock()
	view, known := m.viewByPartition[id]
	m.mu.Unlock()
	if !known {
		return true
	}
	if !now.Before(view.nextReadAt) {
		return true
	}
	if view.isFree || view.memberID == "" {
		return false
	}
	owner, alive := m.membership.Lookup(view.memberID)
	// After a restart the host is alive, but the previous process, which owned the partition, is not.
	missing := !alive || owner.Suspect || owner.Leaving || ProcessID(view.memberID, owner.Incarnation) != view.processID
	latest := now.Add(time.Duration(rank)*rankDelay + missingOwnerRecheckInterval)
	if missing && view.nextReadAt.After(latest) {
		m.scheduleRead(id, now.Add(time.Duration(rank)*rankDelay+rand.N(missingOwnerRecheckInterval)))
	}
	return false
}

func (m *Manager) scheduleRead(id int, next time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	view := m.viewByPartition[id]
	view.nextReadAt = next
	m.viewByPartition[id] = view
}

// jitter returns a random duration between half of d and one and a half times d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
