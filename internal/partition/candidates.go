package partition

import (
	"encoding/binary"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboofork/internal/membership"
)

// Timing of the search for partitions without an owner. Only the candidates of a partition ask the store about it.
const (
	candidates   = 3 // per partition; a takeover needs one of them
	claimTick    = 250 * time.Millisecond
	rankDelay    = 300 * time.Millisecond // a candidate of rank r waits r times this long for the better ones
	missingCheck = 600 * time.Millisecond // mean time between reads while the owner is missing; keyed requests wait 3 s for an owner
	presentCheck = 30 * time.Second       // mean time between reads while the owner is in the membership view
	fullCheck    = 10 * time.Second       // a candidate whose owner seat is full leaves the partition to others for this long
	claimRate    = 4                      // store calls per second of one process
	claimBurst   = 8
)

// ownerView is what a candidate knows about a partition that it does not own.
type ownerView struct {
	id        string    // process of the owner, with its incarnation
	member    string    // owner in the membership view; empty if none
	free      bool      // no owner, or the owner released it
	mod       int64     // revision of the owner key
	next      time.Time // when the store is asked again
	freeSince time.Time
}

// rank returns this process's place among the candidates of a partition by rendezvous hashing over the agents that
// the membership view shows as alive; ok is false if it is not a candidate.
func (m *Manager) rank(partition int) (rank int, ok bool) {
	self, found := m.nodes.Lookup(m.cfg.Self)
	if found && self.Leaving {
		return 0, false
	}
	own := weight(partition, m.cfg.Self)
	for _, n := range m.nodes.Members() {
		if n.Role != membership.RoleAgent || n.Suspect || n.Leaving || n.ID == m.cfg.Self {
			continue
		}
		if w := weight(partition, n.ID); w > own || w == own && n.ID > m.cfg.Self {
			rank++
		}
	}
	return rank, rank < candidates || !found
}

func weight(partition int, id string) uint64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], uint64(partition))
	d := xxhash.New()
	_, _ = d.Write(seed[:]) // a hash never fails
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// due returns the partitions to look at now, those without an owner first.
func (m *Manager) due(now time.Time) []int {
	out := []int{}
	for id := range m.cfg.Partitions {
		if m.owner(id) != nil {
			continue
		}
		rank, ok := m.rank(id)
		if ok && m.dueAt(id, rank, now) {
			out = append(out, id)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	sort.SliceStable(out, func(i, j int) bool { return m.views[out[i]].free && !m.views[out[j]].free })
	return out
}

// dueAt decides when a candidate asks the store. An owner that the membership view shows as alive is trusted for
// long; a missing one is looked for by rank, so that the candidates do not race.
func (m *Manager) dueAt(id, rank int, now time.Time) bool {
	m.mu.Lock()
	view, known := m.views[id]
	m.mu.Unlock()
	if !known {
		return true
	}
	if !now.Before(view.next) {
		return true
	}
	if view.free || view.member == "" {
		return false
	}
	owner, alive := m.nodes.Lookup(view.member)
	// A host that was restarted is alive, but its earlier process, which owned the partition, is not.
	missing := !alive || owner.Suspect || owner.Leaving || ProcessID(view.member, owner.Incarnation) != view.id
	latest := now.Add(time.Duration(rank)*rankDelay + missingCheck)
	if missing && view.next.After(latest) {
		m.setNext(id, now.Add(time.Duration(rank)*rankDelay+rand.N(missingCheck)))
	}
	return false
}

func (m *Manager) setNext(id int, next time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	view := m.views[id]
	view.next = next
	m.views[id] = view
}

// jitter spreads a period over half to one and a half of its length.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
