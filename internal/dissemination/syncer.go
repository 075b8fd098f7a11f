// Package dissemination distributes accepted settings revisions to every process. The hubs of a failure domain follow the
// settings log in the store. In every membership exchange each process reports its active revision and the checksum of the
// settings tree of that revision. A process with a lower revision pulls the missing records from a process with a higher one.
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

// firstRevisionGracePeriod is how long a starting process waits for the active revisions of other processes before it applies
// a revision read from the store. The store may return older data than other processes already use. The wait delays a start
// only if no other process reports a revision, for example when the whole fleet starts at once.
const firstRevisionGracePeriod = 2 * time.Second

// Limits of the records that a process keeps in memory for processes that are a few revisions behind.
const (
	maxKeptRecords = 512
	maxKeptBytes   = 256 << 10
)

// version identifies an accepted settings tree by its revision and checksum.
type version struct {
	rev int64
	sum uint64
}

// Syncer keeps the settings of a process up to date and serves them to other processes. The mutex mu guards the fields that
// are declared below it.
type Syncer struct {
	live      *settings.ActiveSnapshot
	rpc       Caller
	log       zerolog.Logger
	announce  func() // see NewSyncer
	startedAt time.Time
	active    atomic.Pointer[version]
	wakeRun   chan struct{} // wakes Run

	mu                sync.Mutex
	keptRecords       []caslog.Record       // contiguous, the latest last
	keptSums          []uint64              // checksum of the tree after each kept record
	keptBytes         int                   // total data size of keptRecords
	maxReported       int64                 // highest active revision reported by another process
	aheadRevisions    map[string]int64      // revisions higher than the active one, by address of the reporting process
	encodedTrees      map[int64]encodedTree // trees in transfer, by revision
	divergentRevision int64                 // last revision for which a checksum difference was logged
	holdBackLogged    bool                  // set once a held-back first revision has been logged
}

// NewSyncer returns a syncer for the settings in live. The syncer calls announce after it has applied a revision, so that the
// revision is reported to other processes at once. A nil announce is allowed.
func NewSyncer(live *settings.ActiveSnapshot, rpc Caller, announce func(), log zerolog.Logger) *Syncer {
	s := &Syncer{
		live: live, rpc: rpc, announce: announce, log: log, startedAt: time.Now(), wakeRun: make(chan struct{}, 1),
		aheadRevisions: map[string]int64{}, encodedTrees: map[int64]encodedTree{},
	}
	snap := live.Current()
	s.active.Store(&version{rev: snap.Revision, sum: Checksum(snap.Tree)})
	return s
}

// Revision returns the active revision and the checksum of its tree.
func (s *Syncer) Revision() (int64, uint64) {
	v := s.active.Load()
	return v.rev, v.sum
}

// RecordReportedRevision records the active revision and the tree checksum that the process at addr reported.
// It does not block. It logs a checksum that differs from this process's own at the same revision.
func (s *Syncer) RecordReportedRevision(addr string, rev int64, sum uint64) {
	own := *s.active.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxReported = max(s.maxReported, rev)
	switch {
	case rev > own.rev:
		s.aheadRevisions[addr] = rev
		s.wake()
	case rev == own.rev && rev > 0 && sum != own.sum && s.divergentRevision != rev:
		s.divergentRevision = rev
		events.SettingsDiverged.Log(&s.log).Int64("revision", rev).Str("addr", addr).Uint64("own", own.sum).Uint64("theirs", sum).Send()
	}
}

// wake makes Run pull from a process with a higher revision.
func (s *Syncer) wake() {
	select {
	case s.wakeRun <- struct{}{}:
	default:
	}
}

// Errors that ApplyRecords and ApplyTree return.
var (
	errHeld     = errors.New("first revision held back: another process may have a higher one")
	errGap      = errors.New("records do not follow the active revision")
	errChecksum = errors.New("tree checksum mismatch")
)

// mayApply reports whether rev may be applied. The first revision after the start must not be lower than any that another
// process has reported. Without such a report, mayApply returns false until firstRevisionGracePeriod has passed. For a later
// revision it returns true, because the callers apply only revisions higher than the active one.
func (s *Syncer) mayApply(rev int64) bool {
	if s.active.Load().rev > 0 {
		return true
	}
	if s.maxReported == 0 {
		return time.Since(s.startedAt) >= firstRevisionGracePeriod
	}
	return rev >= s.maxReported
}

