package config_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/config"
)

const minimalSettings = "id: a\ndomain: d\nstore: http://127.0.0.1:1\nlisten:\n  control: 127.0.0.1:2\n  callers: 127.0.0.1:3\n"

// Guards against an invalid settings file being accepted. Also guards against errors that do not name the file and the line.
func TestParseRejectsInvalidSettings(t *testing.T) {
	tests := []struct{ name, yaml, want string }{
		{"unknown field", minimalSettings + "colour: red\n", `f.yaml:7: colour: unknown field`},
		{"missing", "domain: d\n", `(?s)f.yaml:1: id: a name is required.*store.*`},
		{"level", minimalSettings + "log_level: loud\n", `f.yaml:7: log_level: accepted: debug, info, warn, error`},
		{"type", minimalSettings + "partitions: many\n", `(?s)f.yaml: .*line 7.*`},
		{"truncated", minimalSettings[:len(minimalSettings)/2], `(?s).*`},
		{"range", minimalSettings + "partitions: 1000\n", `f.yaml:7: partitions: accepted: 1 to 256`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := config.Parse("f.yaml", []byte(tt.yaml), false)
			qt.Assert(t, err, qt.ErrorMatches, tt.want)
		})
	}
}

// Guards against example files that differ from the users' deployments: 11 agents with 8 slots and 64 connections each,
// three per rack, in three (workshop) or four (association) failure domains.
func TestExamplesMatchDeployments(t *testing.T) {
	for dir, wantDomains := range map[string]int{"workshop": 3, "association": 4} {
		domainsSeen, agentsByRack := map[string]bool{}, map[string]int{}
		for i := range 11 {
			p := loadExample(t, dir, fmt.Sprintf("agent-%d.yaml", i+1), true)
			qt.Assert(t, []int{p.Backend.Slots, p.Backend.Conns}, qt.DeepEquals, []int{8, 64})
			domainsSeen[p.Domain] = true
			agentsByRack[p.Rack]++
		}
		qt.Assert(t, len(domainsSeen), qt.Equals, wantDomains)
		qt.Assert(t, agentsByRack["rack-1"], qt.Equals, 3)
		loadExample(t, dir, "entry-1.yaml", false)
	}
}

func loadExample(t *testing.T, dir, name string, forAgent bool) config.Process {
	file := filepath.Join("..", "..", "examples", dir, name)
	data, err := os.ReadFile(file)
	qt.Assert(t, err, qt.IsNil)
	p, err := config.Parse(file, data, forAgent)
	qt.Assert(t, err, qt.IsNil)
	return p
}
