// Package caslog is an append-only log in the platform's store that needs only
// single-key compare-and-swap. Record n lives at <prefix>/log/<n>; creating key n+1
// if absent orders all writers. A writer that finds the key taken by another learns
// that it lost the race, and a lost answer is resolved by reading the key again.
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

// ErrConflict: another writer appended at this position. The caller must read it before appending again.
var ErrConflict = errors.New("log position taken by another writer")

// Record is one entry of the log.
type Record struct {
	Seq    int64           `json:"seq"`
	Epoch  int64           `json:"epoch"`
	Writer string          `json:"writer"`
	Nonce  string          `json:"nonce"`
	Time   time.Time       `json:"time"` // wall clock of the writer, for people only
	Data   json.RawMessage `json:"data,omitempty"`
}

// State is what Load returns: the newest snapshot and the records after it.
type State struct {
	SnapshotSeq int64
	Snapshot    []byte
	Records     []Record
}

// LastSeq returns the position of the newest record known to the state.
func (s State) LastSeq() int64 {
	if n := len(s.Records); n > 0 {
		return s.Records[n-1].Seq
	}
	return s.SnapshotSeq
}

// Log is a handle on one log. It keeps no position; callers own that. Safe for concurrent use.
type Log struct {
	st     store.Store
	prefix string
	writer string
	nonces atomic.Int64
}

// New returns a handle on the log at the prefix. The writer must be unique to the process's incarnation.
func New(st store.Store, prefix, writer string) *Log {
	return &Log{st: st, prefix: strings.TrimSuffix(prefix, "/"), writer: writer}
}

// Writer returns the writer id that marks this handle's records.
func (l *Log) Writer() string { return l.writer }

// RecordPrefix is the key prefix of the records, for watches.
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

// Append writes data as record seq. Errors: ErrConflict (taken by another), store.ErrUncertain (the outcome
// could not be resolved; call again with the same Record to resolve it), or a store error without effect.
// A Record with an empty Nonce gets one, so a retry must pass the returned Record.
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
	return rec, sameRecord(res.Current.Value, rec)
}

// resolve reads the position after a lost answer. The position may hold our record, another's, or nothing; the
// last stays uncertain, because a delayed write can still arrive.
func (l *Log) resolve(ctx context.Context, rec Record) error {
	kv, err := l.st.Get(ctx, l.recordKey(rec.Seq))
	if err != nil || kv.ModRevision == 0 {
		return store.ErrUncertain
	}
	return sameRecord(kv.Value, rec)
}

func sameRecord(value []byte, rec Record) error {
	var found Record
	if err := json.Unmarshal(value, &found); err != nil {
		return eris.Wrap(err, "decode record")
	}
	if found.Nonce == rec.Nonce && found.Writer == rec.Writer {
		return nil
	}
	return ErrConflict
}

// readBatch is the number of records per List call: a whole log between two snapshots in one or two answers. Smaller
// batches make a store that answers in pages send the rest of each page again and again.
const readBatch = 400

// Read returns the records from the position on, in order and without gaps.
func (l *Log) Read(ctx context.Context, from int64) ([]Record, error) {
	records := []Record{}
	for {
		kvs, _, err := l.st.List(ctx, l.recordKey(from+int64(len(records))), store.PrefixEnd(l.RecordPrefix()), readBatch)
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
		if len(kvs) < readBatch {
			return records, nil
		}
	}
}

// ReadKept returns all records that compaction has kept, in order.
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

// Decode parses a record value.
func Decode(value []byte) (Record, error) {
	var rec Record
	err := json.Unmarshal(value, &rec)
	return rec, eris.Wrap(err, "decode record")
}

// loadAttempts bounds the restarts of Load when snapshots are replaced during the read.
const loadAttempts = 5

// Load reads the newest snapshot and the records after it.
func (l *Log) Load(ctx context.Context) (State, error) {
	var state State
	var err error
	for range loadAttempts {
		state, err = l.loadOnce(ctx)
		if !errors.Is(err, store.ErrCompacted) {
			break // otherwise a newer snapshot replaced this one during the read
		}
	}
	if err == nil {
		checkRecords(state)
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

func checkRecords(state State) {
	epoch := int64(0)
	for _, r := range state.Records {
		invariant.Check(r.Epoch >= epoch, "log_epoch_monotonic", "record %d has epoch %d after %d", r.Seq, r.Epoch, epoch)
		epoch = r.Epoch
	}
}
