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

// ConflictError reports that another operator has edited the same branch since the revision on which the edit is based.
type ConflictError struct {
	Branch string   // branch that both edits change
	Mine   Edit     // the rejected edit
	Theirs Revision // the accepted edit of the other operator
}

// Error implements error and describes both edits.
func (e ConflictError) Error() string {
	return fmt.Sprintf("branch %s was also edited by %s in revision %d: theirs %s, yours %s",
		displayPath(e.Branch), e.Theirs.Author, e.Theirs.Number, describeChanges(e.Theirs.Edit, e.Branch), describeChanges(e.Mine, e.Branch))
}

// describeChanges lists the changes of an edit that concern the branch, including all removals.
func describeChanges(e Edit, branch string) string {
	var parts []string
	for _, c := range e.Changes {
		if c.Branch == branch || c.Remove {
			parts = append(parts, c.String())
		}
	}
	return fmt.Sprintf("%q", parts)
}

// UncertainError reports an edit whose outcome is unknown. ResolveEdit resolves it.
type UncertainError struct {
	EditID string
	Number int64 // the revision that the edit may have become
}

// Error implements error and names the command that resolves the outcome.
func (e UncertainError) Error() string {
	return fmt.Sprintf("it is not known whether edit %s was accepted as revision %d; run: bf settings resolve --edit %s --revision %d",
		e.EditID, e.Number, e.EditID, e.Number)
}

// Unwrap makes the error match store.ErrUncertain.
func (e UncertainError) Unwrap() error { return store.ErrUncertain }

// Commit appends an edit that was made against revision base and returns the revision that the edit became. The edit is
// rebased over later edits of other branches. Commit returns a ConflictError if a later edit touches the same branch, an
// UncertainError if the outcome could not be resolved before ctx was done, and another error if the edit was not accepted.
func (r *Repository) Commit(ctx context.Context, base int64, edit Edit) (int64, error) {
	if edit.ID == "" {
		edit.ID = NewEditID()
	}
	checkedRev := base
	for {
		tree, rev, err := r.Load(ctx)
		if err != nil {
			return 0, err
		}
		if err := r.checkConflicts(ctx, checkedRev, edit); err != nil {
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
		checkedRev = rev
	}
}

// resolveInterval is the delay between attempts to resolve an append whose outcome is uncertain.
const resolveInterval = 20 * time.Millisecond

// appendEdit writes the edit as the revision with the given number. While the outcome is uncertain, the write is retried
// until ctx is done. The retries use the same record and are idempotent.
func (r *Repository) appendEdit(ctx context.Context, number int64, edit Edit, undo []Change) error {
	data, err := json.Marshal(Revision{Edit: edit, Undo: undo})
	if err != nil {
		return eris.Wrap(err, "encode edit")
	}
	rec := caslog.Record{Seq: number, Time: time.Now(), Data: data}
	isUncertain := false
	for {
		rec, err = r.log.Append(ctx, rec)
		if err == nil || errors.Is(err, caslog.ErrConflict) {
			return err
		}
		isUncertain = isUncertain || errors.Is(err, store.ErrUncertain)
		if !isUncertain {
			return err
		}
		select {
		case <-ctx.Done():
			return UncertainError{EditID: edit.ID, Number: number}
		case <-time.After(resolveInterval):
		}
	}
}

// ResolveEdit resolves the outcome of an uncertain edit and reports whether the edit was accepted as the revision with the
// given number. If that revision does not exist, ResolveEdit creates it with an empty edit. A write of the uncertain edit
// that is still in flight is then rejected.
func (r *Repository) ResolveEdit(ctx context.Context, editID string, number int64) (accepted bool, err error) {
	placeholder := Edit{ID: NewEditID(), Author: "bf settings resolve", Comment: "fills the revision of an edit that was not accepted"}
	err = r.appendEdit(ctx, number, placeholder, nil)
	if err == nil {
		return false, nil
	}
	if !errors.Is(err, caslog.ErrConflict) {
		return false, err
	}
	records, err := r.log.Read(ctx, number)
	if err != nil {
		return false, eris.Wrapf(err, "read revision %d to resolve the edit", number)
	}
	rev, err := decodeRevision(records[0])
	return rev.ID == editID, err
}

// checkConflicts returns a ConflictError if an edit after revision base conflicts with the edit.
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
		if branch, overlaps := findOverlap(edit, theirs.Edit); overlaps && theirs.ID != edit.ID {
			return ConflictError{Branch: branch, Mine: edit, Theirs: theirs}
		}
	}
	return nil
}

// findOverlap returns a branch that a changes in conflict with b, and whether there is such a branch. The removal of a branch
// conflicts with changes of the descendants of that branch.
func findOverlap(a, b Edit) (string, bool) {
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
