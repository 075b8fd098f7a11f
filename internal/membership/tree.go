package membership

import (
	"math/bits"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// treeFrom is the size of the scope from which load reports follow a tree. With fewer members the tree has hardly fewer
// links than the ring.
const treeFrom = 6

// passesLoad reports whether this process passes load reports of origin to the partner. On the ring a member at distance
// d from the origin hears from the one at d minus its highest power of two, which has it as a finger: each member gets
// each report once, in at most log2(n) steps. Everything but load reports goes over all links; their details
// follow the tree as well.
func (t *Table) passesLoad(origin, partner string) bool {
	ring := t.positions()
	n := len(ring)
	o, originIn := ring[origin]
	p, partnerIn := ring[partner]
	if n < treeFrom || !originIn || !partnerIn {
		return true
	}
	own := ring[t.self.ID]
	step := (p - own + n) % n
	return bits.OnesCount(uint(step)) == 1 && (own-o+n)%n < step
}

// positions returns the places of the scope's live members on the ring that fingers uses.
func (t *Table) positions() map[string]int {
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
