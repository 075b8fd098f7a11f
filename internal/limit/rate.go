package limit

import (
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboofork/internal/callers"
	"bamboofork/internal/settings"
)

// Dimensions of the rate table. For any number of callers, shardCount*setsPerShard*bucketsPerSet buckets of 32 bytes use 2 MB.
const (
	shardCount    = 64
	setsPerShard  = 256
	bucketsPerSet = 4
)

// prefixRateFactor is the rate limit of an address prefix as a multiple of the rate limit of one caller. A factor above 1
// allows for sites with many callers behind one prefix. The prefix limit bounds what a caller gains by rotating through the
// addresses of its prefix.
const prefixRateFactor = 16

// burstDuration bounds a burst: a caller may send at once the requests that its rate allows in this time.
const burstDuration = time.Second

// bucket is a token bucket, represented by the time at which the bucket is full again (generic cell rate algorithm).
type bucket struct {
	key    uint64
	fullAt time.Time
}

type shard struct {
	mu   sync.Mutex
	sets [setsPerShard][bucketsPerSet]bucket
}

// rateTable is a fixed-size set-associative table of token buckets. A key that is not in its set replaces the bucket that is
// full again soonest: removing the bucket with the fewest missing tokens grants the fewest extra requests.
type rateTable struct{ shards [shardCount]shard }

func newRateTable() *rateTable { return &rateTable{} }

// takeTokens takes one token from the caller's bucket and one from the bucket of the caller's prefix. It returns 0 on success,
// or else the time until the missing token is available.
func (t *rateTable) takeTokens(branch *settings.Effective, caller netip.Addr, now time.Time) time.Duration {
	tokenInterval := time.Duration(float64(time.Second) / branch.CallerRate)
	// The caller is checked first, so that a caller over its rate does not use up the tokens of its prefix.
	if wait := t.takeToken(hashCaller(branch.Branch, caller), tokenInterval, now); wait > 0 {
		return wait
	}
	return t.takeToken(hashPrefix(branch.Branch, caller), tokenInterval/prefixRateFactor, now)
}

// takeToken takes one token from the key's bucket, which gains a token per tokenInterval. It returns 0 on success, or else the
// time until a token is available.
func (t *rateTable) takeToken(key uint64, tokenInterval time.Duration, now time.Time) time.Duration {
	keyShard := &t.shards[key%shardCount]
	keyShard.mu.Lock()
	defer keyShard.mu.Unlock()
	keyBucket := keyShard.bucketFor(key, now)
	tolerance := max(burstDuration, tokenInterval)
	if wait := keyBucket.fullAt.Sub(now) + tokenInterval - tolerance; wait > 0 {
		return wait
	}
	keyBucket.fullAt = keyBucket.fullAt.Add(tokenInterval)
	return 0
}

// bucketFor returns the key's bucket. If the set has none, a full bucket replaces another one. The caller holds mu.
func (s *shard) bucketFor(key uint64, now time.Time) *bucket {
	set := &s.sets[key/shardCount%setsPerShard]
	soonestFull := &set[0]
	for i := range set {
		candidate := &set[i]
		if candidate.key == key {
			if candidate.fullAt.Before(now) {
				candidate.fullAt = now
			}
			return candidate
		}
		if candidate.fullAt.Before(soonestFull.fullAt) {
			soonestFull = candidate
		}
	}
	*soonestFull = bucket{key: key, fullAt: now}
	return soonestFull
}

// hashCaller returns the bucket key of a caller in a branch. The key is never 0, because 0 marks an unused bucket.
func hashCaller(branch string, caller netip.Addr) uint64 {
	b := caller.As16()
	return hashKey(branch, b[:], 'c')
}

// hashPrefix returns the bucket key of the caller's address prefix in a branch. The key is never 0.
func hashPrefix(branch string, caller netip.Addr) uint64 {
	if !caller.IsValid() {
		return hashKey(branch, nil, 'p')
	}
	b := callers.AddrPrefix(caller).Addr().As16()
	return hashKey(branch, b[:], 'p')
}

func hashKey(branch string, addr []byte, keyType byte) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	digest.WriteString(branch)       //nolint:errcheck // never fails
	digest.Write([]byte{0, keyType}) //nolint:errcheck // never fails
	digest.Write(addr)               //nolint:errcheck // never fails
	return max(1, digest.Sum64())
}
