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

// Watcher follows the settings log in the store and passes new revisions to a Syncer. Only hubs run it.
type Watcher struct {
	repo  *settings.Repository
	watch func(ctx context.Context, from int64) (<-chan struct{}, error)
	sync  *Syncer
}

// Intervals of reads.
const (
	pollInterval      = 10 * time.Second // mean, while the watch reports no change; covers lost watch events
	holdRetryInterval = 1 * time.Second  // while another process has a higher revision than the store returns
)

// NewWatcher returns a watcher. The channel that watch returns signals that the log may have grown; it is closed when the
// watch ends.
func NewWatcher(repo *settings.Repository, watch func(context.Context, int64) (<-chan struct{}, error), sync *Syncer) *Watcher {
	return &Watcher{repo: repo, watch: watch, sync: sync}
}

// Run follows the log until ctx is done. The watch is opened before the first read, so that no record in between is missed.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		watchCtx, cancel := context.WithCancel(ctx)
		changed, err := w.watch(watchCtx, 0)
		if err == nil {
			w.read(ctx)
			w.follow(ctx, changed)
			events.WatchRestarted.Log(&w.sync.log).Send()
		}
		cancel()
		app.Sleep(ctx, jitter(pollInterval/10))
	}
	return nil
}

func (w *Watcher) follow(ctx context.Context, changed <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case _, ok := <-changed:
			if !ok {
				return
			}
		case <-time.After(jitter(pollInterval)):
		}
		w.read(ctx)
	}
}

// read applies all records after the active revision. While the first revision is held back because others are ahead, it
// reads again until the store or another process provides a newer one.
func (w *Watcher) read(ctx context.Context) {
	for ctx.Err() == nil && errors.Is(w.readOnce(ctx), errHeld) {
		app.Sleep(ctx, jitter(holdRetryInterval))
	}
}

func (w *Watcher) readOnce(ctx context.Context) error {
	rev, _ := w.sync.Revision()
	if rev == 0 {
		return w.load(ctx)
	}
	records, err := w.repo.Revisions(ctx, rev+1)
	if errors.Is(err, store.ErrCompacted) {
		return w.load(ctx)
	}
	if err != nil {
		return err
	}
	err = w.sync.ApplyRecords(records, nil)
	if errors.Is(err, errGap) {
		return w.load(ctx)
	}
	return err
}

func (w *Watcher) load(ctx context.Context) error {
	tree, rev, err := w.repo.Load(ctx)
	if err != nil || rev == 0 {
		return err
	}
	return w.sync.ApplyTree(rev, tree)
}

// Signals converts the batches of a store watch to change signals. The channel is closed when the watch ends.
func Signals(ctx context.Context, batches <-chan store.WatchBatch) <-chan struct{} {
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		for batch := range batches {
			if batch.Err != nil {
				return
			}
			select {
			case changed <- struct{}{}:
			case <-ctx.Done():
				return
			}
		}
	}()
	return changed
}
