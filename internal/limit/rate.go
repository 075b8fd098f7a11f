package limit

import (
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboofork/internal/callers"
	"bamboofork/internal/settings"
)

// Size of the rate table: shards*sets*ways buckets of 32 bytes are 2 MB, whatever the number of callers.
const (
	shards = 64
	sets   = 256 // of each shard
	ways   = 4   // buckets of a set
)

// prefixShare is the rate of an address prefix, as a multiple of the rate of one caller. A site with many callers
// behind one prefix keeps working, and a caller that goes through the addresses of its prefix gains no more than this.
const prefixShare = 16

// burstTime is the time whose requests a caller may save up.
const burstTime = time.Second

// bucket is a token bucket in the form of the time at which it is full again (GCRA).
type bucket struct {
	key  uint64
	full time.Time
}

type shard struct {
	mu   sync.Mutex
	sets [sets][ways]bucket
}

// rateTable is a fixed-size table of token buckets. A caller whose set is full takes the bucket that is full soonest:
// forgetting that one loses the least.
type rateTable struct{ shards [shards]shard }

func newRateTable() *rateTable { return &rateTable{} }

// take spends one request of the caller and of its prefix. It returns 0, or how long to wait.
func (t *rateTable) take(branch *settings.Effective, caller netip.Addr, now time.Time) time.Duration {
	gap := time.Duration(float64(time.Second) / branch.CallerRate)
	// The caller comes first, so that one over its rate does not use up what its prefix may send.
	if wait := t.spend(hashCaller(branch.Branch, caller), gap, now); wait > 0 {
		return wait
	}
	return t.spend(hashPrefix(branch.Branch, caller), gap/prefixShare, now)
}

// spend takes one token of a bucket with the gap between requests.
func (t *rateTable) spend(key uint64, gap time.Duration, now time.Time) time.Duration {
	s := &t.shards[key%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.find(key, now)
	tolerance := max(burstTime, gap)
	if wait := b.full.Sub(now) + gap - tolerance; wait > 0 {
		return wait
	}
	b.full = b.full.Add(gap)
	return 0
}

// find returns the key's bucket; a new one is full.
func (s *shard) find(key uint64, now time.Time) *bucket {
	set := &s.sets[key/shards%sets]
	oldest := &set[0]
	for i := range set {
		b := &set[i]
		if b.key == key {
			if b.full.Before(now) {
				b.full = now
			}
			return b
		}
		if b.full.Before(oldest.full) {
			oldest = b
		}
	}
	*oldest = bucket{key: key, full: now}
	return oldest
}

// hashCaller is the key of a caller in a branch; 0 stands for an empty bucket and is never returned.
func hashCaller(branch string, caller netip.Addr) uint64 {
	b := caller.As16()
	return hash(branch, b[:], 'c')
}

func hashPrefix(branch string, caller netip.Addr) uint64 {
	if !caller.IsValid() {
		return hash(branch, nil, 'p')
	}
	b := callers.PrefixOf(caller).Addr().As16()
	return hash(branch, b[:], 'p')
}

func hash(branch string, addr []byte, kind byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(branch)    //nolint:errcheck // never fails
	d.Write([]byte{0, kind}) //nolint:errcheck // never fails
	d.Write(addr)            //nolint:errcheck // never fails
	return max(1, d.Sum64())
}
