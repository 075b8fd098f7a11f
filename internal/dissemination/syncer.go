// Package dissemination distributes accepted settings revisions to every process. The hubs of a failure domain follow the
// settings log in the store. All processes report their revision and the checksum of its tree in every membership exchange,
// and a process that is behind pulls the missing records from one that is ahead.
package dissemination

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"bamboofork/internal/caslog"
	"bamboofork/internal/events"
	"bamboofork/internal/invariant"
	"bamboofork/internal/settings"
)

// Caller sends control RPCs.
type Caller interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// startGrace is how long a starting process waits for the active revisions of others before it applies a revision from the
// store, which may return older data. The wait delays a start only if no other process reports a revision, as when the
// whole fleet starts at once.
const startGrace = 2 * time.Second

// Limits of the records kept for processes that are a few revisions behind.
const (
	maxKeptRecords = 512
	maxKeptBytes   = 256 << 10
)

// version identifies an accepted tree by revision and checksum.
type version struct {
	rev int64
	sum uint64
}

// Syncer keeps the settings of a process up to date and serves them to others. mu guards the fields below it.
type Syncer struct {
	live     *settings.Live
	pool     Caller
	log      zerolog.Logger
	announce func()
	started  time.Time
	current  atomic.Pointer[version]
	wake     chan struct{}

	mu          sync.Mutex
	records     []caslog.Record       // contiguous, the latest last
	sums        []uint64              // checksum of the tree after each record
	keptBytes   int                   // data size of records
	maxReported int64                 // highest active revision reported by another process
	ahead       map[string]int64      // addresses of processes that reported a higher revision
	encoded     map[int64]encodedTree // trees in transfer, by revision
	diverged    int64                 // last revision whose divergence was logged
	holdLogged  bool                  // holding back the first revision was logged
}

// NewSyncer returns a syncer for the settings in live. It calls announce after each applied revision, to report the revision
// to other processes at once; announce may be nil.
func NewSyncer(live *settings.Live, pool Caller, announce func(), log zerolog.Logger) *Syncer {
	s := &Syncer{
		live: live, pool: pool, announce: announce, log: log, started: time.Now(), wake: make(chan struct{}, 1),
		ahead: map[string]int64{}, encoded: map[int64]encodedTree{},
	}
	snap := live.Current()
	s.current.Store(&version{rev: snap.Revision, sum: Checksum(snap.Tree)})
	return s
}

// Revision returns the active revision and the checksum of its tree.
func (s *Syncer) Revision() (int64, uint64) {
	v := s.current.Load()
	return v.rev, v.sum
}

// OnRevision records the active revision of another process. It does not block.
func (s *Syncer) OnRevision(addr string, rev int64, sum uint64) {
	own := *s.current.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxReported = max(s.maxReported, rev)
	switch {
	case rev > own.rev:
		s.ahead[addr] = rev
		s.signal()
	case rev == own.rev && rev > 0 && sum != own.sum && s.diverged != rev:
		s.diverged = rev
		events.SettingsDiverged.Log(&s.log).Int64("revision", rev).Str("addr", addr).Uint64("own", own.sum).Uint64("theirs", sum).Send()
	}
}

func (s *Syncer) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Errors of ApplyRecords and ApplyTree.
var (
	errHeld     = errors.New("first revision held back: another process may have a higher one")
	errGap      = errors.New("records do not follow the active revision")
	errChecksum = errors.New("tree checksum mismatch")
)

// admits reports whether rev may be applied as the first revision. Later revisions need only be higher than the active
// one.
func (s *Syncer) admits(rev int64) bool {
	if s.current.Load().rev > 0 {
		return true
	}
	if s.maxReported == 0 {
		return time.Since(s.started) >= startGrace
	}
	return rev >= s.maxReported
}

