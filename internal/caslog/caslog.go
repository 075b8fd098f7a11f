// Package caslog implements an append-only log in the platform's store that needs only
// single-key compare-and-swap. Record n is stored at <prefix>/log/<n>. A writer appends
// record n+1 by creating the key if the key is absent, which orders all writers. If the key holds
// another writer's record, the append has failed and that record comes first. After a lost
// response, the writer reads the key to find out whether its own record was written.
package caslog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"bamboofork/internal/invariant"
	"bamboofork/internal/store"
)

// ErrConflict means that another writer has appended a record at the position, or has compacted the log beyond the position.
// The caller must read the newer records before it appends again.
var ErrConflict = errors.New("log position taken by another writer")

// Record is one entry of the log.
type Record struct {
	Seq    int64           `json:"seq"`   // position in the log, starting at 1
	Epoch  int64           `json:"epoch"` // ownership epoch of the writer; 0 in a log without an owner
	Writer string          `json:"writer"`
	Nonce  string          `json:"nonce"` // unique to the append, so that a retry recognizes its own record
	Time   time.Time       `json:"time"`  // writer's wall clock; informational only
	Data   json.RawMessage `json:"data,omitempty"`
	// Unreadable means that the position holds something that no writer of this log has written; only Seq is set. See SkipUnreadable.
	Unreadable bool `json:"-"`
}

// State is the content of a log: the newest snapshot and the records after that snapshot.
type State struct {
	SnapshotSeq   int64  // position of the last record that the snapshot covers; 0 without a snapshot
	SnapshotEpoch int64  // epoch of the writer of the snapshot
	Snapshot      []byte // nil without a snapshot
	Records       []Record
}

// LastSeq returns the position of the newest record in the state, or of the snapshot if no records follow it.
func (s State) LastSeq() int64 {
	if n := len(s.Records); n > 0 {
		return s.Records[n-1].Seq
	}
	return s.SnapshotSeq
}

// Log is a handle on one log. Callers must track the position at which they append. A Log is safe for concurrent use.
type Log struct {
	st        store.Store
	prefix    string
	writer    string
	lastNonce atomic.Int64

	skipUnreadable bool
}

// New returns a handle on the log at the key prefix. The writer ID must be unique to the process incarnation.
func New(st store.Store, prefix, writer string) *Log {
	return &Log{st: st, prefix: strings.TrimSuffix(prefix, "/"), writer: writer}
}

// SkipUnreadable makes Read and Load return a position that another writer has filled as an Unreadable record instead of an error, so that
// it does not make the log unusable. The epochs of the log must be positions in it: a record whose position or epoch cannot be right is
// Unreadable, too.
func (l *Log) SkipUnreadable() { l.skipUnreadable = true }

// Writer returns the writer ID of the records appended through this handle.
func (l *Log) Writer() string { return l.writer }

// RecordPrefix returns the key prefix of the records, for use in watches.
func (l *Log) RecordPrefix() string { return l.prefix + "/log/" }

func (l *Log) recordKey(seq int64) string { return fmt.Sprintf("%s/log/%016d", l.prefix, seq) }

// SeqOfKey parses the position from a record key. It returns false if the key is not a record key of this log.
func (l *Log) SeqOfKey(key string) (int64, bool) {
	digits, found := strings.CutPrefix(key, l.RecordPrefix())
	if !found {
		return 0, false
	}
	seq, err := strconv.ParseInt(digits, 10, 64)
	return seq, err == nil && l.recordKey(seq) == key
}

// firstSuffix makes a key the start of a range that begins after the key: keys of records all have the same length.
const firstSuffix = "!"

// Append writes rec at position rec.Seq and returns the record as written. It returns ErrConflict if the position holds
// another writer's record, and another store error if the call had no effect. It returns store.ErrUncertain if the outcome is
// unknown; a retry with the returned record resolves the outcome. Append fills in Nonce and Writer if Nonce is empty, so a
// retry must not pass the original record.
func (l *Log) Append(ctx context.Context, rec Record) (Record, error) {
	if rec.Nonce == "" {
		rec.Nonce = l.writer + "-" + strconv.FormatInt(l.lastNonce.Add(1), 36)
		rec.Writer = l.writer
	}
	value, err := json.Marshal(rec)
	if err != nil {
		return rec, eris.Wrap(err, "encode record")
	}
	res, err := l.st.CompareAndSwap(ctx, l.recordKey(rec.Seq), 0, value, 0)
	if errors.Is(err, store.ErrUncertain) {
		return rec, l.resolve(ctx, rec)
	}
	if err != nil {
		return rec, err
	}
	if res.Swapped {
		return rec, nil
	}
	return rec, verifyOwnRecord(res.Current.Value, rec)
}

