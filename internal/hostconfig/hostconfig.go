// Package hostconfig reads the YAML settings file of a deployed entry or agent. The file is generated from the
// platform's settings at each start.
package hostconfig

import (
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"

	"bamboofork/internal/outage"
)

// Process holds the settings of one process.
type Process struct {
	Name     string `yaml:"name"`
	MemoryMB int64  `yaml:"memory_mb"` // memory limit above which the process is killed
	Listen   Listen `yaml:"listen"`
	Worker   string `yaml:"worker"` // address of the worker on the same host; agents only
	Store    string `yaml:"store"`  // address of the platform's store
	Advice   string `yaml:"advice"` // address of the advice service, or empty
	Bounds   Bounds `yaml:"bounds"`
	// Evacuation configures how failure domains are taken out of service.
	Evacuation Evacuation `yaml:"evacuation"`
	// Shortage configures the decisions when there is too little room.
	Shortage Shortage `yaml:"shortage"`
	// SilentStore is absent if no request is held while the store or the owner of the jobs is silent.
	SilentStore *SilentStore `yaml:"silent_store"`
	// Colocation says how serving and best-effort tasks share workers. An absent section means that serving tasks are spread.
	Colocation Colocation `yaml:"colocation"`
	MaxFDs     int64      `yaml:"max_fds"` // descriptors that the process may have; 0: as many as the operating system lets it have
	// CallerLimits bounds what clients that nobody controls can take.
	CallerLimits CallerLimits `yaml:"caller_limits"`
}

// Shortage says how the owner of the jobs decides when there is too little room. Without the section all of it is off.
type Shortage struct {
	DelayCost bool `yaml:"delay_cost"` // order jobs by what a delay costs their callers
}

// SilentStore bounds the requests that the process holds while the store or the owner of the jobs is silent.
type SilentStore struct {
	MaxHeld   int `yaml:"max_held"`    // number of requests
	MaxHeldKB int `yaml:"max_held_kb"` // their total size
}

// Policy returns the policy with these bounds, or nil if the section is absent.
func (s *SilentStore) Policy() *outage.Policy {
	if s == nil {
		return nil
	}
	return &outage.Policy{MaxHeld: s.MaxHeld, MaxHeldBytes: s.MaxHeldKB << 10}
}

// Evacuation holds the settings of taking failure domains out of service.
type Evacuation struct {
	// ApplyMs is the time within which operators expect that nothing starts in a domain any more; 0: no domain is taken out of service.
	ApplyMs int64 `yaml:"apply_ms"`
}

// Apply returns ApplyMs as a duration.
func (e Evacuation) Apply() time.Duration { return time.Duration(e.ApplyMs) * time.Millisecond }

// CallerLimits are the limits on clients. 0 means the default.
type CallerLimits struct {
	BodyMB       int64 `yaml:"body_mb"`         // unfinished requests of all clients; default: derived from MemoryMB
	Connections  int   `yaml:"connections"`     // open connections of callers; default: derived from MemoryMB and MaxFDs
	StallMs      int64 `yaml:"stall_ms"`        // time without progress after which a body is given up
	MinBytesPerS int64 `yaml:"min_bytes_per_s"` // rate below which a body is given up, after its first 10 s
}

// Defaults of the limits on clients. A caller waits 3 s for the answer, so a body that takes longer is of no use to it.
const (
	defaultStallMs      = 5000
	defaultMinBytesPerS = 4 << 10
)

// WithDefaults returns the limits with the defaults of those that are not derived from the host.
func (c CallerLimits) WithDefaults() CallerLimits {
	if c.StallMs == 0 {
		c.StallMs = defaultStallMs
	}
	if c.MinBytesPerS == 0 {
		c.MinBytesPerS = defaultMinBytesPerS
	}
	return c
}

// Stall returns the time without progress after which a body is given up.
func (c CallerLimits) Stall() time.Duration { return time.Duration(c.StallMs) * time.Millisecond }

// Listen holds the addresses that the process listens on.
type Listen struct {
	Peers         string `yaml:"peers"`         // connections from the owner of the jobs
	Advertise     string `yaml:"advertise"`     // address at which other processes reach Peers, default Peers
	Callers       string `yaml:"callers"`       // entries only
	Readiness     string `yaml:"readiness"`     // entries only
	Registrations string `yaml:"registrations"` // agents only
	Metrics       string `yaml:"metrics"`       // IP address; the program sets the port
}

// PeerAddr returns the address at which other processes reach this process: Advertise, or Peers if Advertise is empty.
func (l *Listen) PeerAddr() string {
	if l.Advertise != "" {
		return l.Advertise
	}
	return l.Peers
}

