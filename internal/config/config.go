// Package config reads the settings file of one process: its addresses, failure
// domain, store and logging. The operators' tree of settings is package settings.
package config

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"go.yaml.in/yaml/v3"

	"bamboofork/internal/callers"
	"bamboofork/internal/route"
	"bamboofork/internal/worker"
)

// Listen holds the addresses that a process serves, as ip:port.
type Listen struct {
	Callers  string `yaml:"callers"`  // entries: caller API
	Control  string `yaml:"control"`  // calls of other processes
	Data     string `yaml:"data"`     // agents: forwarded requests
	Operator string `yaml:"operator"` // health, metrics, status
}

// Backend describes the backend server beside an agent.
type Backend struct {
	Name     string `yaml:"name"` // pool that it belongs to
	Addr     string `yaml:"addr"`
	Slots    int    `yaml:"slots"`     // requests that it runs at once
	Conns    int    `yaml:"conns"`     // connections that it accepts
	MaxQueue int    `yaml:"max_queue"` // waiting requests of one branch, default 128
}

// Worker describes the worker on an agent's host.
type Worker struct {
	URL     string           `yaml:"url"`
	Reserve worker.Resources `yaml:"reserve"` // kept for the backend server
}

// Process is the settings file of one process.
type Process struct {
	ID               string        `yaml:"id"`
	Region           string        `yaml:"region"`
	Domain           string        `yaml:"domain"`
	Rack             string        `yaml:"rack"`
	Listen           Listen        `yaml:"listen"`
	Store            string        `yaml:"store"`             // base URL
	StoreCredentials string        `yaml:"store_credentials"` // file with user:password for the store, default none
	Seeds            []string      `yaml:"seeds"`             // control addresses of some processes
	Partitions       int           `yaml:"partitions"`        // of the fleet, default 4
	MaxPartitions    int           `yaml:"max_partitions"`    // owned by this agent at most, default 2
	LeaseTTL         time.Duration `yaml:"lease_ttl"`         // store lease, default 10s
	OutageHold       time.Duration `yaml:"outage_hold"`       // default 15m
	Drain            time.Duration `yaml:"drain"`             // bound on a planned stop, default 30s
	LogLevel         string        `yaml:"log_level"`         // debug, info, warn or error; default info
	Routing          string        `yaml:"routing"`           // entries: cost, random or round-robin; default cost
	TrustedProxies   []string      `yaml:"trusted_proxies"`   // entries: prefixes of load balancers whose X-Forwarded-For is believed
	Backend          Backend       `yaml:"backend"`
	Worker           Worker        `yaml:"worker"`
	Advertise        Advertise     `yaml:"advertise"`            // addresses told to other processes, default the listening ones
	TLS              TLS           `yaml:"tls"`                  // between processes
	CallersTLS       TLS           `yaml:"callers_tls"`          // of the caller API; without ca
	Credentials      string        `yaml:"operator_credentials"` // file of operators' tokens; empty: operator endpoints are open
}

// Defaults of Process.
const (
	DefaultPartitions    = 4
	DefaultMaxPartitions = 2
	DefaultLeaseTTL      = 10 * time.Second
	DefaultOutageHold    = 15 * time.Minute
	DefaultDrain         = 30 * time.Second
	DefaultMaxQueue      = 128
	maxFileBytes         = 1 << 20
)

// FieldError is a fault in a settings file.
type FieldError struct {
	File  string
	Line  int
	Field string
	Msg   string
}

// Error implements error in the form file:line: field: message.
func (e FieldError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Msg)
}

// Load reads and validates a file. agent says whether the agent's sections are required.
func Load(file string, agent bool) (Process, error) {
	f, err := os.Open(file)
	if err != nil {
		return Process{}, eris.Wrap(err, "settings file")
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes))
	if err != nil {
		return Process{}, eris.Wrap(err, "settings file")
	}
	return Parse(file, data, agent)
}

var unknownField = regexp.MustCompile(`line (\d+): field (\S+) not found`)