// resolve reads the position of rec after a lost response. The position may hold rec, another writer's record, or nothing.
// If the position holds nothing, the outcome stays uncertain, because a delayed write can still take effect.
func (l *Log) resolve(ctx context.Context, rec Record) error {
	kv, err := l.st.Get(ctx, l.recordKey(rec.Seq))
	if err != nil || kv.ModRevision == 0 {
		return store.ErrUncertain
	}
	return verifyOwnRecord(kv.Value, rec)
}

// verifyOwnRecord returns ErrConflict if the stored value is not rec.
func verifyOwnRecord(value []byte, rec Record) error {
	var found Record
	if err := json.Unmarshal(value, &found); err != nil {
		return ErrConflict
	}
	if found.Nonce == rec.Nonce && found.Writer == rec.Writer {
		return nil
	}
	return ErrConflict
}

// recordsPerRead is the maximum number of records per List call. The log between two snapshots is read in one or two calls.
// A store that responds in whole pages sends the rest of a page again with the next call, so a smaller limit would cost
// traffic.
const recordsPerRead = 400

// Read returns the records from position from to the end of the log, in order. If a record is missing, it returns the records
// before the missing record and store.ErrCompacted.
func (l *Log) Read(ctx context.Context, from int64) ([]Record, error) {
	records := []Record{}
	next, lastEpoch := l.recordKey(from), int64(0)
	for {
		kvs, _, err := l.st.List(ctx, next, store.PrefixEnd(l.RecordPrefix()), recordsPerRead)
		if err != nil {
			return nil, err
		}
		for _, kv := range kvs {
			next = kv.Key + firstSuffix
			rec, err := Decode(kv.Value)
			if l.skipUnreadable {
				seq, isRecord := l.SeqOfKey(kv.Key)
				if !isRecord {
					continue
				}
				if err != nil || rec.Seq != seq || rec.Epoch > seq || rec.Epoch < lastEpoch {
					rec, err = Record{Seq: seq, Unreadable: true}, nil
				} else {
					lastEpoch = rec.Epoch
				}
			}
			if err != nil {
				return nil, err
			}
			if rec.Seq != from+int64(len(records)) {
				return records, store.ErrCompacted
			}
			records = append(records, rec)
		}
		if len(kvs) < recordsPerRead {
			return records, nil
		}
	}
}

// ReadKept returns all records that have not been compacted, in order.
func (l *Log) ReadKept(ctx context.Context) ([]Record, error) {
	kvs, _, err := l.st.List(ctx, l.recordKey(0), store.PrefixEnd(l.RecordPrefix()), 1)
	if err != nil || len(kvs) == 0 {
		return nil, err
	}
	first, err := Decode(kvs[0].Value)
	if err != nil {
		return nil, err
	}
	return l.Read(ctx, first.Seq)
}

// Decode decodes the stored value of a record.
func Decode(value []byte) (Record, error) {
	var rec Record
	err := json.Unmarshal(value, &rec)
	return rec, eris.Wrap(err, "decode record")
}

// maxLoadAttempts is the maximum number of attempts of Load. Load starts over if the snapshot is replaced during the read.
const maxLoadAttempts = 5

// Load returns the newest snapshot and the records after that snapshot. It returns store.ErrCompacted if the snapshot was
// replaced during each of maxLoadAttempts reads.
func (l *Log) Load(ctx context.Context) (State, error) {
	var state State
	var err error
	for range maxLoadAttempts {
		state, err = l.loadOnce(ctx)
		// ErrCompacted means that a newer snapshot replaced the snapshot during the read.
		if !errors.Is(err, store.ErrCompacted) {
			break
		}
	}
	if err == nil {
		assertEpochOrder(state)
	}
	return state, err
}

func (l *Log) loadOnce(ctx context.Context) (State, error) {
	m, err := l.manifest(ctx)
	if err != nil {
		return State{}, err
	}
	state := State{SnapshotSeq: m.Seq, SnapshotEpoch: m.Epoch}
	if state.Snapshot, err = l.readChunks(ctx, m); err != nil {
		return State{}, err
	}
	state.Records, err = l.Read(ctx, m.Seq+1)
	return state, err
}

// assertEpochOrder asserts that the epochs of successive records do not decrease.
func assertEpochOrder(state State) {
	epoch := int64(0)
	for _, r := range state.Records {
		if r.Unreadable {
			continue
		}
		invariant.Check(r.Epoch >= epoch, "log_epoch_monotonic", "record %d has epoch %d after %d", r.Seq, r.Epoch, epoch)
		epoch = r.Epoch
	}
}
