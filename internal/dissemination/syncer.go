// Package dissemination brings accepted settings revisions to every process. The hubs of a failure domain follow the
// settings log in the store; from there records pass between processes, which name their revision and the checksum of
// its tree in every membership exchange. A process that is behind pulls what it lacks from one that is ahead.
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

// Caller sends a control call.
type Caller interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// startGrace is how long a process that starts waits to hear which revision others have in force before it takes one
// from the store, which may answer with older data. It starts anew processes later by this time only when the whole
// fleet starts at once.
const startGrace = 2 * time.Second

// Records kept for processes that are behind by a few revisions.
const (
	keptRecords = 512
	keptBytes   = 256 << 10
)

// version names an accepted value.
type version struct {
	rev int64
	sum uint64
}

// Syncer holds the settings of one process and exchanges them with others. mu guards the fields below it.
type Syncer struct {
	live    *settings.Live
	pool    Caller
	log     zerolog.Logger
	kick    func()
	started time.Time
	current atomic.Pointer[version]
	wake    chan struct{}

	mu       sync.Mutex
	records  []caslog.Record // contiguous, the newest last
	sums     []uint64        // of the tree after each record
	bytes    int
	floor    int64             // highest revision that another process had in force
	ahead    map[string]int64  // addresses of processes that reported a higher revision
	encoded  map[int64]encoded // trees under transfer, by revision
	diverged int64             // last revision reported as diverged
	held     bool              // the delay of the first revision was logged
}

// NewSyncer returns a syncer of the settings in live. The kick function makes the new revision known to others at once;
// it may be nil.
func NewSyncer(live *settings.Live, pool Caller, kick func(), log zerolog.Logger) *Syncer {
	s := &Syncer{
		live: live, pool: pool, kick: kick, log: log, started: time.Now(), wake: make(chan struct{}, 1),
		ahead: map[string]int64{}, encoded: map[int64]encoded{},
	}
	snap := live.Current()
	s.current.Store(&version{rev: snap.Revision, sum: Checksum(snap.Tree)})
	return s
}

// Revision returns the revision in force and the checksum of its tree.
func (s *Syncer) Revision() (int64, uint64) {
	v := s.current.Load()
	return v.rev, v.sum
}

// OnRevision hears what another process has in force. It does not block.
func (s *Syncer) OnRevision(addr string, rev int64, sum uint64) {
	own := *s.current.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor = max(s.floor, rev)
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

// Errors of applying.
var (
	errHeld     = errors.New("others have a higher revision in force")
	errGap      = errors.New("records do not follow the revision in force")
	errChecksum = errors.New("checksum of the tree differs")
)

// admits reports whether a first revision may be put in force. Later ones only need to be higher than the present one.
func (s *Syncer) admits(rev int64) bool {
	if s.current.Load().rev > 0 {
		return true
	}
	if s.floor == 0 {
		return time.Since(s.started) >= startGrace
	}
	return rev >= s.floor
}

// ApplyRecords puts the records after the revision in force into force, in order. A non-nil sums holds the checksum
// that the sender had after each record. Errors: errHeld, errGap, errChecksum, or a record that does not apply.
func (s *Syncer) ApplyRecords(records []caslog.Record, sums []uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	tree, rev := s.live.Current().Tree, s.live.Current().Revision
	kept := []uint64{}
	var first int
	for i, rec := range records {
		if rec.Seq <= rev && len(kept) == 0 {
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
		kept = append(kept, sum)
		rev = rec.Seq
	}
	if len(kept) == 0 {
		return nil
	}
	if !s.admits(rev) {
		return s.hold(rev)
	}
	if err := s.putInForce(rev, tree, kept[len(kept)-1]); err != nil {
		return err
	}
	s.keep(records[first:], kept)
	return nil
}

// ApplyTree puts a whole tree into force if its revision is higher than the present one.
func (s *Syncer) ApplyTree(rev int64, tree settings.Tree) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rev <= s.live.Current().Revision {
		return nil
	}
	if !s.admits(rev) {
		return s.hold(rev)
	}
	s.records, s.sums, s.bytes = nil, nil, 0
	return s.putInForce(rev, tree, Checksum(tree))
}

func (s *Syncer) hold(rev int64) error {
	if !s.held {
		s.held = true
		events.SettingsHeld.Log(&s.log).Int64("revision", rev).Int64("others", s.floor).Send()
	}
	return errHeld
}

func (s *Syncer) putInForce(rev int64, tree settings.Tree, sum uint64) error {
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
	invariant.Check(old.rev > 0 || rev >= s.floor, "settings_first_not_older", "first revision %d, others have %d", rev, s.floor)
	events.SettingsApplied.Log(&s.log).Int64("revision", rev).Send()
	for addr, r := range s.ahead {
		if r <= rev {
			delete(s.ahead, addr)
		}
	}
	if s.kick != nil {
		s.kick()
	}
	return nil
}

// keep holds the newest records for processes that are behind.
func (s *Syncer) keep(records []caslog.Record, sums []uint64) {
	s.records = append(s.records, records...)
	s.sums = append(s.sums, sums...)
	for _, r := range records {
		s.bytes += len(r.Data)
	}
	drop := 0
	for len(s.records)-drop > keptRecords || s.bytes > keptBytes && drop < len(s.records) {
		s.bytes -= len(s.records[drop].Data)
		drop++
	}
	s.records = append([]caslog.Record(nil), s.records[drop:]...)
	s.sums = append([]uint64(nil), s.sums[drop:]...)
}

// source picks one of the processes that are ahead; ok is false if there is none.
func (s *Syncer) source() (addr string, ok bool) {
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

func (s *Syncer) drop(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.ahead, addr)
}

// Run pulls from processes that are ahead until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		}
		for ctx.Err() == nil {
			addr, ok := s.source()
			if !ok {
				break
			}
			if err := s.pull(ctx, addr); err != nil {
				s.drop(addr) // its next exchange names it again
			}
		}
	}
}
