// Package config reads the settings file of one process: its addresses, failure
// domain, store and logging. The tree of branch settings that operators edit at run
// time is in package settings.
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

// Listen holds the addresses that a process listens on, as ip:port.
type Listen struct {
	Callers  string `yaml:"callers"`  // caller API; entries only
	Control  string `yaml:"control"`  // RPCs of other processes
	Data     string `yaml:"data"`     // forwarded requests; agents only
	Operator string `yaml:"operator"` // health, metrics, status
}

// Backend describes the backend server on an agent's host.
type Backend struct {
	Name     string `yaml:"name"` // pool to which the backend server belongs
	Addr     string `yaml:"addr"`
	Slots    int    `yaml:"slots"`     // maximum number of concurrent requests
	Conns    int    `yaml:"conns"`     // maximum number of connections
	MaxQueue int    `yaml:"max_queue"` // maximum number of queued requests per branch, default 128
}

// Worker describes the worker on an agent's host.
type Worker struct {
	URL     string           `yaml:"url"`
	Reserve worker.Resources `yaml:"reserve"` // resources reserved for the backend server
}

// Process holds the settings of one process, as read from its settings file.
type Process struct {
	ID                  string        `yaml:"id"`
	Region              string        `yaml:"region"`
	Domain              string        `yaml:"domain"` // failure domain
	Rack                string        `yaml:"rack"`
	Listen              Listen        `yaml:"listen"`
	Store               string        `yaml:"store"`             // base URL
	StoreCredentials    string        `yaml:"store_credentials"` // file with user:password for the store, default none
	Seeds               []string      `yaml:"seeds"`             // control addresses of processes to contact on joining
	PartitionCount      int           `yaml:"partitions"`        // number of partitions in the whole fleet, default 4
	MaxPartitions       int           `yaml:"max_partitions"`    // maximum number of partitions that this agent owns, default 2
	LeaseTTL            time.Duration `yaml:"lease_ttl"`         // duration of a store lease, default 10s
	OutageHold          time.Duration `yaml:"outage_hold"`       // how long tasks keep running during a store outage, default 15m
	DrainTimeout        time.Duration `yaml:"drain"`             // time limit of a graceful shutdown, default 30s
	LogLevel            string        `yaml:"log_level"`         // debug, info, warn or error; default info
	Routing             string        `yaml:"routing"`           // cost, random or round-robin, default cost; entries only
	TrustedProxies      []string      `yaml:"trusted_proxies"`   // prefixes of load balancers whose X-Forwarded-For is trusted; entries only
	Backend             Backend       `yaml:"backend"`
	Worker              Worker        `yaml:"worker"`
	Advertise           Advertise     `yaml:"advertise"`            // addresses announced to other processes, default those in listen
	TLS                 TLS           `yaml:"tls"`                  // for connections between processes
	CallersTLS          TLS           `yaml:"callers_tls"`          // for the caller API; ca must be empty
	OperatorCredentials string        `yaml:"operator_credentials"` // file of operators' tokens; empty: operator endpoints are open
}

// Defaults of the settings in Process and Backend, and the maximum size of a settings file.
const (
	DefaultPartitionCount = 4
	DefaultMaxPartitions  = 2
	DefaultLeaseTTL       = 10 * time.Second
	DefaultOutageHold     = 15 * time.Minute
	DefaultDrainTimeout   = 30 * time.Second
	DefaultMaxQueue       = 128
	maxFileBytes          = 1 << 20
)

// FieldError is an error in a settings file.
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

// Load reads and validates a settings file. If forAgent is true, the settings of an agent are required, otherwise those of an
// entry.
func Load(file string, forAgent bool) (Process, error) {
	f, err := os.Open(file)
	if err != nil {
		return Process{}, eris.Wrap(err, "read settings file")
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes))
	if err != nil {
		return Process{}, eris.Wrap(err, "read settings file")
	}
	return Parse(file, data, forAgent)
}

var unknownFieldPattern = regexp.MustCompile(`line (\d+): field (\S+) not found`)

// Parse decodes and validates the content of a settings file and sets the defaults. Unknown fields are errors. The file name is
// used only in errors. If forAgent is true, the settings of an agent are required, otherwise those of an entry.
func Parse(file string, data []byte, forAgent bool) (Process, error) {
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
	return p, p.validate(file, &doc, forAgent)
}

