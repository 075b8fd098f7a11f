package settings

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Root is the path of the root branch. Other paths are branch names joined by '/'.
const Root = ""

// MaxDepth is the maximum number of names in a branch path.
const MaxDepth = 8

// Tree holds the settings that each branch overrides, by branch path and field name.
// The root always exists. A Tree is not safe for concurrent use.
type Tree struct {
	Branches map[string]map[string]string `json:"branches"`
}

// NewTree returns a tree with an empty root.
func NewTree() Tree { return Tree{Branches: map[string]map[string]string{Root: {}}} }

// Clone returns a deep copy.
func (t Tree) Clone() Tree {
	clone := Tree{Branches: make(map[string]map[string]string, len(t.Branches))}
	for path, values := range t.Branches {
		clone.Branches[path] = maps.Clone(values)
	}
	return clone
}

// Paths returns the paths of all branches in sorted order.
func (t Tree) Paths() []string { return slices.Sorted(maps.Keys(t.Branches)) }

// Parent returns the path of the parent branch; the root is its own parent.
func Parent(path string) string {
	i := strings.LastIndexByte(path, '/')
	if i < 0 {
		return Root
	}
	return path[:i]
}

// Ancestors returns the branches on the path from the root to the branch, both included.
func Ancestors(path string) []string {
	ancestors := []string{Root}
	if path == Root {
		return ancestors
	}
	for i := range len(path) {
		if path[i] == '/' {
			ancestors = append(ancestors, path[:i])
		}
	}
	return append(ancestors, path)
}

// CheckPath validates the syntax and depth of a branch path.
func CheckPath(path string) error {
	if path == Root {
		return nil
	}
	parts := strings.Split(path, "/")
	if len(parts) > MaxDepth {
		return fmt.Errorf("branch %q is deeper than %d levels", path, MaxDepth)
	}
	for _, p := range parts {
		if !validName(p) {
			return fmt.Errorf("branch %q: %q is not a name (a-z, 0-9, '-', '_')", path, p)
		}
	}
	return nil
}

// Source is the effective value of a field and the branch that it comes from.
type Source struct {
	Field  string `json:"field"`
	Value  string `json:"value"`
	Branch string `json:"branch"` // branch that sets the value; the root if no branch sets it
	Set    bool   `json:"set"`    // whether a branch sets the value; if false, the value is the default of the schema
}

// Explain returns the effective value of every field of a branch, with the branch that sets the value, in schema order.
func (t Tree) Explain(path string) ([]Source, error) {
	if _, ok := t.Branches[path]; !ok {
		return nil, fmt.Errorf("unknown branch %q", path)
	}
	sources := make([]Source, len(Fields))
	for i, f := range Fields {
		sources[i] = Source{Field: f.Name, Value: f.Default}
		for _, a := range Ancestors(path) {
			if v, ok := t.Branches[a][f.Name]; ok {
				sources[i] = Source{Field: f.Name, Value: v, Branch: a, Set: true}
			}
		}
	}
	return sources, nil
}

// Effective computes the effective settings of a branch.
func (t Tree) Effective(path string) (Effective, error) {
	sources, err := t.Explain(path)
	if err != nil {
		return Effective{}, err
	}
	e := Effective{Branch: path}
	for i, s := range sources {
		if err := Fields[i].set(&e, s.Value); err != nil {
			return Effective{}, fmt.Errorf("branch %q, setting %q: %w", path, s.Field, err)
		}
	}
	return e, nil
}

// Validate checks that every branch has a valid path, an existing parent, known fields, accepted values and a valid
// combination of values. It returns the first error.
func (t Tree) Validate() error {
	for _, path := range t.Paths() {
		if err := t.validateBranch(path); err != nil {
			return err
		}
	}
	return nil
}

func (t Tree) validateBranch(path string) error {
	if err := CheckPath(path); err != nil {
		return err
	}
	if _, ok := t.Branches[Parent(path)]; !ok {
		return fmt.Errorf("branch %q has no parent %q", path, Parent(path))
	}
	for _, name := range slices.Sorted(maps.Keys(t.Branches[path])) {
		if err := CheckValue(name, t.Branches[path][name]); err != nil {
			return fmt.Errorf("branch %q: %w", path, err)
		}
	}
	e, err := t.Effective(path)
	if err != nil {
		return err
	}
	if e.QueueTimeout > e.Deadline {
		return fmt.Errorf("branch %q: queue_timeout %s exceeds deadline %s", path, e.QueueTimeout, e.Deadline)
	}
	return nil
}

// Change modifies or removes one branch. Set maps field names to new values. A nil value removes the override of the branch.
type Change struct {
	Branch string             `json:"branch"`
	Set    map[string]*string `json:"set,omitempty"`
	Remove bool               `json:"remove,omitempty"` // remove the branch and its descendants
}

// Edit is a set of changes that an operator makes atomically.
type Edit struct {
	ID      string   `json:"id"` // random; identifies the edit in the log after a lost response
	Author  string   `json:"author"`
	Comment string   `json:"comment,omitempty"`
	Changes []Change `json:"changes"`
}

// Apply returns the validated tree after the edit and leaves t as it is. Missing branches along the paths of the changes are
// created.
func (t Tree) Apply(edit Edit) (Tree, error) {
	next := t.Clone()
	for _, c := range edit.Changes {
		if err := next.applyChange(c); err != nil {
			return Tree{}, err
		}
	}
	if err := next.Validate(); err != nil {
		return Tree{}, err
	}
	return next, nil
}

// applyChange applies the change to t itself, without validation of the values.
func (t Tree) applyChange(c Change) error {
	if err := CheckPath(c.Branch); err != nil {
		return err
	}
	if c.Remove {
		return t.removeBranch(c.Branch)
	}
	for _, a := range Ancestors(c.Branch) {
		if t.Branches[a] == nil {
			t.Branches[a] = map[string]string{}
		}
	}
	for name, value := range c.Set {
		if value == nil {
			delete(t.Branches[c.Branch], name)
			continue
		}
		t.Branches[c.Branch][name] = *value
	}
	return nil
}

func (t Tree) removeBranch(path string) error {
	if path == Root {
		return fmt.Errorf("the root branch cannot be removed")
	}
	if _, ok := t.Branches[path]; !ok {
		return fmt.Errorf("unknown branch %q", path)
	}
	for p := range t.Branches {
		if p == path || strings.HasPrefix(p, path+"/") {
			delete(t.Branches, p)
		}
	}
	return nil
}

// Diff returns the changes that turn t into other.
func (t Tree) Diff(other Tree) []Change {
	changes := []Change{}
	for _, path := range t.Paths() {
		_, isKept := other.Branches[path]
		_, parentIsKept := other.Branches[Parent(path)]
		if !isKept && parentIsKept {
			changes = append(changes, Change{Branch: path, Remove: true})
		}
	}
	for _, path := range other.Paths() {
		set := diffValues(t.Branches[path], other.Branches[path])
		if _, existed := t.Branches[path]; len(set) > 0 || !existed {
			changes = append(changes, Change{Branch: path, Set: set})
		}
	}
	return changes
}

// diffValues returns the changes that turn the values from into the values to, in the form of Change.Set.
func diffValues(from, to map[string]string) map[string]*string {
	set := map[string]*string{}
	for name := range from {
		if _, ok := to[name]; !ok {
			set[name] = nil
		}
	}
	for name, value := range to {
		if old, ok := from[name]; !ok || old != value {
			set[name] = &value
		}
	}
	return set
}
