package settings

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// FileError is an error at a position in a settings file.
type FileError struct {
	File  string
	Line  int
	Field string
	Msg   string
}

// Error implements error in the form file:line: field: message.
func (e FileError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Msg)
}

// ParseTree parses a tree in YAML. A branch is a mapping with the optional keys "settings" (field: value) and
// "branches" (name: branch). If keys or values are invalid, all these errors are returned as one joined error. Otherwise the
// tree is validated branch by branch, and the first error is returned.
func ParseTree(file string, data []byte) (Tree, error) {
	var doc yaml.Node
	if err := yaml.Unmarshal(data, &doc); err != nil {
		return Tree{}, fmt.Errorf("%s: %w", file, err)
	}
	t := NewTree()
	if len(doc.Content) == 0 {
		return t, nil
	}
	p := parser{file: file, tree: t, lineByPath: map[string]int{}}
	p.parseBranch(Root, doc.Content[0])
	if len(p.errs) > 0 {
		return Tree{}, errors.Join(p.errs...)
	}
	for _, path := range t.Paths() {
		if err := t.validateBranch(path); err != nil {
			return Tree{}, FileError{File: file, Line: p.lineByPath[path], Field: displayPath(path), Msg: err.Error()}
		}
	}
	return t, nil
}

// parser builds a tree from the YAML nodes of a settings file and collects the errors.
type parser struct {
	file       string
	tree       Tree
	lineByPath map[string]int // line of each branch in the file
	errs       []error
}

// displayPath returns the path of a branch as shown to operators.
func displayPath(path string) string {
	if path == Root {
		return "(root)"
	}
	return path
}

func (p *parser) addError(n *yaml.Node, field, format string, args ...any) {
	p.errs = append(p.errs, FileError{File: p.file, Line: n.Line, Field: field, Msg: fmt.Sprintf(format, args...)})
}

func (p *parser) parseBranch(path string, n *yaml.Node) {
	p.lineByPath[path] = n.Line
	p.tree.Branches[path] = map[string]string{}
	if err := CheckPath(path); err != nil {
		p.addError(n, displayPath(path), "%s", err)
		return
	}
	if n.Kind == yaml.ScalarNode && n.Tag == "!!null" {
		return
	}
	p.eachKey(n, displayPath(path), func(key string, value *yaml.Node) {
		switch key {
		case "settings":
			p.parseValues(path, value)
		case "branches":
			p.parseChildren(path, value)
		default:
			p.addError(value, displayPath(path)+"."+key, "unknown key; accepted: settings, branches")
		}
	})
}

func (p *parser) parseValues(path string, n *yaml.Node) {
	p.eachKey(n, displayPath(path)+".settings", func(name string, value *yaml.Node) {
		field := displayPath(path) + ".settings." + name
		if value.Kind != yaml.ScalarNode {
			p.addError(value, field, "expected a scalar value")
			return
		}
		if err := CheckValue(name, value.Value); err != nil {
			p.addError(value, field, "%s", err)
			return
		}
		p.tree.Branches[path][name] = value.Value
	})
}

func (p *parser) parseChildren(path string, n *yaml.Node) {
	p.eachKey(n, displayPath(path)+".branches", func(name string, value *yaml.Node) {
		child := name
		if path != Root {
			child = path + "/" + name
		}
		p.parseBranch(child, value)
	})
}

func (p *parser) eachKey(n *yaml.Node, field string, visit func(key string, value *yaml.Node)) {
	if n.Kind != yaml.MappingNode {
		p.addError(n, field, "expected a mapping")
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i].Value
		if seen[key] {
			p.addError(n.Content[i], field+"."+key, "duplicate key")
			continue
		}
		seen[key] = true
		visit(key, n.Content[i+1])
	}
}

// branchYAML is the YAML form of a branch.
type branchYAML struct {
	Settings map[string]string      `yaml:"settings,omitempty"`
	Branches map[string]*branchYAML `yaml:"branches,omitempty"`
}

// FormatTree encodes a tree as YAML that ParseTree accepts.
func FormatTree(t Tree) ([]byte, error) {
	nodes := map[string]*branchYAML{}
	paths := t.Paths()
	slices.Sort(paths)
	for _, path := range paths {
		node := &branchYAML{Settings: t.Branches[path], Branches: map[string]*branchYAML{}}
		nodes[path] = node
		if path != Root {
			nodes[Parent(path)].Branches[path[strings.LastIndexByte(path, '/')+1:]] = node
		}
	}
	return yaml.Marshal(nodes[Root])
}
