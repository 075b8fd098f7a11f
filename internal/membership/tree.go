package membership

import (
	"math/bits"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// treeMinMembers is the scope size from which load reports are forwarded along a broadcast tree. Below it the tree saves
// hardly any links compared with the ring.
const treeMinMembers = 6

// forwardsLoad reports whether this process forwards load reports of origin to the partner. On the ring, the member at
// distance d from the origin receives a report from the member at distance d minus the highest power of two in d, which
// has it as a finger, so each member gets each report once, in at most log2(n) hops. Load details follow the same tree;
// all other changes go over every link.
func (t *Table) forwardsLoad(origin, partner string) bool {
	ring := t.ringPositions()
	n := len(ring)
	originPos, originLive := ring[origin]
	partnerPos, partnerLive := ring[partner]
	if n < treeMinMembers || !originLive || !partnerLive {
		return true
	}
	selfPos := ring[t.self.ID]
	step := (partnerPos - selfPos + n) % n
	return bits.OnesCount(uint(step)) == 1 && (selfPos-originPos+n)%n < step
}

// ringPositions returns the positions of the scope's live members, self included, on the ring that fingers uses.
func (t *Table) ringPositions() map[string]int {
	if t.ring != nil {
		return t.ring
	}
	ids := append(t.scopeIDs(), t.self.ID)
	sort.Slice(ids, func(i, j int) bool {
		a, b := xxhash.Sum64String(ids[i]), xxhash.Sum64String(ids[j])
		return a < b || a == b && ids[i] < ids[j]
	})
	t.ring = make(map[string]int, len(ids))
	for i, id := range ids {
		t.ring[id] = i
	}
	return t.ring
}
