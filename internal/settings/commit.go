package settings

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"bamboofork/internal/caslog"
	"bamboofork/internal/store"
)

// ConflictError reports two edits of the same branch by different operators.
type ConflictError struct {
	Branch string
	Mine   Edit
	Theirs Revision
}

// Error implements error with both sides of the conflict.
func (e ConflictError) Error() string {
	return fmt.Sprintf("branch %s was also edited by %s in revision %d: theirs %s, yours %s",
		displayPath(e.Branch), e.Theirs.Author, e.Theirs.Number, describe(e.Theirs.Edit, e.Branch), describe(e.Mine, e.Branch))
}

func describe(e Edit, branch string) string {
	var parts []string
	for _, c := range e.Changes {
		if c.Branch == branch || c.Remove {
			parts = append(parts, c.String())
		}
	}
	return fmt.Sprintf("%q", parts)
}

// UncertainError reports an edit whose outcome is not known. Settle decides it.
type UncertainError struct {
	EditID string
	Number int64 // the revision that the edit may have become
}

// Error implements error and says how to find out.
func (e UncertainError) Error() string {
	return fmt.Sprintf("it is not known whether edit %s was accepted as revision %d; run: bf settings resolve --edit %s --revision %d",
		e.EditID, e.Number, e.EditID, e.Number)
}

// Unwrap makes the error match store.ErrUncertain.
func (e UncertainError) Unwrap() error { return store.ErrUncertain }

// Commit appends the edit on top of base, the revision that the operator saw. It rebases over edits of other
// branches and returns a ConflictError for the same branch, an UncertainError when the outcome could not be
// resolved within ctx, and a store error when the edit was certainly not accepted.
func (r *Repository) Commit(ctx context.Context, base int64, edit Edit) (int64, error) {
	if edit.ID == "" {
		edit.ID = NewEditID()
	}
	seen := base
	for {
		tree, rev, err := r.Load(ctx)
		if err != nil {
			return 0, err
		}
		if err := r.checkConflicts(ctx, seen, edit); err != nil {
			return 0, err
		}
		next, err := tree.Apply(edit)
		if err != nil {
			return 0, err
		}
		err = r.appendEdit(ctx, rev+1, edit, next.Diff(tree))
		if err == nil {
			r.compact(ctx, next, rev+1)
			return rev + 1, nil
		}
		if !errors.Is(err, caslog.ErrConflict) {
			return 0, err
		}
		seen = rev
	}
}

// uncertainPause is the wait between two attempts to resolve a lost answer.
const uncertainPause = 20 * time.Millisecond

// appendEdit writes the edit as a revision. An uncertain append is repeated with the same record, which resolves it,
// until ctx ends.
func (r *Repository) appendEdit(ctx context.Context, number int64, edit Edit, undo []Change) error {
	data, err := json.Marshal(Revision{Edit: edit, Undo: undo})
	if err != nil {
		return eris.Wrap(err, "encode edit")
	}
	rec := caslog.Record{Seq: number, Time: time.Now(), Data: data}
	uncertain := false
	for {
		rec, err = r.log.Append(ctx, rec)
		if err == nil || errors.Is(err, caslog.ErrConflict) {
			return err
		}
		uncertain = uncertain || errors.Is(err, store.ErrUncertain)
		if !uncertain {
			return err
		}
		select {
		case <-ctx.Done():
			return UncertainError{EditID: edit.ID, Number: number}
		case <-time.After(uncertainPause):
		}
	}
}

// Settle decides the outcome of an uncertain edit: it fills the revision with an empty edit if nothing is there, so
// that a write that is still on its way is refused. It reports whether the edit was accepted.
func (r *Repository) Settle(ctx context.Context, editID string, number int64) (accepted bool, err error) {
	filler := Edit{ID: NewEditID(), Author: "bf settings resolve", Comment: "fills the revision of an edit that was not accepted"}
	err = r.appendEdit(ctx, number, filler, nil)
	if err == nil {
		return false, nil
	}
	if !errors.Is(err, caslog.ErrConflict) {
		return false, err
	}
	records, err := r.log.Read(ctx, number)
	if err != nil {
		return false, eris.Wrapf(err, "revision %d is no longer kept", number)
	}
	rev, err := decodeRevision(records[0])
	return rev.ID == editID, err
}

func (r *Repository) checkConflicts(ctx context.Context, base int64, edit Edit) error {
	records, err := r.log.Read(ctx, base+1)
	if errors.Is(err, store.ErrCompacted) {
		return eris.Errorf("the edit is based on revision %d, which is too old to merge; read the tree again", base)
	}
	if err != nil {
		return err
	}
	for _, rec := range records {
		theirs, err := decodeRevision(rec)
		if err != nil {
			return err
		}
		if branch, clash := overlap(edit, theirs.Edit); clash && theirs.ID != edit.ID {
			return ConflictError{Branch: branch, Mine: edit, Theirs: theirs}
		}
	}
	return nil
}

// overlap finds a branch that both edits touch. Removing a branch touches all below it.
func overlap(a, b Edit) (string, bool) {
	for _, ca := range a.Changes {
		if slices.ContainsFunc(b.Changes, func(cb Change) bool { return changesOverlap(ca, cb) }) {
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