// ApplyRecords applies, in order, the records that follow the active revision. If sums is not nil, it contains the sender's
// checksum of the tree after each record. ApplyRecords applies all of the records or none. It returns errHeld, errGap,
// errChecksum, or the error of a record or tree that cannot be applied.
func (s *Syncer) ApplyRecords(records []caslog.Record, sums []uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	tree, rev := s.live.Current().Tree, s.live.Current().Revision
	newSums := []uint64{}
	var applied int // number of leading records that are already applied
	for i, rec := range records {
		if rec.Seq <= rev && len(newSums) == 0 {
			applied = i + 1
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
		newSums = append(newSums, sum)
		rev = rec.Seq
	}
	if len(newSums) == 0 {
		return nil
	}
	if !s.mayApply(rev) {
		return s.holdBack(rev)
	}
	if err := s.apply(rev, tree, newSums[len(newSums)-1]); err != nil {
		return err
	}
	s.keepRecords(records[applied:], newSums)
	return nil
}

// ApplyTree applies a whole tree if its revision is higher than the active one. ApplyTree returns errHeld while the first
// revision is held back.
func (s *Syncer) ApplyTree(rev int64, tree settings.Tree) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rev <= s.live.Current().Revision {
		return nil
	}
	if !s.mayApply(rev) {
		return s.holdBack(rev)
	}
	s.keptRecords, s.keptSums, s.keptBytes = nil, nil, 0
	return s.apply(rev, tree, Checksum(tree))
}

// holdBack logs the first call and returns errHeld.
func (s *Syncer) holdBack(rev int64) error {
	if !s.holdBackLogged {
		s.holdBackLogged = true
		events.SettingsHeld.Log(&s.log).Int64("revision", rev).Int64("others", s.maxReported).Send()
	}
	return errHeld
}

// apply compiles the tree, makes it the active revision, and calls announce. An error means that the tree is invalid.
func (s *Syncer) apply(rev int64, tree settings.Tree, sum uint64) error {
	snap, err := settings.Compile(rev, tree)
	if err != nil {
		events.SettingsRejected.Log(&s.log).Int64("revision", rev).Err(err).Send()
		return err
	}
	if !s.live.Apply(snap) {
		return nil
	}
	old := s.active.Swap(&version{rev: rev, sum: sum})
	invariant.Check(rev > old.rev, "settings_revision_monotonic", "revision %d after %d", rev, old.rev)
	invariant.Check(old.rev > 0 || rev >= s.maxReported, "settings_first_not_older", "first revision %d, others have %d", rev, s.maxReported)
	events.SettingsApplied.Log(&s.log).Int64("revision", rev).Send()
	for addr, r := range s.aheadRevisions {
		if r <= rev {
			delete(s.aheadRevisions, addr)
		}
	}
	if s.announce != nil {
		s.announce()
	}
	return nil
}

// keepRecords keeps applied records for processes that are behind. The oldest records are dropped once the kept records exceed
// maxKeptRecords or maxKeptBytes.
func (s *Syncer) keepRecords(records []caslog.Record, sums []uint64) {
	s.keptRecords = append(s.keptRecords, records...)
	s.keptSums = append(s.keptSums, sums...)
	for _, r := range records {
		s.keptBytes += len(r.Data)
	}
	dropped := 0
	for len(s.keptRecords)-dropped > maxKeptRecords || s.keptBytes > maxKeptBytes && dropped < len(s.keptRecords) {
		s.keptBytes -= len(s.keptRecords[dropped].Data)
		dropped++
	}
	s.keptRecords = append([]caslog.Record(nil), s.keptRecords[dropped:]...)
	s.keptSums = append([]uint64(nil), s.keptSums[dropped:]...)
}

// choosePullSource returns the address of a random process that is ahead; ok is false if there is none.
func (s *Syncer) choosePullSource() (addr string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rev := s.active.Load().rev
	addrs := []string{}
	for a, r := range s.aheadRevisions {
		if r > rev {
			addrs = append(addrs, a)
		}
	}
	if len(addrs) == 0 {
		return "", false
	}
	return addrs[rand.IntN(len(addrs))], true
}

func (s *Syncer) removePullSource(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.aheadRevisions, addr)
}

// Run pulls records or trees from processes that are ahead until ctx is done. Run always returns nil.
func (s *Syncer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wakeRun:
		}
		for ctx.Err() == nil {
			addr, ok := s.choosePullSource()
			if !ok {
				break
			}
			if err := s.pull(ctx, addr); err != nil {
				s.removePullSource(addr) // the next exchange with the process adds the address again
			}
		}
	}
}
