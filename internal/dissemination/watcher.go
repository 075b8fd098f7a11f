// Package dissemination brings accepted settings revisions to every process.
package dissemination

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"bamboofork/internal/events"
	"bamboofork/internal/settings"
)

// Watcher follows the settings log in the store and applies new revisions to a settings.Live.
type Watcher struct {
	repo  *settings.Repository
	watch func(ctx context.Context, from int64) (<-chan struct{}, error)
	live  *settings.Live
	log   zerolog.Logger
}

// pollInterval is the mean time between reads when the watch reports nothing; it covers lost watch events.
const pollInterval = 5 * time.Second

// NewWatcher returns a watcher. The watch function signals that the log may have grown; its channel closes when the
// watch ends.
func NewWatcher(repo *settings.Repository, watch func(context.Context, int64) (<-chan struct{}, error), live *settings.Live, log zerolog.Logger) *Watcher {
	return &Watcher{repo: repo, watch: watch, live: live, log: log}
}

// Run follows the log until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		w.read(ctx)
		changed, err := w.watch(ctx, 0)
		if err != nil {
			sleep(ctx, pollInterval/10+rand.N(pollInterval/5))
			continue
		}
		w.read(ctx) // what was appended between the first read and the start of the watch
		w.follow(ctx, changed)
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
		case <-time.After(pollInterval/2 + rand.N(pollInterval)):
		}
		w.read(ctx)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// read applies all records after the revision in force.
func (w *Watcher) read(ctx context.Context) {
	current := w.live.Current()
	records, err := w.repo.Revisions(ctx, current.Revision+1)
	if err != nil || len(records) == 0 && current.Revision > 0 {
		return
	}
	tree, rev := current.Tree, current.Revision
	for _, rec := range records {
		if tree, err = settings.ApplyRecord(tree, rec); err != nil {
			break
		}
		rev = rec.Seq
	}
	if err != nil || len(records) == 0 {
		if tree, rev, err = w.repo.Load(ctx); err != nil {
			return
		}
	}
	w.apply(rev, tree)
}

func (w *Watcher) apply(rev int64, tree settings.Tree) {
	snap, err := settings.Compile(rev, tree)
	if err != nil {
		events.SettingsRejected.Log(&w.log).Int64("revision", rev).Err(err).Send()
		return
	}
	if w.live.Apply(snap) {
		events.SettingsApplied.Log(&w.log).Int64("revision", rev).Send()
	}
}
