package settings

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"bamboofork/internal/caslog"
	"bamboofork/internal/store"
)

// Prefix is the key prefix of the settings log in the store.
const Prefix = "settings"

// Revision is an accepted edit with its position in the log.
type Revision struct {
	Number int64     `json:"revision"`
	Time   time.Time `json:"time"` // wall clock of the operator's machine
	Edit
	// Undo turns the tree of this revision back into the tree of the previous one.
	Undo []Change `json:"undo,omitempty"`
}

// Repository reads and writes the settings tree in the store.
type Repository struct {
	log        *caslog.Log
	compactErr atomic.Pointer[error]
}

// NewRepository returns a repository that appends records under the given writer ID.
func NewRepository(st store.Store, writer string) *Repository {
	return &Repository{log: caslog.New(st, Prefix, writer)}
}

// RecordPrefix returns the key prefix to watch for new revisions.
func (r *Repository) RecordPrefix() string { return r.log.RecordPrefix() }

// Load returns the tree of the latest revision and the number of that revision; 0 if there is none.
func (r *Repository) Load(ctx context.Context) (Tree, int64, error) {
	state, err := r.log.Load(ctx)
	if err != nil {
		return Tree{}, 0, err
	}
	tree := NewTree()
	if state.Snapshot != nil {
		if err := json.Unmarshal(state.Snapshot, &tree); err != nil {
			return Tree{}, 0, eris.Wrap(err, "decode settings snapshot")
		}
	}
	for _, rec := range state.Records {
		if err := applyInPlace(tree, rec); err != nil {
			return Tree{}, 0, err
		}
	}
	return tree, state.LastSeq(), nil
}

// ApplyRecord applies one accepted revision to the tree of the revision before it and returns the new tree.
func ApplyRecord(tree Tree, rec caslog.Record) (Tree, error) {
	next := tree.Clone()
	err := applyInPlace(next, rec)
	return next, err
}

// applyInPlace applies a revision to the tree without validation. A newer release with more settings may have accepted the
// edit, so the values may be unknown to this release.
func applyInPlace(tree Tree, rec caslog.Record) error {
	rev, err := decodeRevision(rec)
	if err != nil {
		return err
	}
	for _, c := range rev.Changes {
		if err := tree.applyChange(c); err != nil {
			return eris.Wrapf(err, "settings revision %d", rec.Seq)
		}
	}
	return nil
}

func decodeRevision(rec caslog.Record) (Revision, error) {
	var rev Revision
	err := json.Unmarshal(rec.Data, &rev)
	rev.Number, rev.Time = rec.Seq, rec.Time
	return rev, eris.Wrapf(err, "decode settings revision %d", rec.Seq)
}

// Revisions returns the records of accepted edits, starting at revision from.
func (r *Repository) Revisions(ctx context.Context, from int64) ([]caslog.Record, error) {
	return r.log.Read(ctx, from)
}

// History returns up to limit retained revisions, latest first.
func (r *Repository) History(ctx context.Context, limit int) ([]Revision, error) {
	_, head, err := r.Load(ctx)
	if err != nil {
		return nil, err
	}
	records, err := r.log.Read(ctx, max(1, head-int64(limit)+1))
	if err != nil && !errors.Is(err, store.ErrCompacted) {
		return nil, err
	}
	if errors.Is(err, store.ErrCompacted) {
		if records, err = r.log.ReadKept(ctx); err != nil {
			return nil, err
		}
	}
	revisions := make([]Revision, 0, len(records))
	for _, rec := range records {
		rev, err := decodeRevision(rec)
		if err != nil {
			return nil, err
		}
		revisions = append(revisions, rev)
	}
	slices.Reverse(revisions)
	return revisions[:min(limit, len(revisions))], nil
}

// TreeAt returns the tree of an earlier revision by undoing the later revisions. It fails with store.ErrCompacted if
// some of the later revisions have been compacted.
func (r *Repository) TreeAt(ctx context.Context, number int64) (Tree, error) {
	tree, head, err := r.Load(ctx)
	if err != nil || number == head {
		return tree, err
	}
	if number < 0 || number > head {
		return Tree{}, eris.Errorf("revision %d does not exist; the latest is %d", number, head)
	}
	records, err := r.log.Read(ctx, number+1)
	if err != nil {
		return Tree{}, eris.Wrapf(err, "read the revisions after %d", number)
	}
	for _, rec := range slices.Backward(records) {
		if rec.Seq > head {
			continue
		}
		rev, err := decodeRevision(rec)
		if err != nil {
			return Tree{}, err
		}
		for _, c := range rev.Undo {
			if err := tree.applyChange(c); err != nil {
				return Tree{}, err
			}
		}
	}
	return tree, nil
}

// NewEditID returns a random edit identifier.
func NewEditID() string { return rand.Text()[:16] }

// Parameters of the compaction of the settings log.
const (
	snapshotIntervalRevisions = 256  // revisions between snapshots
	keptRevisions             = 1024 // revisions kept for history, merge and rollback
)

// compact stores a snapshot every snapshotIntervalRevisions revisions and records the error, if any, for CompactError. A failure does
// not affect the accepted edit. The log stays longer until a later commit compacts it.
func (r *Repository) compact(ctx context.Context, tree Tree, rev int64) {
	if rev%snapshotIntervalRevisions != 0 {
		return
	}
	data, err := json.Marshal(tree)
	if err == nil {
		err = r.log.Snapshot(ctx, rev, 0, data, rev-keptRevisions)
	}
	r.compactErr.Store(&err)
}

// CompactError returns the error of the latest compaction by this repository. The result is nil if the compaction succeeded
// or no compaction has run.
func (r *Repository) CompactError() error {
	if err := r.compactErr.Load(); err != nil {
		return *err
	}
	return nil
}
