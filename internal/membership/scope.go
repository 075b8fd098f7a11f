package membership

import (
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Level is the breadth of a Scope.
type Level int

// Levels from widest to narrowest.
const (
	LevelFleet Level = iota
	LevelDomain
	LevelRack
)

// Scope is a cell of the fleet: the whole fleet, a failure domain, or a rack of a failure domain.
type Scope struct {
	Level  Level
	Domain string
	Rack   string
}

func (s Scope) covers(m Member) bool {
	switch s.Level {
	case LevelFleet:
		return true
	case LevelDomain:
		return m.Domain == s.Domain
	}
	return m.Domain == s.Domain && m.Rack == s.Rack
}

// sameCell reports whether two scopes cover the same members.
func (s Scope) sameCell(o Scope) bool {
	if s.Level != o.Level {
		return false
	}
	return s.Level == LevelFleet || s.Domain == o.Domain && (s.Level == LevelDomain || s.Rack == o.Rack)
}

// Cell names, the keys of summaries: "domain" or "domain/rack".
func domainCell(domain string) string     { return domain }
func rackCell(domain, rack string) string { return domain + "/" + rack }
func isRackCell(cell string) bool         { return strings.Contains(cell, "/") }
func cellDomain(cell string) string       { d, _, _ := strings.Cut(cell, "/"); return d }

// weight is the rendezvous-hashing weight of an ID for a key. Processes with the same member list select the same IDs
// without an election, and the loss of a member reassigns only that member's roles.
func weight(key, id string) uint64 { return xxhash.Sum64String(key + "\x00" + id) }

// topByWeight returns up to n IDs with the highest weight for the key, highest first.
func topByWeight(key string, ids []string, n int) []string {
	out := append([]string(nil), ids...)
	sort.Slice(out, func(i, j int) bool {
		a, b := weight(key, out[i]), weight(key, out[j])
		if a != b {
			return a > b
		}
		return out[i] < out[j]
	})
	return out[:min(n, len(out))]
}

// fingers returns the IDs at distances 1, 2, 4, ... after self on the ring of IDs ordered by hash, as in a Chord finger
// table. An update forwarded along the fingers reaches all n members in at most log2(n) hops, and each member is contacted by
// log2(n) others.
func fingers(ids []string, self string) []string {
	ring := append([]string(nil), ids...)
	sort.Slice(ring, func(i, j int) bool {
		a, b := xxhash.Sum64String(ring[i]), xxhash.Sum64String(ring[j])
		return a < b || a == b && ring[i] < ring[j]
	})
	pos := sort.Search(len(ring), func(i int) bool {
		a, b := xxhash.Sum64String(ring[i]), xxhash.Sum64String(self)
		return a > b || a == b && ring[i] >= self
	})
	if pos < len(ring) && ring[pos] == self {
		ring = append(ring[:pos], ring[pos+1:]...)
	}
	out := []string{}
	for step := 1; step <= len(ring); step *= 2 {
		out = append(out, ring[(pos+step-1)%len(ring)])
	}
	return out
}
