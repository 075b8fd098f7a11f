package hostconfig_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/hostconfig"
	"bamboofork/internal/outage"
)

const validSettings = `
name: host-1
memory_mb: 152
listen: {peers: "10.0.0.1:7720", callers: "", readiness: "", registrations: "10.0.0.1:8166", metrics: "10.0.0.1"}
worker: "10.0.0.1:8165"
store: "10.0.0.9:8169"
bounds: {max_hold_ms: 10000, stop_timeout_ms: 200, grace_s: 6, status_s: 120}
`

// Guards against incomplete or invalid settings being accepted. Also guards against errors that do not name the field and the
// file.
func TestLoadRejectsInvalidSettings(t *testing.T) {
	for _, c := range []struct {
		name, old, new string
		forAgent       bool
		want           string // part of the error; empty: none
	}{
		{"good", "", "", true, ""},
		{"an entry needs other addresses", "", "", false, "listen."},
		{"no name", "name: host-1", "name: ''", true, "name"},
		{"a host name as address", "10.0.0.9:8169", "store.example:8169", true, "store"},
		{"a host name to advertise", `metrics: "10.0.0.1"`, `metrics: "10.0.0.1", advertise: "host-1:7720"`, true, "listen.advertise"},
		{"no memory", "memory_mb: 152", "memory_mb: 0", true, "memory_mb"},
		{"a bound is missing", "max_hold_ms: 10000, ", "", true, "bounds.max_hold_ms"},
		{"a limit of held requests is missing", "bounds:", "silent_store: {max_held: 10}\nbounds:", true, "silent_store.max_held_kb"},
		{"a negative limit of held requests", "bounds:", "silent_store: {max_held: -1, max_held_kb: 1}\nbounds:", true, "silent_store.max_held"},
		{"a negative time to apply", "name: host-1", "name: host-1\nevacuation: {apply_ms: -1}", true, "evacuation.apply_ms"},
		{"serving tasks packed", "bounds:", "colocation: {pack_serving: true}\nbounds:", true, ""},
		{"a negative number of descriptors", "memory_mb: 152", "memory_mb: 152\nmax_fds: -1", true, "max_fds"},
		{"limits on clients", "memory_mb: 152", "memory_mb: 152\nmax_fds: 4096\ncaller_limits: {body_mb: 20, stall_ms: 9000}", true, ""},
		{"a negative limit on clients", "memory_mb: 152", "memory_mb: 152\ncaller_limits: {stall_ms: -1}", true, "caller_limits.stall_ms"},
		{"not YAML", "name:", "name", true, "settings file"},
	} {
		path := filepath.Join(t.TempDir(), "process.yaml")
		qt.Assert(t, os.WriteFile(path, []byte(strings.Replace(validSettings, c.old, c.new, 1)), 0o600), qt.IsNil)
		p, err := hostconfig.Load(path, c.forAgent)
		if c.want == "" {
			qt.Check(t, err, qt.IsNil, qt.Commentf("%s", c.name))
			qt.Check(t, p.Bounds.Hold().Milliseconds(), qt.Equals, int64(8000))
			qt.Check(t, p.Colocation.PackServing, qt.Equals, strings.Contains(c.new, "pack_serving"))
			continue
		}
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%s", c.name))
		qt.Check(t, strings.Contains(err.Error(), c.want), qt.IsTrue, qt.Commentf("%s: %v", c.name, err))
		qt.Check(t, strings.Contains(err.Error(), path), qt.IsTrue, qt.Commentf("%s: %v", c.name, err))
	}
	for section, want := range map[string]bool{"": false, "shortage: {}\n": false, "shortage: {delay_cost: true}\n": true} {
		path := filepath.Join(t.TempDir(), "process.yaml")
		qt.Assert(t, os.WriteFile(path, []byte(validSettings+section), 0o600), qt.IsNil)
		p, err := hostconfig.Load(path, true)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, p.Shortage.DelayCost, qt.Equals, want, qt.Commentf("%q", section))
	}
	var absent *hostconfig.SilentStore
	qt.Check(t, absent.Policy(), qt.IsNil)
	qt.Check(t, *(&hostconfig.SilentStore{MaxHeld: 2, MaxHeldKB: 3}).Policy(), qt.Equals, outage.Policy{MaxHeld: 2, MaxHeldBytes: 3 << 10})
	_, err := hostconfig.Load(filepath.Join(t.TempDir(), "missing.yaml"), true)
	qt.Check(t, err, qt.IsNotNil)
}

// Checks that evacuation is off where the deployment has no bound for it: its template then renders an empty value.
func TestEvacuationIsOffWithoutABound(t *testing.T) {
	for value, want := range map[string]time.Duration{"": 0, " ": 0, " 5000": 5 * time.Second} {
		path := filepath.Join(t.TempDir(), "process.yaml")
		qt.Assert(t, os.WriteFile(path, []byte(validSettings+"evacuation:\n  apply_ms:"+value+"\n"), 0o600), qt.IsNil)
		p, err := hostconfig.Load(path, true)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%q", value))
		qt.Check(t, p.Evacuation.Apply(), qt.Equals, want, qt.Commentf("%q", value))
	}
}
