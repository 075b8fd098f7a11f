// Package hostconfig is the settings file of a deployed entry or agent, in YAML. The file is rendered from the
// platform's settings at every start.
package hostconfig

import (
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

// Process is the settings of one process.
type Process struct {
	Name     string `yaml:"name"`
	MemoryMB int64  `yaml:"memory_mb"` // the process is killed above this
	Listen   Listen `yaml:"listen"`
	Worker   string `yaml:"worker"` // address of the worker on the same host; agents only
	Store    string `yaml:"store"`  // address of the platform's store
	Advice   string `yaml:"advice"` // address of the advice service; empty: none
	Bounds   Bounds `yaml:"bounds"`
}

// Listen holds the addresses that the process serves.
type Listen struct {
	Peers         string `yaml:"peers"`         // connections of the owner of the jobs
	Advertise     string `yaml:"advertise"`     // where others reach peers; empty: at the same address
	Callers       string `yaml:"callers"`       // entries only
	Readiness     string `yaml:"readiness"`     // entries only
	Registrations string `yaml:"registrations"` // agents only
	Metrics       string `yaml:"metrics"`       // IP address; the port is the program's
}

// Reachable returns the address at which other processes reach this one.
func (l *Listen) Reachable() string {
	if l.Advertise != "" {
		return l.Advertise
	}
	return l.Peers
}

// Bounds are the deployment's limits.
type Bounds struct {
	MaxHoldMs     int64 `yaml:"max_hold_ms"`
	StopTimeoutMs int64 `yaml:"stop_timeout_ms"`
	GraceS        int64 `yaml:"grace_s"`
	StatusS       int64 `yaml:"status_s"`
}

// holdShare is the part of the longest hold that is used, so that a hold that is counted from its arrival is never cut.
const holdShare = 0.8

// Hold returns how long runs are held without news.
func (b Bounds) Hold() time.Duration {
	return time.Duration(float64(b.MaxHoldMs)*holdShare) * time.Millisecond
}

// StopTimeout returns the longest time that a stop takes.
func (b Bounds) StopTimeout() time.Duration { return time.Duration(b.StopTimeoutMs) * time.Millisecond }

// Grace returns the time between the request to stop and the end of the process by force.
func (b Bounds) Grace() time.Duration { return time.Duration(b.GraceS) * time.Second }

// retentionShare keeps ended jobs a little longer than the deployment asks for.
const retentionShare = 1.25

// Retention returns how long ended jobs stay known.
func (b Bounds) Retention() time.Duration {
	return time.Duration(float64(b.StatusS)*retentionShare) * time.Second
}

// Load reads and checks a settings file.
func Load(path string, agent bool) (Process, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Process{}, eris.Wrap(err, "read settings")
	}
	var p Process
	if err := yaml.Unmarshal(data, &p); err != nil {
		return Process{}, eris.Wrapf(err, "settings file %s", path)
	}
	return p, eris.Wrapf(p.Validate(agent), "settings file %s", path)
}

// Validate names the first bad field.
func (p *Process) Validate(agent bool) error {
	if p.Name == "" {
		return eris.New("name: missing")
	}
	addrs := map[string]string{"listen.peers": p.Listen.Peers, "store": p.Store}
	if agent {
		addrs["worker"], addrs["listen.registrations"] = p.Worker, p.Listen.Registrations
	} else {
		addrs["listen.callers"], addrs["listen.readiness"] = p.Listen.Callers, p.Listen.Readiness
	}
	if p.Listen.Advertise != "" {
		addrs["listen.advertise"] = p.Listen.Advertise
	}
	for field, addr := range addrs {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return eris.Errorf("%s: %q is not an address with a port", field, addr)
		}
	}
	for field, v := range map[string]int64{
		"memory_mb": p.MemoryMB, "bounds.max_hold_ms": p.Bounds.MaxHoldMs, "bounds.stop_timeout_ms": p.Bounds.StopTimeoutMs,
		"bounds.grace_s": p.Bounds.GraceS, "bounds.status_s": p.Bounds.StatusS,
	} {
		if v <= 0 {
			return eris.Errorf("%s: %d is not above 0", field, v)
		}
	}
	return nil
}
