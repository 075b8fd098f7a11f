package settings_test

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/settings"
	"bamboofork/internal/store/memstore"
)

func set(branch, name, value string) settings.Change {
	return settings.Change{Branch: branch, Set: map[string]*string{name: &value}}
}

// Guards against an invalid settings file that is accepted. The error must name the file and the line.
func TestParseTreeReportsFileAndLine(t *testing.T) {
	tests := []struct{ name, yaml, want string }{
		{"unknown field", "settings:\n  weigth: 3\n", `f.yaml:2: \(root\)\.settings\.weigth: unknown setting.*weight.*`},
		{"bad value", "branches:\n  shop:\n    settings: {class: slow}\n", `f.yaml:3: shop\.settings\.class: .*accepted: quick, stream or batch`},
		{"unknown key", "branches:\n  shop:\n    setings: {}\n", `f.yaml:3: shop\.setings: unknown key; accepted: settings, branches`},
		{"truncated", "branches:\n  shop:\n    settings: {class: quick, weight", `f.yaml: .*`},
		{"bad name", "branches:\n  Shop:\n    settings: {}\n", `f.yaml:3: Shop: .*not a name.*`},
		{"combination", "branches:\n  shop:\n    settings: {deadline: 1s, queue_timeout: 2s}\n", `f.yaml:3: shop: .*queue_timeout 2s exceeds deadline 1s`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := settings.ParseTree("f.yaml", []byte(tt.yaml))
			qt.Assert(t, err, qt.ErrorMatches, tt.want)
		})
	}
}

// Guards against settings that are not inherited from the closest ancestor. Also guards against a tree that differs after it
// has been formatted and parsed again.
func TestInheritanceAndFormatRoundTrip(t *testing.T) {
	tree, err := settings.ParseTree("f.yaml", []byte("settings: {weight: 7}\nbranches:\n  a:\n    settings: {deadline: 5s}\n    branches:\n      b: {settings: {weight: 9}}\n      c:\n"))
	qt.Assert(t, err, qt.IsNil)
	b, err := tree.Effective("a/b")
	qt.Assert(t, err, qt.IsNil)
	c, err := tree.Effective("a/c")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, []any{b.Weight, c.Weight, b.Deadline.String()}, qt.DeepEquals, []any{9, 7, "5s"})
	text, err := settings.FormatTree(tree)
	qt.Assert(t, err, qt.IsNil)
	reparsed, err := settings.ParseTree("g.yaml", text)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reparsed, qt.DeepEquals, tree)
}

// Guards against a lost update when two operators edit the same revision. Edits of the same branch must conflict, and edits
// of different branches must merge.
func TestSameBranchEditsConflictOthersMerge(t *testing.T) {
	ctx := context.Background()
	st := memstore.New()
	one, two := settings.NewRepository(st, "one"), settings.NewRepository(st, "two")
	rev, err := one.Commit(ctx, 0, settings.Edit{Author: "one", Changes: []settings.Change{set("shop", "weight", "5")}})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, rev, qt.Equals, int64(1))
	_, err = two.Commit(ctx, 0, settings.Edit{Author: "two", Changes: []settings.Change{set("shop", "weight", "6")}})
	var conflict settings.ConflictError
	qt.Assert(t, errors.As(err, &conflict), qt.IsTrue)
	qt.Assert(t, err, qt.ErrorMatches, `.*edited by one in revision 1: theirs \["shop: weight=5"\], yours \["shop: weight=6"\]`)
	rev, err = two.Commit(ctx, 0, settings.Edit{Author: "two", Changes: []settings.Change{set("studio", "weight", "6")}})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, rev, qt.Equals, int64(2))
}

// Guards against a rollback that does not restore removed branches.
func TestTreeAtRestoresEarlierRevisions(t *testing.T) {
	ctx := context.Background()
	repo := settings.NewRepository(memstore.New(), "op")
	edits := [][]settings.Change{
		{set("shop/desk", "weight", "5"), set("shop", "deadline", "3s")},
		{set("shop/desk", "weight", "8"), set("lab", "weight", "2")},
		{{Branch: "shop", Remove: true}},
	}
	wantTrees := []settings.Tree{settings.NewTree()}
	for i, changes := range edits {
		rev, err := repo.Commit(ctx, int64(i), settings.Edit{Author: "op", Changes: changes})
		qt.Assert(t, err, qt.IsNil)
		tree, _, err := repo.Load(ctx)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, rev, qt.Equals, int64(i+1))
		wantTrees = append(wantTrees, tree)
	}
	for number := range wantTrees {
		tree, err := repo.TreeAt(ctx, int64(number))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, tree, qt.DeepEquals, wantTrees[number], qt.Commentf("revision %d", number))
	}
	changes := settings.EffectiveChanges(wantTrees[1], wantTrees[2])
	qt.Assert(t, settings.ChangedBranches(changes)[0], qt.Equals, "lab")
}
