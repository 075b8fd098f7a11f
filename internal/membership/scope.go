package membership

import (
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Level is how far a process's full knowledge reaches.
type Level int

// Levels from wide to narrow.
const (
	LevelFleet Level = iota
	LevelDomain
	LevelRack
)

// Scope is a cell of the fleet: everything, a failure domain or a rack of a failure domain.
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

// Cell names used as keys of summaries.
func domainCell(domain string) string     { return domain }
func rackCell(domain, rack string) string { return domain + "/" + rack }
func isRackCell(cell string) bool         { return strings.Contains(cell, "/") }
func cellDomain(cell string) string       { d, _, _ := strings.Cut(cell, "/"); return d }

// weight is the rendezvous weight of an id for a key. The highest weights win, so each process that knows the same
// members chooses the same ones without an election, and a lost member moves only its own duties.
func weight(key, id string) uint64 { return xxhash.Sum64String(key + "\x00" + id) }

// topByWeight returns up to n ids with the highest weight for the key, highest first.
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

// fingers returns the ids at distances 1, 2, 4, ... after self on the ring of ids ordered by hash. News passed along
// them reaches all n ids in at most log2(n) steps, and each id is contacted by log2(n) others.
func fingers(ids []string, self string) []string {
	ring := append([]string(nil), ids...)
	sort.Slice(ring, func(i, j int) bool {
		a, b := xxhash.Sum64String(ring[i]), xxhash.Sum64String(ring[j])
		return a < b || a == b && ring[i] < ring[j]
	})
	at := sort.Search(len(ring), func(i int) bool {
		a, b := xxhash.Sum64String(ring[i]), xxhash.Sum64String(self)
		return a > b || a == b && ring[i] >= self
	})
	if at < len(ring) && ring[at] == self {
		ring = append(ring[:at], ring[at+1:]...)
	}
	out := []string{}
	for step := 1; step <= len(ring); step *= 2 {
		out = append(out, ring[(at+step-1)%len(ring)])
	}
	return out
}
