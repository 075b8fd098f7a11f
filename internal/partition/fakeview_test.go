package partition_test

import (
	"slices"
	"sync"
	"time"

	"bamboofork/internal/membership"
)

// fakeView is the membership view of one process. It holds the records of the other processes as of the last call of
// fleet.gossip. Old records become suspect and are then removed. mu guards records.
type fakeView struct {
	table *membership.Table

	mu      sync.Mutex
	records map[string]membership.Status
}

// Ages at which a record becomes suspect and is removed, as with the default exchange interval.
const (
	suspectAge = 3 * time.Second
	removeAge  = 9 * time.Second
)

func newFakeView(table *membership.Table) *fakeView {
	return &fakeView{table: table, records: map[string]membership.Status{}}
}

func (v *fakeView) receive(m membership.Member) {
	v.mu.Lock()
	defer v.mu.Unlock()
	old, known := v.records[m.ID]
	if m.ID == v.table.Self().ID || known && old.Incarnation > m.Incarnation {
		return
	}
	v.records[m.ID] = membership.Status{Member: m, Heard: time.Now()}
}

// Members implements partition.MembershipView.
func (v *fakeView) Members() []membership.Status {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := []membership.Status{}
	for _, m := range v.records {
		if age := time.Since(m.Heard); age < removeAge && !m.Gone {
			m.Suspect = age > suspectAge
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b membership.Status) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// Lookup implements partition.MembershipView.
func (v *fakeView) Lookup(id string) (membership.Status, bool) {
	if self := v.table.Self(); id == self.ID {
		return membership.Status{Member: self, Heard: time.Now()}, true
	}
	for _, m := range v.Members() {
		if m.ID == id {
			return m, true
		}
	}
	return membership.Status{}, false
}