// ApplyRecords applies the records after the active revision in order. A non-nil sums contains the sender's checksum after
// each record. It returns errHeld, errGap, errChecksum, or the error of a record that cannot be applied.
func (s *Syncer) ApplyRecords(records []caslog.Record, sums []uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	tree, rev := s.live.Current().Tree, s.live.Current().Revision
	keptSums := []uint64{}
	var first int
	for i, rec := range records {
		if rec.Seq <= rev && len(keptSums) == 0 {
			first = i + 1
			continue
		}
		if rec.Seq != rev+1 {
			return errGap
		}
		var err error
		if tree, err = settings.ApplyRecord(tree, rec); err != nil {
			return err
		}
		sum := Checksum(tree)
		if sums != nil && (i >= len(sums) || sums[i] != sum) {
			return errChecksum
		}
		keptSums = append(keptSums, sum)
		rev = rec.Seq
	}
	if len(keptSums) == 0 {
		return nil
	}
	if !s.admits(rev) {
		return s.holdBack(rev)
	}
	if err := s.apply(rev, tree, keptSums[len(keptSums)-1]); err != nil {
		return err
	}
	s.keepRecords(records[first:], keptSums)
	return nil
}

// ApplyTree applies a whole tree if its revision is higher than the active one. It returns errHeld while a first
// revision is held back.
func (s *Syncer) ApplyTree(rev int64, tree settings.Tree) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rev <= s.live.Current().Revision {
		return nil
	}
	if !s.admits(rev) {
		return s.holdBack(rev)
	}
	s.records, s.sums, s.keptBytes = nil, nil, 0
	return s.apply(rev, tree, Checksum(tree))
}

func (s *Syncer) holdBack(rev int64) error {
	if !s.holdLogged {
		s.holdLogged = true
		events.SettingsHeld.Log(&s.log).Int64("revision", rev).Int64("others", s.maxReported).Send()
	}
	return errHeld
}

func (s *Syncer) apply(rev int64, tree settings.Tree, sum uint64) error {
	snap, err := settings.Compile(rev, tree)
	if err != nil {
		events.SettingsRejected.Log(&s.log).Int64("revision", rev).Err(err).Send()
		return err
	}
	if !s.live.Apply(snap) {
		return nil
	}
	old := s.current.Swap(&version{rev: rev, sum: sum})
	invariant.Check(rev > old.rev, "settings_revision_monotonic", "revision %d after %d", rev, old.rev)
	invariant.Check(old.rev > 0 || rev >= s.maxReported, "settings_first_not_older", "first revision %d, others have %d", rev, s.maxReported)
	events.SettingsApplied.Log(&s.log).Int64("revision", rev).Send()
	for addr, r := range s.ahead {
		if r <= rev {
			delete(s.ahead, addr)
		}
	}
	if s.announce != nil {
		s.announce()
	}
	return nil
}

// keepRecords stores the latest records for processes that are behind.
func (s *Syncer) keepRecords(records []caslog.Record, sums []uint64) {
	s.records = append(s.records, records...)
	s.sums = append(s.sums, sums...)
	for _, r := range records {
		s.keptBytes += len(r.Data)
	}
	drop := 0
	for len(s.records)-drop > maxKeptRecords || s.keptBytes > maxKeptBytes && drop < len(s.records) {
		s.keptBytes -= len(s.records[drop].Data)
		drop++
	}
	s.records = append([]caslog.Record(nil), s.records[drop:]...)
	s.sums = append([]uint64(nil), s.sums[drop:]...)
}

// pullSource returns a random process that is ahead; ok is false if there is none.
func (s *Syncer) pullSource() (addr string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rev := s.current.Load().rev
	list := []string{}
	for a, r := range s.ahead {
		if r > rev {
			list = append(list, a)
		}
	}
	if len(list) == 0 {
		return "", false
	}
	return list[rand.IntN(len(list))], true
}

func (s *Syncer) dropSource(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.ahead, addr)
}

// Run pulls from processes that are ahead until ctx is done.
func (s *Syncer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		}
		for ctx.Err() == nil {
			addr, ok := s.pullSource()
			if !ok {
				break
			}
			if err := s.pull(ctx, addr); err != nil {
				s.dropSource(addr) // its next exchange adds it again
			}
		}
	}
}
