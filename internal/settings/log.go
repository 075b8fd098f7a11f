package settings

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"

	"bamboofork/internal/caslog"
	"bamboofork/internal/store"
)

// Prefix is the log's place in the store.
const Prefix = "settings"

// ConflictError reports two edits of the same setting by different operators.
type ConflictError struct {
	Branch string
	Mine   Edit
	Theirs Edit
	Rev    int64 // revision of the other edit
}

// Error implements error with both sides of the conflict.
func (e ConflictError) Error() string {
	return fmt.Sprintf("branch %q was also edited by %s in revision %d (%s)", displayPath(e.Branch), e.Theirs.Author, e.Rev, e.Theirs.Comment)
}

// Repository reads and writes the accepted tree in the store.
type Repository struct{ log *caslog.Log }

// NewRepository returns a repository that writes as the given writer.
func NewRepository(st store.Store, writer string) *Repository {
	return &Repository{log: caslog.New(st, Prefix, writer)}
}

// RecordPrefix is the key prefix to watch for new revisions.
func (r *Repository) RecordPrefix() string { return r.log.RecordPrefix() }

// Load returns the newest tree and its revision.
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
		if tree, err = ApplyRecord(tree, rec); err != nil {
			return Tree{}, 0, err
		}
	}
	return tree, state.LastSeq(), nil
}

// ApplyRecord applies one accepted revision to the tree of the revision before it.
func ApplyRecord(tree Tree, rec caslog.Record) (Tree, error) {
	var edit Edit
	if err := json.Unmarshal(rec.Data, &edit); err != nil {
		return Tree{}, eris.Wrapf(err, "decode settings revision %d", rec.Seq)
	}
	next, err := tree.Apply(edit)
	return next, eris.Wrapf(err, "settings revision %d", rec.Seq)
}

// Revisions returns the accepted records from the revision on.
func (r *Repository) Revisions(ctx context.Context, from int64) ([]caslog.Record, error) {
	return r.log.Read(ctx, from)
}

// Commit appends the edit on top of base, the revision that the operator saw. It rebases over edits of other
// branches and returns a ConflictError for the same branch. store.ErrUncertain means that the outcome could not
// be resolved within ctx.
func (r *Repository) Commit(ctx context.Context, base int64, edit Edit) (int64, error) {
	tree, rev, err := r.Load(ctx)
	if err != nil {
		return 0, err
	}
	if err := r.checkConflicts(ctx, base, edit); err != nil {
		return 0, err
	}
	for {
		if _, err := tree.Apply(edit); err != nil {
			return 0, err
		}
		data, err := json.Marshal(edit)
		if err != nil {
			return 0, eris.Wrap(err, "encode edit")
		}
		err = r.append(ctx, caslog.Record{Seq: rev + 1, Data: data})
		if err == nil {
			return rev + 1, nil
		}
		if !errors.Is(err, caslog.ErrConflict) {
			return 0, err
		}
		seen := rev
		if tree, rev, err = r.Load(ctx); err != nil {
			return 0, err
		}
		if err := r.checkConflicts(ctx, seen, edit); err != nil {
			return 0, err
		}
	}
}

// append retries an uncertain append with the same record until it is resolved or ctx ends.
func (r *Repository) append(ctx context.Context, rec caslog.Record) error {
	for {
		var err error
		rec, err = r.log.Append(ctx, rec)
		if !errors.Is(err, store.ErrUncertain) || ctx.Err() != nil {
			return err
		}
	}
}

func (r *Repository) checkConflicts(ctx context.Context, base int64, edit Edit) error {
	records, err := r.log.Read(ctx, base+1)
	if errors.Is(err, store.ErrCompacted) {
		return fmt.Errorf("the edit is based on revision %d, which is too old to merge; read the tree again", base)
	}
	if err != nil {
		return err
	}
	for _, rec := range records {
		var theirs Edit
		if err := json.Unmarshal(rec.Data, &theirs); err != nil {
			return eris.Wrapf(err, "decode settings revision %d", rec.Seq)
		}
		if branch, clash := overlap(edit, theirs); clash {
			return ConflictError{Branch: branch, Mine: edit, Theirs: theirs, Rev: rec.Seq}
		}
	}
	return nil
}

// overlap finds a branch that both edits touch. Removing a branch touches all below it.
func overlap(a, b Edit) (string, bool) {
	for _, ca := range a.Changes {
		i := slices.IndexFunc(b.Changes, func(cb Change) bool { return changesOverlap(ca, cb) })
		if i >= 0 {
			return ca.Branch, true
		}
	}
	return "", false
}

func changesOverlap(a, b Change) bool {
	return a.Branch == b.Branch ||
		a.Remove && slices.Contains(Ancestors(b.Branch), a.Branch) ||
		b.Remove && slices.Contains(Ancestors(a.Branch), b.Branch)
}
