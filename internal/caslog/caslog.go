// Package caslog implements an append-only log in the platform's store that needs only
// single-key compare-and-swap. Record n is stored at <prefix>/log/<n>. A writer appends
// by creating key n+1 if it is absent, which orders all writers: if the key holds another
// writer's record, the append lost the race. After a lost response, the writer reads the
// key to find out whether its own record was written.
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

// ErrConflict: another writer appended at this position. The caller must read that record before it appends again.
var ErrConflict = errors.New("log position taken by another writer")

// Record is one entry of the log.
type Record struct {
	Seq    int64           `json:"seq"`
	Epoch  int64           `json:"epoch"` // ownership epoch of the writer; 0 in a log without an owner
	Writer string          `json:"writer"`
	Nonce  string          `json:"nonce"` // unique to the append, so that a retry recognizes its own record
	Time   time.Time       `json:"time"`  // writer's wall clock; informational only
	Data   json.RawMessage `json:"data,omitempty"`
}

// State is the content of a log: the newest snapshot and the records after it.
type State struct {
	SnapshotSeq int64
	Snapshot    []byte
	Records     []Record
}

// LastSeq returns the position of the newest record in the state, or of the snapshot if no records follow it.
func (s State) LastSeq() int64 {
	if n := len(s.Records); n > 0 {
		return s.Records[n-1].Seq
	}
	return s.SnapshotSeq
}

// Log is a handle on one log. It does not track the log's position; callers do. It is safe for concurrent use.
type Log struct {
	st     store.Store
	prefix string
	writer string
	nonces atomic.Int64
}

// New returns a handle on the log at the prefix. The writer ID must be unique to the process incarnation.
func New(st store.Store, prefix, writer string) *Log {
	return &Log{st: st, prefix: strings.TrimSuffix(prefix, "/"), writer: writer}
}

// Writer returns the writer ID of the records appended through this handle.
func (l *Log) Writer() string { return l.writer }

// RecordPrefix returns the key prefix of the records, for use in watches.
func (l *Log) RecordPrefix() string { return l.prefix + "/log/" }

func (l *Log) recordKey(seq int64) string { return fmt.Sprintf("%s/log/%016d", l.prefix, seq) }

// SeqOfKey parses the position from a record key; ok is false for other keys.
func (l *Log) SeqOfKey(key string) (int64, bool) {
	digits, found := strings.CutPrefix(key, l.RecordPrefix())
	if !found {
		return 0, false
	}
	seq, err := strconv.ParseInt(digits, 10, 64)
	return seq, err == nil
}

// Append writes rec at position rec.Seq. It returns ErrConflict if another writer holds the position,
// store.ErrUncertain if the outcome could not be resolved (call again with the same Record to resolve it), or a
// store error if the call had no effect. Append sets an empty Nonce, so a retry must pass the returned Record.
func (l *Log) Append(ctx context.Context, rec Record) (Record, error) {
	if rec.Nonce == "" {
		rec.Nonce = l.writer + "-" + strconv.FormatInt(l.nonces.Add(1), 36)
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

// resolve reads the position after a lost response. It may hold this record, another writer's record, or nothing.
// If it holds nothing, the outcome stays uncertain, because a delayed write can still take effect.
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
		return eris.Wrap(err, "decode record")
	}
	if found.Nonce == rec.Nonce && found.Writer == rec.Writer {
		return nil
	}
	return ErrConflict
}

// recordsPerRead is the limit of each List call. It covers the log between two snapshots in one or two calls. A store
// that responds in whole pages sends the rest of a page again with the next call, so a smaller limit would cost traffic.
const recordsPerRead = 400

// Read returns the records from position from, in order. It returns store.ErrCompacted if a record is missing.
func (l *Log) Read(ctx context.Context, from int64) ([]Record, error) {
	records := []Record{}
	for {
		kvs, _, err := l.st.List(ctx, l.recordKey(from+int64(len(records))), store.PrefixEnd(l.RecordPrefix()), recordsPerRead)
		if err != nil {
			return nil, err
		}
		for _, kv := range kvs {
			rec, err := Decode(kv.Value)
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

// loadAttempts bounds the attempts of Load, which starts over if the snapshot is replaced during the read.
const loadAttempts = 5

// Load reads the newest snapshot and the records after it.
func (l *Log) Load(ctx context.Context) (State, error) {
	var state State
	var err error
	for range loadAttempts {
		state, err = l.loadOnce(ctx)
		// ErrCompacted means that a newer snapshot replaced this one during the read.
		if !errors.Is(err, store.ErrCompacted) {
			break
		}
	}
	if err == nil {
		checkEpochOrder(state)
	}
	return state, err
}

func (l *Log) loadOnce(ctx context.Context) (State, error) {
	m, err := l.manifest(ctx)
	if err != nil {
		return State{}, err
	}
	state := State{SnapshotSeq: m.Seq}
	if state.Snapshot, err = l.readChunks(ctx, m); err != nil {
		return State{}, err
	}
	state.Records, err = l.Read(ctx, m.Seq+1)
	return state, err
}

func checkEpochOrder(state State) {
	epoch := int64(0)
	for _, r := range state.Records {
		invariant.Check(r.Epoch >= epoch, "log_epoch_monotonic", "record %d has epoch %d after %d", r.Seq, r.Epoch, epoch)
		epoch = r.Epoch
	}
}
