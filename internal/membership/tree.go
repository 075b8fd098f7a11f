package membership

import (
	"math/bits"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// treeMinMembers is the number of live members in the scope from which load reports are forwarded along a broadcast tree. In a
// smaller scope the tree uses hardly fewer links than sending over all fingers.
const treeMinMembers = 6

// forwardsLoad reports whether this process forwards load reports of the member origin to the member partner. Let a member be
// at distance d after the origin on the ring, and let p be the highest power of two in d. The member at distance d-p has that
// member as a finger and forwards the report to it. So each member gets each report once, in at most log2(n) hops. Load details
// follow the same tree. All other changes go over every link.
func (t *Table) forwardsLoad(origin, partner string) bool {
	positions := t.ringPositions()
	n := len(positions)
	originPos, isOriginLive := positions[origin]
	partnerPos, isPartnerLive := positions[partner]
	if n < treeMinMembers || !isOriginLive || !isPartnerLive {
		return true
	}
	selfPos := positions[t.self.ID]
	partnerDistance := (partnerPos - selfPos + n) % n
	return bits.OnesCount(uint(partnerDistance)) == 1 && (selfPos-originPos+n)%n < partnerDistance
}

// ringPositions returns the position of each live member of the scope, this process included, on the ring of IDs ordered by
// hash (see fingers). The result is cached until the members change.
func (t *Table) ringPositions() map[string]int {
	if t.cachedRing != nil {
		return t.cachedRing
	}
	ids := append(t.scopeIDs(), t.self.ID)
	sort.Slice(ids, func(i, j int) bool {
		a, b := xxhash.Sum64String(ids[i]), xxhash.Sum64String(ids[j])
		return a < b || a == b && ids[i] < ids[j]
	})
	t.cachedRing = make(map[string]int, len(ids))
	for i, id := range ids {
		t.cachedRing[id] = i
	}
	return t.cachedRing
}
