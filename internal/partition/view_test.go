package partition_test

import (
	"slices"
	"sync"
	"time"

	"bamboofork/internal/membership"
)

// view stands in for the membership view of one process: the records of the other processes as of the last round of
// fleet.gossip, suspected and removed when they are old. mu guards records.
type view struct {
	table *membership.Table

	mu      sync.Mutex
	records map[string]membership.Status
}

// Ages of a record, as in a fleet with the default exchange interval.
const (
	viewSuspects = 3 * time.Second
	viewRemoves  = 9 * time.Second
)

func newView(table *membership.Table) *view {
	return &view{table: table, records: map[string]membership.Status{}}
}

func (v *view) hear(m membership.Member) {
	v.mu.Lock()
	defer v.mu.Unlock()
	old, known := v.records[m.ID]
	if m.ID == v.table.Self().ID || known && old.Incarnation > m.Incarnation {
		return
	}
	v.records[m.ID] = membership.Status{Member: m, Heard: time.Now()}
}

// Members implements partition.Nodes.
func (v *view) Members() []membership.Status {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := []membership.Status{}
	for _, m := range v.records {
		if age := time.Since(m.Heard); age < viewRemoves && !m.Gone {
			m.Suspect = age > viewSuspects
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

// Lookup implements partition.Nodes.
func (v *view) Lookup(id string) (membership.Status, bool) {
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
