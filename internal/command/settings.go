package command

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"bamboofork/internal/settings"
)

// settingsFlags holds the arguments of the subcommands of settings.
type settingsFlags struct {
	branch       string
	values       []string
	file         string
	comment      string
	baseRevision int64 // -1: the latest revision
	revision     int64 // -1: not given
	editID       string
	historyLimit int
	isDryRun     bool
	waitTimeout  time.Duration
}

// root is the path of the root branch on the command line.
const root = "/"

// path returns the path of the branch in the settings tree: without slashes at the ends, and settings.Root for the root.
func (f *settingsFlags) path() string {
	if f.branch == root {
		return settings.Root
	}
	return strings.Trim(f.branch, "/")
}

const (
	editTimeout         = 10 * time.Second
	defaultHistoryLimit = 20
)

func (c *cli) addSettings(p *flaggy.Parser, actions map[*flaggy.Subcommand]action) {
	f := &settingsFlags{branch: root, baseRevision: -1, revision: -1, historyLimit: defaultHistoryLimit}
	s := flaggy.NewSubcommand("settings")
	s.Description = "Read and edit the settings tree."
	p.AttachSubcommand(s, 1)
	get := subcommand(s, actions, "get", "Show a branch's effective settings and where each comes from.", func(ctx context.Context) error { return c.settingsGet(ctx, f) })
	get.AddPositionalValue(&f.branch, "branch", 1, false, "Branch path; / is the root.")
	export := subcommand(s, actions, "export", "Write the whole tree as YAML.", func(ctx context.Context) error { return c.settingsExport(ctx, f) })
	export.Int64(&f.revision, "", "revision", "Revision to export, default the latest.")
	set := subcommand(s, actions, "set", "Set values: bf settings set BRANCH --value name=value.", func(ctx context.Context) error { return c.settingsSet(ctx, f) })
	set.AddPositionalValue(&f.branch, "branch", 1, true, "Branch path; / is the root.")
	set.StringSlice(&f.values, "v", "value", "name=value; repeatable.")
	unset := subcommand(s, actions, "unset", "Remove overrides, so that the values are inherited again.", func(ctx context.Context) error { return c.settingsUnset(ctx, f) })
	unset.AddPositionalValue(&f.branch, "branch", 1, true, "Branch path; / is the root.")
	unset.StringSlice(&f.values, "v", "value", "Name of a setting; repeatable.")
	remove := subcommand(s, actions, "remove", "Remove a branch and all below it.", func(ctx context.Context) error { return c.settingsRemove(ctx, f) })
	remove.AddPositionalValue(&f.branch, "branch", 1, true, "Branch path.")
	apply := subcommand(s, actions, "apply", "Replace the tree by a YAML file.", func(ctx context.Context) error { return c.settingsApply(ctx, f) })
	apply.AddPositionalValue(&f.file, "file", 1, true, "Settings tree (YAML).")
	edit := subcommand(s, actions, "edit", "Write the tree to a file, wait until it is saved, and apply it.", func(ctx context.Context) error { return c.settingsEdit(ctx, f) })
	edit.String(&f.file, "f", "file", "File to edit, default a temporary one.")
	diff := subcommand(s, actions, "diff", "Show what changed since a revision.", func(ctx context.Context) error { return c.settingsDiff(ctx, f) })
	diff.AddPositionalValue(&f.file, "file", 1, false, "Compare with this YAML file instead.")
	diff.Int64(&f.revision, "", "revision", "Revision to compare with the latest.")
	history := subcommand(s, actions, "history", "List the latest revisions.", func(ctx context.Context) error { return c.settingsHistory(ctx, f) })
	history.Int(&f.historyLimit, "n", "limit", "Number of revisions.")
	rollback := subcommand(s, actions, "rollback", "Restore an earlier revision as a new one.", func(ctx context.Context) error { return c.settingsRollback(ctx, f) })
	rollback.Int64(&f.revision, "", "revision", "Revision to restore.")
	resolve := subcommand(s, actions, "resolve", "Find out whether an edit of unknown outcome was accepted.", func(ctx context.Context) error { return c.settingsResolve(ctx, f) })
	resolve.String(&f.editID, "", "edit", "ID of the edit.")
	resolve.Int64(&f.revision, "", "revision", "Revision that the edit was to become.")
	status := subcommand(s, actions, "status", "Show the active revision of each process.", func(ctx context.Context) error { return c.settingsStatus(ctx, f) })
	status.Duration(&f.waitTimeout, "w", "wait", "Longest time to wait until the latest revision is active everywhere.")
	for _, sub := range []*flaggy.Subcommand{set, unset, remove, apply, edit, rollback} {
		sub.String(&f.comment, "m", "comment", "Comment for the history.")
		sub.Int64(&f.baseRevision, "", "base", "Revision that the edit is based on, default the latest.")
		sub.Bool(&f.isDryRun, "", "dry-run", "Show the values that the edit would change and the number of tasks affected, without accepting it.")
		sub.Duration(&f.waitTimeout, "w", "wait", "Longest time to wait until the edit is active everywhere.")
	}
}

