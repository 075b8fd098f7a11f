package caslog

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/store"
	"bamboofork/internal/store/memstore"
)

// delayedStore answers each read after a delay.
type delayedStore struct {
	store.Store
	delay time.Duration
}

func (s delayedStore) Get(ctx context.Context, key string) (store.KV, error) {
	time.Sleep(s.delay)
	return s.Store.Get(ctx, key)
}

// Guards against a recovery that waits for the chunks of a large snapshot one after the other, and against chunks in a wrong order.
func TestChunksOfASnapshotAreReadTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := memstore.New()
		data := make([]byte, 10*chunkBytes+7)
		for i := range data {
			data[i] = byte(i / 1000)
		}
		qt.Assert(t, New(engine, "p", "w").Snapshot(t.Context(), 5, 1, data, 6), qt.IsNil)
		reader := New(delayedStore{engine, 50 * time.Millisecond}, "p", "r")
		start := time.Now()
		state, err := reader.Load(t.Context())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, bytes.Equal(state.Snapshot, data), qt.IsTrue)
		qt.Check(t, time.Since(start), qt.Equals, 3*50*time.Millisecond) // the manifest, and eleven chunks by eight
	})
}

// Guards against a state that is put together from an incomplete snapshot: without one of its chunks a snapshot counts as replaced.
func TestSnapshotWithAMissingChunkIsNotUsed(t *testing.T) {
	engine := memstore.New()
	log := New(engine, "p", "w")
	qt.Assert(t, log.Snapshot(t.Context(), 5, 1, make([]byte, 3*chunkBytes), 6), qt.IsNil)
	missing := chunkKey(log.writerPrefix(5, "w"), 1)
	_, err := engine.DeleteRange(t.Context(), missing, missing+"\x00")
	qt.Assert(t, err, qt.IsNil)
	_, err = log.Load(t.Context())
	qt.Check(t, err, qt.ErrorIs, store.ErrCompacted)
}
