package limit

import (
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboofork/internal/callers"
	"bamboofork/internal/settings"
)

// Size of the rate table: shardCount*setsPerShard*bucketsPerSet buckets of 32 bytes are 2 MB, for any number of callers.
const (
	shardCount    = 64
	setsPerShard  = 256
	bucketsPerSet = 4
)

// prefixRateFactor is the rate limit of an address prefix as a multiple of that of one caller. It serves sites with many
// callers behind one prefix, and bounds what a caller gains by rotating through the addresses of its prefix.
const prefixRateFactor = 16

// burstDuration bounds a burst to the requests of this time at the caller's rate.
const burstDuration = time.Second

// bucket is a token bucket, represented by the time at which it is full again (GCRA).
type bucket struct {
	key    uint64
	fullAt time.Time
}

type shard struct {
	mu   sync.Mutex
	sets [setsPerShard][bucketsPerSet]bucket
}

// rateTable is a fixed-size set-associative table of token buckets. A caller that is not in its set replaces the bucket
// that is full again soonest, because losing its state has the least effect.
type rateTable struct{ shards [shardCount]shard }

func newRateTable() *rateTable { return &rateTable{} }

// take takes a token of the caller and one of its prefix. It returns 0, or the time until the next token.
func (t *rateTable) take(branch *settings.Effective, caller netip.Addr, now time.Time) time.Duration {
	interval := time.Duration(float64(time.Second) / branch.CallerRate)
	// The caller is checked first, so that a caller over its rate does not use up the tokens of its prefix.
	if wait := t.takeFrom(hashCaller(branch.Branch, caller), interval, now); wait > 0 {
		return wait
	}
	return t.takeFrom(hashPrefix(branch.Branch, caller), interval/prefixRateFactor, now)
}

// takeFrom takes one token of the key's bucket, which gains a token per interval.
func (t *rateTable) takeFrom(key uint64, interval time.Duration, now time.Time) time.Duration {
	s := &t.shards[key%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.find(key, now)
	tolerance := max(burstDuration, interval)
	if wait := b.fullAt.Sub(now) + interval - tolerance; wait > 0 {
		return wait
	}
	b.fullAt = b.fullAt.Add(interval)
	return 0
}

// find returns the key's bucket; a new bucket is full.
func (s *shard) find(key uint64, now time.Time) *bucket {
	set := &s.sets[key/shardCount%setsPerShard]
	soonestFull := &set[0]
	for i := range set {
		b := &set[i]
		if b.key == key {
			if b.fullAt.Before(now) {
				b.fullAt = now
			}
			return b
		}
		if b.fullAt.Before(soonestFull.fullAt) {
			soonestFull = b
		}
	}
	*soonestFull = bucket{key: key, fullAt: now}
	return soonestFull
}

// hashCaller returns the key of a caller in a branch. It is never 0, which marks an unused bucket.
func hashCaller(branch string, caller netip.Addr) uint64 {
	b := caller.As16()
	return hashKey(branch, b[:], 'c')
}

func hashPrefix(branch string, caller netip.Addr) uint64 {
	if !caller.IsValid() {
		return hashKey(branch, nil, 'p')
	}
	b := callers.AddrPrefix(caller).Addr().As16()
	return hashKey(branch, b[:], 'p')
}

func hashKey(branch string, addr []byte, kind byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(branch)    //nolint:errcheck // never fails
	d.Write([]byte{0, kind}) //nolint:errcheck // never fails
	d.Write(addr)            //nolint:errcheck // never fails
	return max(1, d.Sum64())
}
