package command

import (
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"bamboofork/internal/queues"
	"bamboofork/platform"
)

// manifestFlags holds the arguments of config manifest.
type manifestFlags struct {
	file    string
	inForce string // file with the manifest in force, or empty
}

// configManifest checks a manifest file and compares it with the one in force. It fails if an entry is in error.
func (c *cli) configManifest(f *manifestFlags) error {
	draft, err := readManifest(f.file)
	if err != nil {
		return err
	}
	findings := draft.Check()
	if f.inForce != "" {
		inForce, err := readManifest(f.inForce)
		if err != nil {
			return err
		}
		findings = append(findings, draft.CompareWith(inForce)...)
	}
	errors := 0
	t := table{header: []any{"PLACE", "SEVERITY", "ENTRY", "FINDING"}}
	for _, finding := range findings {
		place := f.file
		if finding.Line > 0 {
			place = fmt.Sprintf("%s:%d", f.file, finding.Line)
		}
		if finding.Severity == queues.Error {
			errors++
		}
		t.add(place, finding.Severity, finding.Entry, finding.Message)
	}
	if findings == nil {
		findings = []queues.Finding{} // the JSON form is a list
	}
	if err := c.print(findings, t); err != nil {
		return err
	}
	if errors > 0 {
		return invalidFileError{eris.Errorf("%s: %d entries in error", f.file, errors)}
	}
	return nil
}

func readManifest(file string) (*queues.Draft, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	draft, err := platform.DecodeManifestDraft(data)
	if err != nil {
		return nil, invalidFileError{eris.Wrap(err, file)}
	}
	return draft, nil
}
