// Package settings implements the tree of settings that operators edit: its schema, inheritance, validation
// and differences, and the log of accepted edits in the store.
package settings

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Class is the service class of a branch. It selects how the work of the branch is served.
type Class string

// Service classes.
const (
	ClassQuick  Class = "quick"  // latency-critical request and response
	ClassStream Class = "stream" // long-lived response, counted against connections
	ClassBatch  Class = "batch"  // durable jobs
)

// Effective holds the settings of one branch after inheritance and defaults.
type Effective struct {
	Branch              string
	Class               Class
	Backend             string        // name of the backend server pool
	WorkKind            string        // name of a group of similar work; interference is learned for each such group
	Team                string        // team whose quota the batch work of the branch uses
	Idempotent          bool          // if false, a request runs at most once and needs an Idempotency-Key
	Weight              int           // fair share relative to siblings
	Deadline            time.Duration // default time limit of a whole request
	QueueTimeout        time.Duration // longest time a request may queue at a gate
	MaxConcurrency      int           // maximum number of requests in flight per entry; 0 means unlimited
	CallerRate          float64       // maximum rate of one caller in requests/s; 0 means unlimited
	RetryBudgetFraction float64       // maximum retries as a fraction of requests
	MaxBodyBytes        int64         // largest request body in bytes
	Priority            int           // 0 (least urgent) to 100 (most urgent)
	QuotaCores          float64       // maximum cores of the team's running batch tasks; 0 means unlimited
	QuotaMemoryMB       int64         // maximum megabytes of the team's running batch tasks; 0 means unlimited
	QuotaAccelerators   int           // maximum accelerators of the team's running batch tasks; 0 means unlimited
	HoldDuration        time.Duration // how long an agent may keep running a task after the last acknowledgement
	LatencyTarget       time.Duration // p99 latency above which batch work on the host is throttled; 0 means no target
	LogSampleFraction   float64       // fraction of routing decisions that are logged
	IsSingleCaller      bool          // the branch represents a single caller
}

// Field describes one setting of the schema.
type Field struct {
	Name        string
	Description string
	Unit        string // unit or form of the value; empty if the value has none
	Default     string
	Accepts     string                                 // the accepted values, for error messages and documentation
	set         func(e *Effective, value string) error // parses the value into the field of e
}

// Fields is the schema in documentation order.
var Fields = []Field{
	{"class", "how the work is served", "", "quick", "quick, stream or batch", setClass},
	{"backend", "backend server pool that serves the branch", "", "", "a name", func(e *Effective, v string) error { return setName(&e.Backend, v) }},
	{"kind", "kind of work, for interference learning", "", "", "a name", func(e *Effective, v string) error { return setName(&e.WorkKind, v) }},
	{"team", "owner of the quota", "", "", "a name", func(e *Effective, v string) error { return setName(&e.Team, v) }},
	{"idempotent", "whether a request may run more than once", "", "true", "true or false", func(e *Effective, v string) error { return setBool(&e.Idempotent, v) }},
	{"weight", "fair share relative to sibling branches", "", "10", "1 to 1000", func(e *Effective, v string) error { return setInt(&e.Weight, v, 1, 1000) }},
	{"deadline", "default time for a whole request", "duration", "2s", "1ms to 24h", func(e *Effective, v string) error { return setDuration(&e.Deadline, v, time.Millisecond, 24*time.Hour) }},
	{"queue_timeout", "longest wait at a gate", "duration", "500ms", "0s to 1h", func(e *Effective, v string) error { return setDuration(&e.QueueTimeout, v, 0, time.Hour) }},
	{"max_concurrency", "requests in flight per entry, 0: unlimited", "requests", "0", "0 to 1000000", func(e *Effective, v string) error { return setInt(&e.MaxConcurrency, v, 0, 1_000_000) }},
	{"caller_rate", "requests of one caller, 0: unlimited", "requests/s", "0", "0 to 1000000", func(e *Effective, v string) error { return setFloat(&e.CallerRate, v, 0, 1e6) }},
	{"retry_budget", "retries as a share of requests", "ratio", "0.1", "0 to 1", func(e *Effective, v string) error { return setFloat(&e.RetryBudgetFraction, v, 0, 1) }},
	{"body_limit", "largest request body", "bytes", "1048576", "0 to 1073741824", func(e *Effective, v string) error { return setInt64(&e.MaxBodyBytes, v, 0, 1<<30) }},
	{"priority", "urgency of batch work", "", "50", "0 to 100", func(e *Effective, v string) error { return setInt(&e.Priority, v, 0, 100) }},
	{"quota_cores", "cores of running batch tasks of the team, 0: unlimited", "cores", "0", "0 to 10000000", func(e *Effective, v string) error { return setFloat(&e.QuotaCores, v, 0, 1e7) }},
	{"quota_memory_mb", "memory of running batch tasks of the team, 0: unlimited", "MB", "0", "0 to 100000000000", func(e *Effective, v string) error { return setInt64(&e.QuotaMemoryMB, v, 0, 1e11) }},
	{"quota_accelerators", "accelerators of running batch tasks of the team, 0: unlimited", "accelerators", "0", "0 to 1000000", func(e *Effective, v string) error { return setInt(&e.QuotaAccelerators, v, 0, 1_000_000) }},
	{"hold", "how long an agent may run a task after an acknowledgement", "duration", "30s", "1s to 10m", func(e *Effective, v string) error {
		return setDuration(&e.HoldDuration, v, time.Second, 10*time.Minute)
	}},
	{"latency_target", "p99 above which batch work on the host is slowed, 0s: none", "duration", "0s", "0s to 1m", func(e *Effective, v string) error { return setDuration(&e.LatencyTarget, v, 0, time.Minute) }},
	{"log_sample", "share of routing decisions that are logged", "ratio", "1", "0 to 1", func(e *Effective, v string) error { return setFloat(&e.LogSampleFraction, v, 0, 1) }},
	{"caller", "the branch stands for a single caller", "", "false", "true or false", func(e *Effective, v string) error { return setBool(&e.IsSingleCaller, v) }},
}

