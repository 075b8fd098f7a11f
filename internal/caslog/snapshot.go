package caslog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"bamboofork/internal/store"
)

// chunkBytes is the size of a snapshot chunk. A connection to a store in another failure domain carries little more than its window
// per round trip, so that a snapshot is read faster as several chunks over several connections.
const chunkBytes = 64 << 10

// maxChunks bounds the chunks of a snapshot, so that a manifest of another writer cannot take any amount of memory.
const maxChunks = 1 << 14

// chunkReaders is the number of chunks that are read at the same time.
const chunkReaders = 8

// chunkRetryDelay is the delay before a chunk write is retried after a lost response.
const chunkRetryDelay = 100 * time.Millisecond

// manifest identifies the newest complete snapshot. A writer replaces the manifest by compare-and-swap after it has written
// all chunks of a newer snapshot.
type manifest struct {
	Seq         int64  `json:"seq"`
	Epoch       int64  `json:"epoch"`
	Chunks      int    `json:"chunks"`
	Hash        uint64 `json:"hash"` // xxHash64 of the data in all chunks
	Writer      string `json:"writer"`
	modRevision int64  // store revision of the stored manifest; 0 if there is none
}

func (l *Log) manifestKey() string { return l.prefix + "/snap/manifest" }

func (l *Log) chunkPrefix(seq int64) string { return fmt.Sprintf("%s/snap/%016d/", l.prefix, seq) }

// writerPrefix returns the key prefix of one writer's chunks. The prefix keeps concurrent snapshots of the same position
// apart.
func (l *Log) writerPrefix(seq int64, writer string) string { return l.chunkPrefix(seq) + writer + "/" }

// chunkKey returns the key of a chunk under the prefix of its writer.
func chunkKey(writerPrefix string, chunkIndex int) string {
	return fmt.Sprintf("%s%04d", writerPrefix, chunkIndex)
}

func (l *Log) manifest(ctx context.Context) (manifest, error) {
	kv, err := l.st.Get(ctx, l.manifestKey())
	if err != nil || kv.ModRevision == 0 {
		return manifest{}, err
	}
	m := manifest{modRevision: kv.ModRevision}
	if err := json.Unmarshal(kv.Value, &m); err != nil {
		return m, eris.Wrap(err, "decode snapshot manifest")
	}
	if m.Seq < 0 || m.Chunks < 0 || m.Chunks > maxChunks {
		return m, eris.Errorf("snapshot manifest with %d chunks at position %d", m.Chunks, m.Seq)
	}
	return m, nil
}

// CheckNotCompacted checks a record that was appended after another writer may have compacted the log. It returns
// ErrConflict if the newest snapshot covers the position of the record, because readers skip such records. It returns
// store.ErrUncertain if the manifest cannot be read.
func (l *Log) CheckNotCompacted(ctx context.Context, rec Record) error {
	m, err := l.manifest(ctx)
	if err != nil {
		return store.ErrUncertain
	}
	if m.Seq >= rec.Seq {
		return ErrConflict
	}
	return nil
}

// CheckUnreplaced checks that no other writer has appended a record at position next or later, or has replaced that position by a
// snapshot. It returns ErrConflict if one has, and another error if a snapshot was written during the check.
func (l *Log) CheckUnreplaced(ctx context.Context, next int64) error {
	records, readErr := l.Read(ctx, next)
	m, err := l.manifest(ctx) // after the records, so that a snapshot that has removed them is seen
	if err != nil {
		return err
	}
	isForeign := func(rec Record) bool { return rec.Writer != l.writer }
	if slices.ContainsFunc(records, isForeign) || (m.Seq >= next && m.Writer != l.writer) {
		return ErrConflict
	}
	return readErr
}

// readChunks returns the data of the snapshot, nil without a snapshot. It returns store.ErrCompacted if the chunks are gone or do not
// match the hash, because a newer snapshot has then replaced them.
func (l *Log) readChunks(ctx context.Context, m manifest) ([]byte, error) {
	if m.Seq == 0 {
		return nil, nil
	}
	prefix := l.writerPrefix(m.Seq, m.Writer)
	chunks := make([][]byte, m.Chunks)
	var group errgroup.Group
	group.SetLimit(chunkReaders)
	for i := range chunks {
		group.Go(func() error {
			kv, err := l.st.Get(ctx, chunkKey(prefix, i))
			if err == nil && kv.ModRevision == 0 {
				err = store.ErrCompacted
			}
			chunks[i] = kv.Value
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	data := slices.Concat(chunks...)
	if xxhash.Sum64(data) != m.Hash {
		return nil, store.ErrCompacted
	}
	return data, nil
}

// Snapshot stores data as the state after record seq, then deletes older snapshots and the records before keepFrom. It returns
// ErrConflict if the newest snapshot has the same or a later position, or a later epoch. If two writers
// store a snapshot of the same position, their chunk keys differ and the manifest selects one of the snapshots.
func (l *Log) Snapshot(ctx context.Context, seq, epoch int64, data []byte, keepFrom int64) error {
	old, err := l.manifest(ctx)
	if err != nil {
		return err
	}
	if old.Seq >= seq || old.Epoch > epoch {
		return ErrConflict
	}
	next := manifest{Seq: seq, Epoch: epoch, Hash: xxhash.Sum64(data), Writer: l.writer}
	for offset := 0; offset < len(data) || offset == 0; offset += chunkBytes {
		chunk := data[offset:min(offset+chunkBytes, len(data))]
		if err := l.putChunk(ctx, chunkKey(l.writerPrefix(seq, l.writer), next.Chunks), chunk); err != nil {
			return err
		}
		next.Chunks++
	}
	value, err := json.Marshal(next)
	if err != nil {
		return eris.Wrap(err, "encode snapshot manifest")
	}
	res, err := l.st.CompareAndSwap(ctx, l.manifestKey(), old.modRevision, value, 0)
	if err != nil {
		return err
	}
	if !res.Swapped {
		return ErrConflict
	}
	return l.compact(ctx, seq, min(keepFrom, seq+1))
}

// putChunk creates the key of a chunk. A write whose outcome is uncertain is retried until ctx is done.
func (l *Log) putChunk(ctx context.Context, key string, chunk []byte) error {
	for {
		res, err := l.st.CompareAndSwap(ctx, key, 0, chunk, 0)
		if errors.Is(err, store.ErrUncertain) && ctx.Err() == nil {
			time.Sleep(chunkRetryDelay)
			continue // no other writer uses this key, so a retry is safe
		}
		if err != nil {
			return err
		}
		if !res.Swapped && xxhash.Sum64(res.Current.Value) != xxhash.Sum64(chunk) {
			return ErrConflict
		}
		return nil
	}
}

// compact deletes the snapshots before seq and the records before keepFrom. After a failure, the next compaction deletes the
// remaining keys.
func (l *Log) compact(ctx context.Context, seq, keepFrom int64) error {
	if _, err := l.st.DeleteRange(ctx, l.prefix+"/snap/0", l.chunkPrefix(seq)); err != nil {
		return err
	}
	_, err := l.st.DeleteRange(ctx, l.recordKey(0), l.recordKey(keepFrom))
	return err
}
