package command

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"bamboofork/internal/entry"
	"bamboofork/internal/ledger"
	"bamboofork/internal/operatorapi"
	"bamboofork/internal/settings"
)

// commit commits the changes as a new revision or, with --dry-run, only shows their effect.
func (c *cli) commit(ctx context.Context, f *settingsFlags, changes []settings.Change) error {
	commitCtx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	repo, st := c.repository()
	defer st.Close()
	tree, head, err := repo.Load(commitCtx)
	if err != nil {
		return fmt.Errorf("not accepted: %w", err)
	}
	edit := settings.Edit{ID: settings.NewEditID(), Author: author(), Comment: f.comment, Changes: changes}
	if f.dryRun {
		return c.dryRun(ctx, tree, edit)
	}
	rev, err := repo.Commit(commitCtx, orDefault(f.base, head), edit)
	if err != nil {
		return err
	}
	if err := repo.CompactError(); err != nil {
		fmt.Fprintln(c.err, "warning: the settings log was not compacted:", err)
	}
	t := table{header: []any{"REVISION", "EDIT"}, rows: [][]any{{rev, edit.ID}}}
	if err := c.print(map[string]any{"revision": rev, "edit": edit.ID}, t); err != nil {
		return err
	}
	if f.wait > 0 {
		return c.waitActive(ctx, rev, f.wait)
	}
	return nil
}

// dryRun shows the effective values that an edit would change and the number of unfinished tasks on those branches.
func (c *cli) dryRun(ctx context.Context, tree settings.Tree, edit settings.Edit) error {
	after, err := tree.Apply(edit)
	if err != nil {
		return err
	}
	changes := settings.Impact(tree, after)
	branches := settings.Branches(changes)
	unfinished, err := c.countUnfinishedTasks(ctx, branches)
	if c.format == "json" {
		return c.print(map[string]any{"changes": changes, "branches": branches, "running_tasks": unfinished}, table{})
	}
	if printErr := c.printImpact(changes); printErr != nil {
		return printErr
	}
	if err != nil {
		fmt.Fprintln(c.out, "waiting or running tasks: unknown:", err)
		return nil
	}
	fmt.Fprintf(c.out, "%d branches, %d waiting or running tasks affected; nothing was accepted\n", len(branches), unfinished)
	return nil
}

// countUnfinishedTasks counts the waiting and running tasks of the jobs on the branches.
func (c *cli) countUnfinishedTasks(ctx context.Context, branches []string) (int, error) {
	var list struct{ Jobs []ledger.Job }
	if _, err := c.call(ctx, http.MethodGet, entry.PathJobs, "", nil, &list); err != nil {
		return 0, err
	}
	n := 0
	for _, job := range list.Jobs {
		if !slices.Contains(branches, job.Branch) {
			continue
		}
		for _, task := range job.Tasks {
			if !task.State.Final() {
				n++
			}
		}
	}
	return n, nil
}

// editPollInterval is the interval at which the edited file is checked for changes.
const editPollInterval = 300 * time.Millisecond

// settingsEdit writes the tree to a file and commits the file once the operator has saved it. The command does not start
// an editor, because no process of this system starts other processes.
func (c *cli) settingsEdit(ctx context.Context, f *settingsFlags) error {
	repo, st := c.repository()
	defer st.Close()
	tree, head, err := repo.Load(ctx)
	if err != nil {
		return err
	}
	text, err := settings.FormatTree(tree)
	if err != nil {
		return err
	}
	file := f.file
	if file == "" {
		dir, err := os.MkdirTemp("", "bf-settings")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		file = filepath.Join(dir, "settings.yaml")
	}
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	f.base = head
	fmt.Fprintf(c.err, "edit and save %s; interrupt to cancel\n", file)
	return c.awaitEdit(ctx, f, file, string(text))
}

// awaitEdit waits until the file is saved with valid content and commits it. Invalid content is reported and the wait goes on.
func (c *cli) awaitEdit(ctx context.Context, f *settingsFlags, file, original string) error {
	last := original
	for {
		select {
		case <-ctx.Done():
			return fmt.Errorf("edit cancelled, nothing was accepted")
		case <-time.After(editPollInterval):
		}
		data, err := os.ReadFile(file)
		if err != nil || string(data) == last {
			continue
		}
		last = string(data)
		desired, err := settings.ParseTree(file, data)
		if err != nil {
			fmt.Fprintln(c.err, err)
			continue
		}
		return c.commitTree(ctx, f, desired)
	}
}

// settingsStatus shows the active revision of each known process.
func (c *cli) settingsStatus(ctx context.Context, f *settingsFlags) error {
	repo, st := c.repository()
	defer st.Close()
	_, head, err := repo.Load(ctx)
	if err != nil {
		return err
	}
	if f.wait > 0 {
		if err := c.waitActive(ctx, head, f.wait); err != nil {
			return err
		}
	}
	status, err := c.status(ctx)
	if err != nil {
		return err
	}
	t := table{header: []any{"PROCESS", "ROLE", "DOMAIN", "REVISION", "BEHIND"}}
	t.add(status.Self.ID, status.Self.Role, status.Self.Domain, status.Revision, head-status.Revision)
	for _, m := range status.Members {
		t.add(m.ID, m.Role, m.Domain, m.SettingsRev, max(0, head-m.SettingsRev))
	}
	return c.print(map[string]any{"newest": head, "status": status}, t)
}

// waitPollInterval is the interval at which a wait checks its condition.
const waitPollInterval = 100 * time.Millisecond

// waitActive waits until the revision is active in every known process, and prints the progress.
func (c *cli) waitActive(ctx context.Context, rev int64, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	lastLine := ""
	for {
		behind, total := c.processesBehind(ctx, rev)
		if total > 0 && len(behind) == 0 {
			fmt.Fprintf(c.err, "revision %d is active in all %d known processes\n", rev, total)
			return nil
		}
		if line := fmt.Sprintf("revision %d is active in %d of %d known processes", rev, total-len(behind), total); line != lastLine {
			lastLine = line
			fmt.Fprintln(c.err, line)
		}
		if time.Now().After(deadline) {
			return notReadyError{fmt.Errorf("revision %d is accepted but not yet active in: %s", rev, strings.Join(behind, ", "))}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(waitPollInterval):
		}
	}
}

// processesBehind returns the known processes in which the revision is not yet active, and the number of known processes.
func (c *cli) processesBehind(ctx context.Context, rev int64) (list []string, total int) {
	status, err := c.status(ctx)
	if err != nil {
		return []string{"no entry responds: " + err.Error()}, 0
	}
	if status.Revision < rev {
		list = append(list, status.Self.ID)
	}
	for _, m := range status.Members {
		if m.SettingsRev < rev {
			list = append(list, m.ID)
		}
	}
	return list, len(status.Members) + 1
}

func (c *cli) status(ctx context.Context) (operatorapi.Status, error) {
	var status operatorapi.Status
	_, err := c.call(ctx, http.MethodGet, "/v1/status", "", nil, &status)
	return status, err
}