// FieldByName returns the field of the schema with the given name, and whether there is such a field.
func FieldByName(name string) (Field, bool) {
	i := slices.IndexFunc(Fields, func(f Field) bool { return f.Name == name })
	if i < 0 {
		return Field{}, false
	}
	return Fields[i], true
}

// FieldNames returns the names of all fields in schema order.
func FieldNames() []string {
	names := make([]string, len(Fields))
	for i, f := range Fields {
		names[i] = f.Name
	}
	return names
}

// CheckValue validates the value of the named setting against the schema.
func CheckValue(name, value string) error {
	f, ok := FieldByName(name)
	if !ok {
		return fmt.Errorf("unknown setting %q; known settings: %s", name, strings.Join(FieldNames(), ", "))
	}
	var scratch Effective
	if err := f.set(&scratch, value); err != nil {
		return fmt.Errorf("setting %q: %q is not accepted (%s); accepted: %s", name, value, err, f.Accepts)
	}
	return nil
}

func setClass(e *Effective, v string) error {
	switch Class(v) {
	case ClassQuick, ClassStream, ClassBatch:
		e.Class = Class(v)
		return nil
	}
	return fmt.Errorf("unknown class")
}

const maxNameLength = 63

func setName(dst *string, v string) error {
	if v != "" && !validName(v) {
		return fmt.Errorf("a name has 1 to %d characters of a-z, 0-9, '-' and '_'", maxNameLength)
	}
	*dst = v
	return nil
}

func validName(v string) bool {
	if v == "" || len(v) > maxNameLength {
		return false
	}
	return !strings.ContainsFunc(v, func(c rune) bool {
		return !(c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-' || c == '_')
	})
}

func setBool(dst *bool, v string) error {
	switch v {
	case "true", "false":
		*dst = v == "true"
		return nil
	}
	return fmt.Errorf("not a boolean")
}

func setInt(dst *int, v string, low, high int) error {
	n, err := strconv.Atoi(v)
	if err != nil {
		return fmt.Errorf("not a whole number")
	}
	return setInRange(dst, n, low, high)
}

func setInt64(dst *int64, v string, low, high int64) error {
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		return fmt.Errorf("not a whole number")
	}
	return setInRange(dst, n, low, high)
}

func setFloat(dst *float64, v string, low, high float64) error {
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || n != n {
		return fmt.Errorf("not a number")
	}
	return setInRange(dst, n, low, high)
}

func setDuration(dst *time.Duration, v string, low, high time.Duration) error {
	d, err := time.ParseDuration(v)
	if err != nil {
		return fmt.Errorf("not a duration such as 250ms or 2s")
	}
	return setInRange(dst, d, low, high)
}

func setInRange[T int | int64 | float64 | time.Duration](dst *T, n, low, high T) error {
	if n < low || n > high {
		return fmt.Errorf("out of range")
	}
	*dst = n
	return nil
}
