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

// commit commits the changes as a new revision and prints the revision. With --wait, it then waits until the revision is active
// in all known processes. With --dry-run, it only prints what the changes would affect.
func (c *cli) commit(ctx context.Context, f *settingsFlags, changes []settings.Change) error {
	commitCtx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	repo, storeClient := c.repository()
	defer storeClient.Close()
	tree, head, err := repo.Load(commitCtx)
	if err != nil {
		return fmt.Errorf("not accepted: %w", err)
	}
	edit := settings.Edit{ID: settings.NewEditID(), Author: currentUser(), Comment: f.comment, Changes: changes}
	if f.isDryRun {
		return c.dryRun(ctx, tree, edit)
	}
	rev, err := repo.Commit(commitCtx, orDefault(f.baseRevision, head), edit)
	if err != nil {
		return err
	}
	if err := repo.CompactError(); err != nil {
		fmt.Fprintln(c.stderr, "warning: the settings log was not compacted:", err)
	}
	t := table{header: []any{"REVISION", "EDIT"}, rows: [][]any{{rev, edit.ID}}}
	if err := c.print(map[string]any{"revision": rev, "edit": edit.ID}, t); err != nil {
		return err
	}
	if f.waitTimeout > 0 {
		return c.waitActive(ctx, rev, f.waitTimeout)
	}
	return nil
}

// dryRun prints the effective values that an edit would change, and the number of unfinished tasks on the branches affected.
func (c *cli) dryRun(ctx context.Context, tree settings.Tree, edit settings.Edit) error {
	after, err := tree.Apply(edit)
	if err != nil {
		return err
	}
	changes := settings.EffectiveChanges(tree, after)
	branches := settings.ChangedBranches(changes)
	unfinished, err := c.countUnfinishedTasks(ctx, branches)
	if c.outputFormat == "json" {
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

// countUnfinishedTasks returns the number of waiting and running tasks of the jobs on the branches.
func (c *cli) countUnfinishedTasks(ctx context.Context, branches []string) (int, error) {
	var list struct{ Jobs []ledger.Job }
	if _, err := c.call(ctx, http.MethodGet, entry.PathJobs, "", nil, &list); err != nil {
		return 0, err
	}
	unfinished := 0
	for _, job := range list.Jobs {
		if !slices.Contains(branches, job.Branch) {
			continue
		}
		for _, task := range job.Tasks {
			if !task.State.Final() {
				unfinished++
			}
		}
	}
	return unfinished, nil
}

// editPollInterval is the interval at which awaitEdit reads the file to find out whether the operator has saved it.
const editPollInterval = 300 * time.Millisecond

// settingsEdit writes the tree to a file and commits the file once the operator has saved it. The command does not start
// an editor, because no process of this system starts other processes.
func (c *cli) settingsEdit(ctx context.Context, f *settingsFlags) error {
	repo, storeClient := c.repository()
	defer storeClient.Close()
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
	f.baseRevision = head
	fmt.Fprintf(c.stderr, "edit and save %s; interrupt to cancel\n", file)
	return c.awaitEdit(ctx, f, file, string(text))
}

// awaitEdit waits until the operator has saved the file with valid content, and commits that content. If the content is invalid,
// awaitEdit prints the error and continues to wait.
func (c *cli) awaitEdit(ctx context.Context, f *settingsFlags, file, originalContent string) error {
	lastContent := originalContent
	for {
		select {
		case <-ctx.Done():
			return fmt.Errorf("edit cancelled, nothing was accepted")
		case <-time.After(editPollInterval):
		}
		data, err := os.ReadFile(file)
		if err != nil || string(data) == lastContent {
			continue
		}
		lastContent = string(data)
		desired, err := settings.ParseTree(file, data)
		if err != nil {
			fmt.Fprintln(c.stderr, err)
			continue
		}
		return c.commitTree(ctx, f, desired)
	}
}

// settingsStatus prints the revision that is active in each known process. With --wait, it first waits until the latest revision
// is active in all of them.
func (c *cli) settingsStatus(ctx context.Context, f *settingsFlags) error {
	repo, storeClient := c.repository()
	defer storeClient.Close()
	_, head, err := repo.Load(ctx)
	if err != nil {
		return err
	}
	if f.waitTimeout > 0 {
		if err := c.waitActive(ctx, head, f.waitTimeout); err != nil {
			return err
		}
	}
	status, err := c.fetchStatus(ctx)
	if err != nil {
		return err
	}
	t := table{header: []any{"PROCESS", "ROLE", "DOMAIN", "REVISION", "BEHIND"}}
	t.add(status.Self.ID, status.Self.Role, status.Self.Domain, status.SettingsRevision, head-status.SettingsRevision)
	for _, m := range status.Members {
		t.add(m.ID, m.Role, m.Domain, m.SettingsRev, max(0, head-m.SettingsRev))
	}
	return c.print(map[string]any{"newest": head, "status": status}, t)
}

// waitPollInterval is the interval at which the commands that wait query the entry.
const waitPollInterval = 100 * time.Millisecond

// waitActive waits until the revision is active in every known process, and prints the progress. After the timeout it returns a
// notReadyError.
func (c *cli) waitActive(ctx context.Context, rev int64, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	lastLine := ""
	for {
		behind, processCount := c.processesBehind(ctx, rev)
		if processCount > 0 && len(behind) == 0 {
			fmt.Fprintf(c.stderr, "revision %d is active in all %d known processes\n", rev, processCount)
			return nil
		}
		if line := fmt.Sprintf("revision %d is active in %d of %d known processes", rev, processCount-len(behind), processCount); line != lastLine {
			lastLine = line
			fmt.Fprintln(c.stderr, line)
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

// processesBehind returns the IDs of the known processes in which the revision is not yet active, and the number of known
// processes. Without a response from the entry, the number is 0 and the list holds only the error.
func (c *cli) processesBehind(ctx context.Context, rev int64) (behind []string, processCount int) {
	status, err := c.fetchStatus(ctx)
	if err != nil {
		return []string{"no entry responds: " + err.Error()}, 0
	}
	if status.SettingsRevision < rev {
		behind = append(behind, status.Self.ID)
	}
	for _, m := range status.Members {
		if m.SettingsRev < rev {
			behind = append(behind, m.ID)
		}
	}
	return behind, len(status.Members) + 1
}

func (c *cli) fetchStatus(ctx context.Context) (operatorapi.Status, error) {
	var status operatorapi.Status
	_, err := c.call(ctx, http.MethodGet, "/v1/status", "", nil, &status)
	return status, err
}
