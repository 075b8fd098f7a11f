package events_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/events"
)

// Guards against a docs/events.md that was not regenerated after a change of the events. Operators would then find events
// missing or described wrongly.
func TestCatalogueMatchesDocs(t *testing.T) {
	doc, err := os.ReadFile("../../docs/events.md")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(doc), qt.Equals, events.Catalogue(),
		qt.Commentf("run: go run ./internal/events/gencatalogue"))
}

// Guards against a registered event that no program logs any more.
func TestEveryEventIsLogged(t *testing.T) {
	var source strings.Builder
	for _, root := range []string{"../../internal", "../../cmd", "../../platform"} {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			data, err := os.ReadFile(path)
			source.Write(data)
			return err
		})
		qt.Assert(t, err, qt.IsNil)
	}
	for _, name := range registeredNames(t) {
		isLogged := regexp.MustCompile(`events\.` + name + `\b`).MatchString(source.String())
		qt.Check(t, isLogged, qt.IsTrue, qt.Commentf("event %s is never logged", name))
	}
}

// registeredNames returns the names of the Go variables that hold the registered events.
func registeredNames(t *testing.T) []string {
	files, err := filepath.Glob("*.go")
	qt.Assert(t, err, qt.IsNil)
	eventDeclaration := regexp.MustCompile(`(?m)^\s+(\w+)\s+= register\(`)
	names := []string{}
	for _, file := range files {
		data, err := os.ReadFile(file)
		qt.Assert(t, err, qt.IsNil)
		for _, m := range eventDeclaration.FindAllStringSubmatch(string(data), -1) {
			names = append(names, m[1])
		}
	}
	qt.Assert(t, len(names), qt.Equals, len(events.All()))
	return names
}
