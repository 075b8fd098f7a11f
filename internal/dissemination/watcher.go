package dissemination

import (
	"context"
	"errors"
	"time"

	"bamboofork/internal/app"
	"bamboofork/internal/events"
	"bamboofork/internal/settings"
	"bamboofork/internal/store"
)

// Watcher follows the settings log in the store and passes new revisions to a Syncer. Only hubs run a watcher.
type Watcher struct {
	repo      *settings.Repository
	openWatch func(ctx context.Context, from int64) (<-chan struct{}, error)
	syncer    *Syncer
}

// Intervals between reads of the settings log.
const (
	pollInterval      = 10 * time.Second // mean interval while the watch reports no change, in case a watch event was lost
	holdRetryInterval = 1 * time.Second  // while the revision from the store is held back, see errHeld
)

// NewWatcher returns a watcher. The function openWatch watches the log from a store revision; 0 means from now on. Each value
// on the channel that it returns means that the log may have grown. The channel must be closed when the watch ends.
func NewWatcher(repo *settings.Repository, openWatch func(context.Context, int64) (<-chan struct{}, error), syncer *Syncer) *Watcher {
	return &Watcher{repo: repo, openWatch: openWatch, syncer: syncer}
}

// Run follows the log until ctx is done. The watch is opened before the first read, so that no record written between the two
// is missed. Run always returns nil.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		watchCtx, cancel := context.WithCancel(ctx)
		changes, err := w.openWatch(watchCtx, 0)
		if err == nil {
			w.readNewRevisions(ctx)
			w.follow(ctx, changes)
			events.WatchRestarted.Log(&w.syncer.log).Send()
		}
		cancel()
		app.Sleep(ctx, jitter(pollInterval/10))
	}
	return nil
}

// follow reads the log after each change, and at least about every pollInterval, until the watch ends or ctx is done.
func (w *Watcher) follow(ctx context.Context, changes <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case _, ok := <-changes:
			if !ok {
				return
			}
		case <-time.After(jitter(pollInterval)):
		}
		w.readNewRevisions(ctx)
	}
}

// readNewRevisions applies all records after the active revision. If the first revision is held back (see errHeld),
// readNewRevisions reads again until the revision may be applied or another process has provided a newer revision.
func (w *Watcher) readNewRevisions(ctx context.Context) {
	for ctx.Err() == nil && errors.Is(w.readOnce(ctx), errHeld) {
		app.Sleep(ctx, jitter(holdRetryInterval))
	}
}

// readOnce reads the records after the active revision and applies them. It loads the whole tree if no revision is active yet
// or if the store no longer has the next record.
func (w *Watcher) readOnce(ctx context.Context) error {
	rev, _ := w.syncer.Revision()
	if rev == 0 {
		return w.loadTree(ctx)
	}
	records, err := w.repo.Revisions(ctx, rev+1)
	if errors.Is(err, store.ErrCompacted) {
		return w.loadTree(ctx)
	}
	if err != nil {
		return err
	}
	err = w.syncer.ApplyRecords(records, nil)
	if errors.Is(err, errGap) {
		return w.loadTree(ctx)
	}
	return err
}

func (w *Watcher) loadTree(ctx context.Context) error {
	tree, rev, err := w.repo.Load(ctx)
	if err != nil || rev == 0 {
		return err
	}
	return w.syncer.ApplyTree(rev, tree)
}

// ChangeSignals returns a channel that receives one value for each batch of a store watch. The channel is closed when the watch ends
// or fails, or when ctx is done.
func ChangeSignals(ctx context.Context, batches <-chan store.WatchBatch) <-chan struct{} {
	changes := make(chan struct{})
	go func() {
		defer close(changes)
		for batch := range batches {
			if batch.Err != nil {
				return
			}
			select {
			case changes <- struct{}{}:
			case <-ctx.Done():
				return
			}
		}
	}()
	return changes
}
