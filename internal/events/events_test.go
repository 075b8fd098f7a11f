package events_test

import (
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/events"
)

// Guards against a log line whose number is missing from the operators' catalogue.
func TestCatalogueMatchesDocs(t *testing.T) {
	doc, err := os.ReadFile("../../docs/events.md")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(doc), qt.Equals, events.Catalogue(),
		qt.Commentf("run: go run ./internal/events/gencatalogue"))
}