func (c *cli) settingsGet(ctx context.Context, f *settingsFlags) error {
	repo, storeClient := c.repository()
	defer storeClient.Close()
	tree, rev, err := repo.Load(ctx)
	if err != nil {
		return err
	}
	return c.printExplanation(tree, rev, f.path())
}

// printExplanation prints the effective values of a branch, and for each value the branch that sets it.
func (c *cli) printExplanation(tree settings.Tree, rev int64, path string) error {
	sources, err := tree.Explain(path)
	if err != nil {
		return err
	}
	t := table{header: []any{"SETTING", "VALUE", "UNIT", "FROM"}}
	for i, s := range sources {
		from := "default"
		if s.Set {
			from = displayBranch(s.Branch)
		}
		t.add(s.Field, s.Value, settings.Fields[i].Unit, from)
	}
	return c.print(map[string]any{"revision": rev, "branch": displayBranch(path), "settings": sources}, t)
}

func displayBranch(path string) string {
	if path == settings.Root {
		return root
	}
	return path
}

func (c *cli) settingsExport(ctx context.Context, f *settingsFlags) error {
	repo, storeClient := c.repository()
	defer storeClient.Close()
	tree, err := treeAt(ctx, repo, f.revision)
	if err != nil {
		return err
	}
	text, err := settings.FormatTree(tree)
	if err != nil {
		return err
	}
	_, err = c.out.Write(text)
	return err
}

// treeAt returns the settings tree at a revision, or the latest tree if the revision is negative.
func treeAt(ctx context.Context, repo *settings.Repository, revision int64) (settings.Tree, error) {
	if revision < 0 {
		tree, _, err := repo.Load(ctx)
		return tree, err
	}
	return repo.TreeAt(ctx, revision)
}

func (c *cli) settingsSet(ctx context.Context, f *settingsFlags) error {
	change := settings.Change{Branch: f.path(), Set: map[string]*string{}}
	for _, text := range f.values {
		name, value, err := settings.ParseAssignment(text)
		if err != nil {
			return usageError{err}
		}
		change.Set[name] = &value
	}
	if len(change.Set) == 0 {
		return usageError{fmt.Errorf("at least one --value name=value is needed")}
	}
	return c.commit(ctx, f, []settings.Change{change})
}

func (c *cli) settingsUnset(ctx context.Context, f *settingsFlags) error {
	change := settings.Change{Branch: f.path(), Set: map[string]*string{}}
	for _, name := range f.values {
		if _, ok := settings.FieldByName(name); !ok {
			return usageError{fmt.Errorf("unknown setting %q; known settings: %s", name, strings.Join(settings.FieldNames(), ", "))}
		}
		change.Set[name] = nil
	}
	if len(change.Set) == 0 {
		return usageError{fmt.Errorf("at least one --value name is needed")}
	}
	return c.commit(ctx, f, []settings.Change{change})
}

func (c *cli) settingsRemove(ctx context.Context, f *settingsFlags) error {
	return c.commit(ctx, f, []settings.Change{{Branch: f.path(), Remove: true}})
}

