package membership

import (
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ScopeLevel says whether a Scope is the whole fleet, a failure domain or a rack.
type ScopeLevel int

// Levels, ordered from the widest scope to the narrowest.
const (
	LevelFleet ScopeLevel = iota
	LevelDomain
	LevelRack
)

// Scope is the part of the fleet whose full member list a process holds: the whole fleet, a failure domain (the field Domain),
// or a rack of a failure domain (the fields Domain and Rack).
type Scope struct {
	Level  ScopeLevel
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

// sameCell reports whether two scopes are the same part of the fleet. Fields that a level does not use are ignored.
func (s Scope) sameCell(o Scope) bool {
	if s.Level != o.Level {
		return false
	}
	return s.Level == LevelFleet || s.Domain == o.Domain && (s.Level == LevelDomain || s.Rack == o.Rack)
}

// A cell is a failure domain or a rack of a failure domain. The name of a cell is "domain" or "domain/rack" and is the key of
// its summary.
func domainCell(domain string) string     { return domain }
func rackCell(domain, rack string) string { return domain + "/" + rack }
func isRackCell(cell string) bool         { return strings.Contains(cell, "/") }
func cellDomain(cell string) string       { d, _, _ := strings.Cut(cell, "/"); return d }

// weight returns the rendezvous-hashing weight of an ID for a key. With these weights, processes that hold the same member list
// select the same IDs without an election. The loss of a member reassigns only the roles of that member.
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

// fingers returns the IDs at the distances 1, 2, 4, ... after self on the ring of IDs ordered by hash, as in a Chord finger
// table. An update that is forwarded along the fingers reaches all n members in at most log2(n) hops. Each member is contacted
// by about log2(n) others.
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
	for distance := 1; distance <= len(ring); distance *= 2 {
		out = append(out, ring[(pos+distance-1)%len(ring)])
	}
	return out
}