// decodeError returns a FieldError for an unknown field. It adds the file name to any other decoding error.
func decodeError(file string, err error) error {
	if m := unknownFieldPattern.FindStringSubmatch(err.Error()); m != nil {
		line, convErr := strconv.Atoi(m[1])
		if convErr == nil {
			return FieldError{File: file, Line: line, Field: m[2], Msg: "unknown field"}
		}
	}
	return fmt.Errorf("%s: %w", file, err)
}

func (p *Process) setDefaults() {
	p.PartitionCount = cmp.Or(p.PartitionCount, DefaultPartitionCount)
	p.MaxPartitions = cmp.Or(p.MaxPartitions, DefaultMaxPartitions)
	p.LeaseTTL = cmp.Or(p.LeaseTTL, DefaultLeaseTTL)
	p.OutageHold = cmp.Or(p.OutageHold, DefaultOutageHold)
	p.DrainTimeout = cmp.Or(p.DrainTimeout, DefaultDrainTimeout)
	p.LogLevel = cmp.Or(p.LogLevel, "info")
	p.Routing = cmp.Or(p.Routing, route.DefaultPolicy)
	p.Backend.MaxQueue = cmp.Or(p.Backend.MaxQueue, DefaultMaxQueue)
}

// maxPartitions is the maximum number of partitions: a job ID encodes its partition in two hex digits.
const maxPartitions = 256

func (p *Process) validate(file string, doc *yaml.Node, forAgent bool) error {
	var errs []error
	require := func(ok bool, field, msg string) {
		if !ok {
			errs = append(errs, FieldError{File: file, Line: lineOf(doc, field), Field: field, Msg: msg})
		}
	}
	require(p.ID != "", "id", "a name is required")
	p.checkSecurity(require)
	require(p.Domain != "", "domain", "the failure domain is required")
	require(p.Listen.Control != "", "listen.control", "an address ip:port is required")
	require(p.Store != "", "store", "a base URL such as http://127.0.0.1:2379 is required")
	require(p.PartitionCount > 0 && p.PartitionCount <= maxPartitions, "partitions", "accepted: 1 to 256")
	require(p.LeaseTTL >= time.Second, "lease_ttl", "accepted: 1s or more")
	_, proxyErr := callers.ParseTrustedProxies(p.TrustedProxies)
	require(proxyErr == nil, "trusted_proxies", "accepted: address prefixes such as 10.0.0.0/8")
	_, levelErr := zerolog.ParseLevel(p.LogLevel)
	require(levelErr == nil, "log_level", "accepted: debug, info, warn, error")
	if forAgent {
		require(p.Listen.Data != "", "listen.data", "an address ip:port is required")
		require(p.Backend.Name != "", "backend.name", "the pool of the backend server is required")
		require(p.Backend.Addr != "", "backend.addr", "an address ip:port is required")
		require(p.Backend.Slots > 0, "backend.slots", "accepted: 1 or more")
		require(p.Backend.Conns >= p.Backend.Slots, "backend.conns", "accepted: at least backend.slots")
		require(p.Worker.URL != "", "worker.url", "a base URL is required")
	} else {
		require(slices.Contains(route.Policies(), p.Routing), "routing", "accepted: "+strings.Join(route.Policies(), ", "))
		require(p.Listen.Callers != "", "listen.callers", "an address ip:port is required")
	}
	return errors.Join(errs...)
}

// lineOf returns the line number of a field in the document. The field is a dotted path such as listen.control. If the document
// does not have the field, lineOf returns the line of the nearest ancestor.
func lineOf(doc *yaml.Node, field string) int {
	if len(doc.Content) == 0 {
		return 1
	}
	node, line := doc.Content[0], doc.Content[0].Line
	for _, name := range splitFieldPath(field) {
		next := mappingValue(node, name)
		if next == nil {
			return line
		}
		node, line = next, next.Line
	}
	return line
}

func splitFieldPath(s string) []string {
	var out []string
	for _, part := range bytes.Split([]byte(s), []byte(".")) {
		out = append(out, string(part))
	}
	return out
}

// mappingValue returns the value of the key called name in a YAML mapping, or nil if the mapping does not have the key.
func mappingValue(n *yaml.Node, name string) *yaml.Node {
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == name {
			return n.Content[i+1]
		}
	}
	return nil
}
