package settings

import "testing"

// Guards against input that crashes the parser. Also guards against a tree that the parser accepts and Compile rejects.
func FuzzParseTree(f *testing.F) {
	f.Add([]byte("settings:\n  deadline: 2s\nbranches:\n  a:\n    settings: {class: quick, backend: b}\n"))
	f.Add([]byte("a: &a [*a]"))
	f.Add([]byte("branches: {x: {branches: {y: null}}}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		tree, err := ParseTree("f", data)
		if err != nil {
			return
		}
		if _, err := Compile(1, tree); err != nil {
			t.Fatalf("accepted but not compiled: %v", err)
		}
	})
}