func (c *cli) settingsApply(ctx context.Context, f *settingsFlags) error {
	desired, err := readTree(f.file)
	if err != nil {
		return err
	}
	return c.commitTree(ctx, f, desired)
}

func readTree(file string) (settings.Tree, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return settings.Tree{}, err
	}
	return settings.ParseTree(file, data)
}

// commitTree commits the changes that turn the tree at the base revision into the desired tree.
func (c *cli) commitTree(ctx context.Context, f *settingsFlags, desired settings.Tree) error {
	repo, storeClient := c.repository()
	defer storeClient.Close()
	base, err := treeAt(ctx, repo, f.baseRevision)
	if err != nil {
		return err
	}
	changes := base.Diff(desired)
	if len(changes) == 0 {
		fmt.Fprintln(c.stderr, "nothing to change")
		return nil
	}
	return c.commit(ctx, f, changes)
}

func (c *cli) settingsDiff(ctx context.Context, f *settingsFlags) error {
	repo, storeClient := c.repository()
	defer storeClient.Close()
	latest, head, err := repo.Load(ctx)
	if err != nil {
		return err
	}
	before, after := latest, latest
	if f.file != "" {
		after, err = readTree(f.file)
	} else {
		before, err = treeAt(ctx, repo, max(0, orDefault(f.revision, head-1)))
	}
	if err != nil {
		return err
	}
	return c.printImpact(settings.EffectiveChanges(before, after))
}

// orDefault returns v, or fallback if v is negative. A negative value means that the flag was not given.
func orDefault(v, fallback int64) int64 {
	if v < 0 {
		return fallback
	}
	return v
}

func (c *cli) printImpact(changes []settings.ValueChange) error {
	t := table{header: []any{"BRANCH", "SETTING", "BEFORE", "AFTER"}}
	for _, ch := range changes {
		t.add(displayBranch(ch.Branch), ch.Field, orDash(ch.Before), orDash(ch.After))
	}
	return c.print(changes, t)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func (c *cli) settingsHistory(ctx context.Context, f *settingsFlags) error {
	repo, storeClient := c.repository()
	defer storeClient.Close()
	revisions, err := repo.History(ctx, f.historyLimit)
	if err != nil {
		return err
	}
	t := table{header: []any{"REVISION", "TIME", "AUTHOR", "COMMENT", "CHANGES"}}
	for _, r := range revisions {
		parts := []string{}
		for _, ch := range r.Changes {
			parts = append(parts, ch.String())
		}
		t.add(r.Number, r.Time.Format(time.RFC3339), r.Author, orDash(r.Comment), truncateCell(strings.Join(parts, "; ")))
	}
	return c.print(revisions, t)
}

// maxCellBytes is the maximum length of the CHANGES column in the output of settings history.
const maxCellBytes = 80

func truncateCell(s string) string {
	if len(s) <= maxCellBytes {
		return s
	}
	return s[:maxCellBytes-3] + "..."
}

func (c *cli) settingsRollback(ctx context.Context, f *settingsFlags) error {
	if f.revision < 0 {
		return usageError{fmt.Errorf("--revision is needed")}
	}
	repo, storeClient := c.repository()
	defer storeClient.Close()
	desired, err := repo.TreeAt(ctx, f.revision)
	if err != nil {
		return err
	}
	if f.comment == "" {
		f.comment = fmt.Sprintf("roll back to revision %d", f.revision)
	}
	f.baseRevision = -1
	return c.commitTree(ctx, f, desired)
}

func (c *cli) settingsResolve(ctx context.Context, f *settingsFlags) error {
	if f.editID == "" || f.revision < 1 {
		return usageError{fmt.Errorf("--edit and --revision are needed")}
	}
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	repo, storeClient := c.repository()
	defer storeClient.Close()
	accepted, err := repo.ResolveEdit(ctx, f.editID, f.revision)
	if err != nil {
		return err
	}
	outcome := "not accepted"
	if accepted {
		outcome = fmt.Sprintf("accepted as revision %d", f.revision)
	}
	return c.print(map[string]any{"edit": f.editID, "accepted": accepted}, table{header: []any{"EDIT", "OUTCOME"}, rows: [][]any{{f.editID, outcome}}})
}