// Colocation says how serving and best-effort tasks share workers.
type Colocation struct {
	PackServing bool `yaml:"pack_serving"` // place serving tasks on few workers, so that the others take any best-effort task
}

// Bounds holds the time limits of the deployment.
type Bounds struct {
	MaxHoldMs     int64 `yaml:"max_hold_ms"`     // maximum hold on a worker's runs
	StopTimeoutMs int64 `yaml:"stop_timeout_ms"` // maximum time that stopping a run takes
	GraceS        int64 `yaml:"grace_s"`         // time between the request to stop and the forced end of the process
	StatusS       int64 `yaml:"status_s"`        // time for which the state of ended jobs must be available
}

// holdFraction is the fraction of the maximum hold that Hold returns. The margin ensures that no hold is cut short at the
// maximum, even if the hold is counted from the time of its arrival at the worker.
const holdFraction = 0.8

// Hold returns the time for which a worker continues a run without a renewal of the run's hold.
func (b Bounds) Hold() time.Duration {
	return time.Duration(float64(b.MaxHoldMs)*holdFraction) * time.Millisecond
}

// StopTimeout returns the maximum time that stopping a run takes.
func (b Bounds) StopTimeout() time.Duration { return time.Duration(b.StopTimeoutMs) * time.Millisecond }

// Grace returns the time between the request to stop and the forced end of the process.
func (b Bounds) Grace() time.Duration { return time.Duration(b.GraceS) * time.Second }

// retentionFactor adds a margin to StatusS, the time for which the deployment requires the state of ended jobs.
const retentionFactor = 1.25

// Retention returns the time for which the state of an ended job is kept.
func (b Bounds) Retention() time.Duration {
	return time.Duration(float64(b.StatusS)*retentionFactor) * time.Second
}

// Load reads and validates a settings file. If forAgent is true, the settings of an agent are required, otherwise those of an
// entry.
func Load(path string, forAgent bool) (Process, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Process{}, eris.Wrap(err, "read settings")
	}
	var p Process
	if err := yaml.Unmarshal(data, &p); err != nil {
		return Process{}, eris.Wrapf(err, "settings file %s", path)
	}
	return p, eris.Wrapf(p.Validate(forAgent), "settings file %s", path)
}

// Validate returns an error that names one invalid field, or nil if all fields are valid. If forAgent is true, the settings of
// an agent are required, otherwise those of an entry.
func (p *Process) Validate(forAgent bool) error {
	if p.Name == "" {
		return eris.New("name: missing")
	}
	addrByField := map[string]string{"listen.peers": p.Listen.Peers, "store": p.Store}
	if forAgent {
		addrByField["worker"], addrByField["listen.registrations"] = p.Worker, p.Listen.Registrations
	} else {
		addrByField["listen.callers"], addrByField["listen.readiness"] = p.Listen.Callers, p.Listen.Readiness
	}
	if p.Listen.Advertise != "" {
		addrByField["listen.advertise"] = p.Listen.Advertise
	}
	for field, addr := range addrByField {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return eris.Errorf("%s: %q is not an IP address with a port", field, addr)
		}
	}
	positive := map[string]int64{
		"memory_mb": p.MemoryMB, "bounds.max_hold_ms": p.Bounds.MaxHoldMs, "bounds.stop_timeout_ms": p.Bounds.StopTimeoutMs,
		"bounds.grace_s": p.Bounds.GraceS, "bounds.status_s": p.Bounds.StatusS,
	}
	if s := p.SilentStore; s != nil {
		positive["silent_store.max_held"], positive["silent_store.max_held_kb"] = int64(s.MaxHeld), int64(s.MaxHeldKB)
	}
	for field, v := range positive {
		if v <= 0 {
			return eris.Errorf("%s: must be positive, is %d", field, v)
		}
	}
	if p.Evacuation.ApplyMs < 0 {
		return eris.Errorf("evacuation.apply_ms: must not be negative, is %d", p.Evacuation.ApplyMs)
	}
	for field, v := range map[string]int64{
		"max_fds": p.MaxFDs, "caller_limits.body_mb": p.CallerLimits.BodyMB, "caller_limits.connections": int64(p.CallerLimits.Connections),
		"caller_limits.stall_ms": p.CallerLimits.StallMs, "caller_limits.min_bytes_per_s": p.CallerLimits.MinBytesPerS,
	} {
		if v < 0 {
			return eris.Errorf("%s: must not be negative, is %d", field, v)
		}
	}
	return nil
}
