package settings

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// String formats a change for display, such as "workshop: weight=20 -deadline".
func (c Change) String() string {
	if c.Remove {
		return displayPath(c.Branch) + ": remove"
	}
	parts := []string{}
	for _, name := range slices.Sorted(maps.Keys(c.Set)) {
		if c.Set[name] == nil {
			parts = append(parts, "-"+name)
			continue
		}
		parts = append(parts, name+"="+*c.Set[name])
	}
	return displayPath(c.Branch) + ": " + strings.Join(parts, " ")
}

// ValueChange is the effective value of one field of a branch before and after an edit.
type ValueChange struct {
	Branch string `json:"branch"`
	Field  string `json:"field"`
	Before string `json:"before"` // empty if the branch is new
	After  string `json:"after"`  // empty if the branch is removed
}

// EffectiveChanges lists the effective values that differ between two trees, inherited values included.
func EffectiveChanges(before, after Tree) []ValueChange {
	paths := map[string]bool{}
	for _, t := range []Tree{before, after} {
		for path := range t.Branches {
			paths[path] = true
		}
	}
	changes := []ValueChange{}
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		changes = append(changes, branchImpact(path, before, after)...)
	}
	return changes
}

func branchImpact(path string, before, after Tree) []ValueChange {
	oldValues, newValues := effectiveValues(before, path), effectiveValues(after, path)
	changes := []ValueChange{}
	for _, f := range Fields {
		if oldValues[f.Name] != newValues[f.Name] {
			changes = append(changes, ValueChange{Branch: path, Field: f.Name, Before: oldValues[f.Name], After: newValues[f.Name]})
		}
	}
	return changes
}

// effectiveValues returns the effective values of a branch by field name. The result is nil if the branch does not exist.
func effectiveValues(t Tree, path string) map[string]string {
	sources, err := t.Explain(path)
	if err != nil {
		return nil
	}
	values := make(map[string]string, len(sources))
	for _, s := range sources {
		values[s.Field] = s.Value
	}
	return values
}

// ChangedBranches returns the distinct branches of the changes in order of first appearance.
func ChangedBranches(changes []ValueChange) []string {
	branches := []string{}
	for _, c := range changes {
		if !slices.Contains(branches, c.Branch) {
			branches = append(branches, c.Branch)
		}
	}
	return branches
}

// ParseAssignment parses "name=value" and returns the name and the value. The value is validated against the schema.
func ParseAssignment(text string) (name, value string, err error) {
	name, value, ok := strings.Cut(text, "=")
	if !ok {
		return "", "", fmt.Errorf("%q: accepted form: setting=value", text)
	}
	return name, value, CheckValue(name, value)
}