// Parse decodes and validates settings. Unknown fields are refused.
func Parse(file string, data []byte, agent bool) (Process, error) {
	var p Process
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(&p); err != nil {
		return Process{}, decodeError(file, err)
	}
	p.setDefaults()
	var doc yaml.Node
	if err := yaml.Unmarshal(data, &doc); err != nil {
		return Process{}, decodeError(file, err)
	}
	return p, p.validate(file, &doc, agent)
}

func decodeError(file string, err error) error {
	if m := unknownField.FindStringSubmatch(err.Error()); m != nil {
		line, convErr := strconv.Atoi(m[1])
		if convErr == nil {
			return FieldError{File: file, Line: line, Field: m[2], Msg: "unknown field"}
		}
	}
	return fmt.Errorf("%s: %w", file, err)
}

func (p *Process) setDefaults() {
	p.Partitions = cmp.Or(p.Partitions, DefaultPartitions)
	p.MaxPartitions = cmp.Or(p.MaxPartitions, DefaultMaxPartitions)
	p.LeaseTTL = cmp.Or(p.LeaseTTL, DefaultLeaseTTL)
	p.OutageHold = cmp.Or(p.OutageHold, DefaultOutageHold)
	p.Drain = cmp.Or(p.Drain, DefaultDrain)
	p.LogLevel = cmp.Or(p.LogLevel, "info")
	p.Routing = cmp.Or(p.Routing, route.DefaultPolicy)
	p.Backend.MaxQueue = cmp.Or(p.Backend.MaxQueue, DefaultMaxQueue)
}

// maxPartitions keeps a partition number within the two hex digits of a job id.
const maxPartitions = 256

func (p *Process) validate(file string, doc *yaml.Node, agent bool) error {
	var errs []error
	check := func(ok bool, field, msg string) {
		if !ok {
			errs = append(errs, FieldError{File: file, Line: lineOf(doc, field), Field: field, Msg: msg})
		}
	}
	check(p.ID != "", "id", "a name is required")
	p.checkSecurity(check)
	check(p.Domain != "", "domain", "the failure domain is required")
	check(p.Listen.Control != "", "listen.control", "an address ip:port is required")
	check(p.Store != "", "store", "a base URL such as http://127.0.0.1:2379 is required")
	check(p.Partitions > 0 && p.Partitions <= maxPartitions, "partitions", "accepted: 1 to 256")
	check(p.LeaseTTL >= time.Second, "lease_ttl", "accepted: 1s or more")
	_, proxyErr := callers.ParseTrusted(p.TrustedProxies)
	check(proxyErr == nil, "trusted_proxies", "accepted: address prefixes such as 10.0.0.0/8")
	_, levelErr := zerolog.ParseLevel(p.LogLevel)
	check(levelErr == nil, "log_level", "accepted: debug, info, warn, error")
	if agent {
		check(p.Listen.Data != "", "listen.data", "an address ip:port is required")
		check(p.Backend.Name != "", "backend.name", "the pool of the backend server is required")
		check(p.Backend.Addr != "", "backend.addr", "an address ip:port is required")
		check(p.Backend.Slots > 0, "backend.slots", "accepted: 1 or more")
		check(p.Backend.Conns >= p.Backend.Slots, "backend.conns", "accepted: at least backend.slots")
		check(p.Worker.URL != "", "worker.url", "a base URL is required")
	} else {
		check(slices.Contains(route.Policies(), p.Routing), "routing", "accepted: "+strings.Join(route.Policies(), ", "))
		check(p.Listen.Callers != "", "listen.callers", "an address ip:port is required")
	}
	return errors.Join(errs...)
}

// lineOf finds the line of a dotted field, or of its nearest present parent.
func lineOf(doc *yaml.Node, field string) int {
	if len(doc.Content) == 0 {
		return 1
	}
	node, line := doc.Content[0], doc.Content[0].Line
	for _, name := range splitDots(field) {
		next := child(node, name)
		if next == nil {
			return line
		}
		node, line = next, next.Line
	}
	return line
}

func splitDots(s string) []string {
	var out []string
	for _, part := range bytes.Split([]byte(s), []byte(".")) {
		out = append(out, string(part))
	}
	return out
}

func child(n *yaml.Node, name string) *yaml.Node {
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == name {
			return n.Content[i+1]
		}
	}
	return nil
}
