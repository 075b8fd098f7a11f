package queues

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
	"unicode"

	"bamboofork/internal/jobs"
)

// Severity orders findings. A manifest with a finding of the severity Error should not be sent.
type Severity string

// Severities of a Finding.
const (
	Error   Severity = "error"   // the entry cannot work as it is written
	Warning Severity = "warning" // the entry works for some requests only, or contradicts another value
	Change  Severity = "change"  // the entry differs from the manifest in force
)

// Finding is one result of a check of a manifest.
type Finding struct {
	Line     int      `json:"line,omitempty"` // of the entry in the file, counted from 1; 0: the finding belongs to no entry
	Severity Severity `json:"severity"`
	Entry    string   `json:"entry"` // name of the route or limit
	Message  string   `json:"message"`
}

// Draft is a manifest that is to be checked before it is sent.
type Draft struct {
	Manifest *Manifest
	Lines    []int           // line of each route of the manifest
	Services map[string]bool // services of the manifest; nil: it names none
	Findings []Finding       // what could not be decoded
}

// report collects findings.
type report struct{ findings []Finding }

func (r *report) add(line int, severity Severity, entry, format string, args ...any) {
	r.findings = append(r.findings, Finding{Line: line, Severity: severity, Entry: entry, Message: fmt.Sprintf(format, args...)})
}

// byLine returns the findings ordered by line.
func (r *report) byLine() []Finding {
	slices.SortStableFunc(r.findings, func(a, b Finding) int { return cmp.Compare(a.Line, b.Line) })
	return r.findings
}

// Check returns what is wrong with the manifest, ordered by line.
func (d *Draft) Check() []Finding {
	r := &report{findings: slices.Clone(d.Findings)}
	if d.Manifest.Version <= 0 {
		r.add(0, Error, "version", "version %d: must be positive", d.Manifest.Version)
	}
	d.checkRoutes(r)
	d.checkMatching(r)
	d.checkLimits(r)
	return r.byLine()
}

// checkRoutes checks the values of each route by themselves.
func (d *Draft) checkRoutes(r *report) {
	lineByName := map[string]int{}
	for i := range d.Manifest.Routes {
		route, line := &d.Manifest.Routes[i], d.Lines[i]
		name := route.Queue.Name
		if first, taken := lineByName[name]; name == "" {
			r.add(line, Error, name, "the route has no name")
		} else if taken {
			r.add(line, Error, name, "the name is taken by the route in line %d", first)
		} else {
			lineByName[name] = line
		}
		if service := route.Queue.Service; service == "" {
			r.add(line, Error, name, "the route has no service")
		} else if d.Services != nil && !d.Services[service] {
			r.add(line, Error, name, "service %s is not in the manifest: no worker runs its tasks", service)
		}
		if route.Timeout < 0 || route.Queue.TargetMs < 0 || route.Queue.Priority < 0 || route.Queue.MaxAttempts < 0 {
			r.add(line, Error, name, "a timeout, target, priority or number of attempts is negative")
		}
		if route.Queue.Stretch != 0 && route.Queue.Stretch < 1 {
			r.add(line, Error, name, "stretch %g: a job would have less time than its tasks take", route.Queue.Stretch)
		}
		if target := time.Duration(route.Queue.TargetMs) * time.Millisecond; route.Timeout > 0 && route.Timeout < target {
			r.add(line, Warning, name, "timeout %s is shorter than the target latency %s: callers leave while the answer is still in time", route.Timeout, target)
		}
		if queue := &route.Queue; queue.TicketMs > 0 && queue.TicketMs <= queue.AdviceMs+queue.AdvicePerWorkerMs {
			r.add(line, Warning, name, "tickets are valid for %d ms, less than the decision about one worker takes", queue.TicketMs)
		}
	}
}

// checkMatching finds routes that no request, or not every request, can reach.
func (d *Draft) checkMatching(r *report) {
	for i := range d.Manifest.Routes {
		route, line, name := &d.Manifest.Routes[i], d.Lines[i], d.Manifest.Routes[i].Queue.Name
		switch {
		case route.Host == "":
			r.add(line, Error, name, "the route has no host and can never match")
			continue
		case strings.ContainsAny(route.Host, ":/ "):
			r.add(line, Error, name, "host %q can never match: requests are matched by the host without its port", route.Host)
			continue
		case strings.IndexFunc(route.Host, unicode.IsUpper) >= 0:
			r.add(line, Warning, name, "host %q matches only requests that spell it with the same capitals", route.Host)
		}
		if !strings.HasPrefix(route.Prefix, "/") || strings.ContainsAny(route.Prefix, "?# ") {
			r.add(line, Error, name, "prefix %q can never match a path", route.Prefix)
			continue
		}
		for k := range d.Manifest.Routes {
			other := &d.Manifest.Routes[k]
			if k == i || other.Host != route.Host {
				continue
			}
			switch rest, longer := strings.CutPrefix(other.Prefix, route.Prefix); {
			case !longer:
			case rest == "" && k < i:
				r.add(line, Error, name, "can never match: route %s in line %d has the same host and prefix", other.Queue.Name, d.Lines[k])
			case rest != "" && isHex(rest):
				r.add(line, Warning, name, "jobs whose id begins with %q go to route %s in line %d, whose prefix is longer", rest, other.Queue.Name, d.Lines[k])
			}
		}
	}
}

// isHex reports whether the text can be the beginning of a job ID.
func isHex(text string) bool {
	return len(text) <= 16 && strings.Trim(text, "0123456789abcdefABCDEF") == ""
}

const (
	// jobOverheadBytes is the size of a job of one step without its payload.
	jobOverheadBytes = 256
	// requestHeaderBytes is the size of the headers of a usual request.
	requestHeaderBytes = 512
)

// checkLimits finds limits that contradict each other or the jobs that callers may submit. A limit of 0 is not set.
func (d *Draft) checkLimits(r *report) {
	limits := &d.Manifest.Limits
	if limits.BodyBytes != 0 && limits.BodyBytes < jobs.MaxPayload+jobOverheadBytes {
		r.add(0, Error, "body limit", "%d bytes: a job may have a payload of %d bytes", limits.BodyBytes, jobs.MaxPayload)
	}
	if limits.BodyBytes > jobs.MaxEncodedBytes {
		r.add(0, Warning, "body limit", "%d bytes: jobs of more than %d bytes are refused whatever the limit", limits.BodyBytes, jobs.MaxEncodedBytes)
	}
	if limits.HeaderBytes != 0 && limits.HeaderBytes < requestHeaderBytes {
		r.add(0, Error, "header limit", "%d bytes: the headers of a usual request are longer", limits.HeaderBytes)
	}
	if limits.HeaderTimeout < 0 || limits.IdleTimeout < 0 {
		r.add(0, Error, "timeouts of connections", "a timeout is negative")
	}
	if limits.IdleTimeout > 0 && limits.IdleTimeout < limits.HeaderTimeout {
		r.add(0, Warning, "idle timeout", "%s is shorter than the header timeout %s", limits.IdleTimeout, limits.HeaderTimeout)
	}
}

// CompareWith returns what the manifest changes in the one in force, ordered by line. Routes are compared by name.
func (d *Draft) CompareWith(inForce *Draft) []Finding {
	r := &report{}
	if d.Manifest.Version <= inForce.Manifest.Version {
		r.add(0, Error, "version", "version %d is not higher than %d in force: every process ignores it", d.Manifest.Version, inForce.Manifest.Version)
	}
	if d.Manifest.Limits != inForce.Manifest.Limits {
		r.add(0, Change, "limits", "%+v, in force %+v", d.Manifest.Limits, inForce.Manifest.Limits)
	}
	previous := map[string]*Route{}
	for i := range inForce.Manifest.Routes {
		previous[inForce.Manifest.Routes[i].Queue.Name] = &inForce.Manifest.Routes[i]
	}
	for i := range d.Manifest.Routes {
		route := &d.Manifest.Routes[i]
		old := previous[route.Queue.Name]
		delete(previous, route.Queue.Name)
		switch {
		case old == nil:
			r.add(d.Lines[i], Change, route.Queue.Name, "added: %s%s", route.Host, route.Prefix)
		case *old != *route:
			r.add(d.Lines[i], Change, route.Queue.Name, "%s", describeChange(old, route))
		}
	}
	for i := range inForce.Manifest.Routes {
		if name := inForce.Manifest.Routes[i].Queue.Name; previous[name] != nil {
			r.add(0, Change, name, "removed: requests for %s%s get no queue, accepted jobs go on", previous[name].Host, previous[name].Prefix)
			delete(previous, name)
		}
	}
	return r.byLine()
}

// describeChange lists the values in which two routes of one name differ.
func describeChange(old, changed *Route) string {
	var parts []string
	add := func(field string, before, after any) {
		if before != after {
			parts = append(parts, fmt.Sprintf("%s %v, in force %v", field, after, before))
		}
	}
	add("host", old.Host, changed.Host)
	add("prefix", old.Prefix, changed.Prefix)
	add("timeout", old.Timeout, changed.Timeout)
	add("service", old.Queue.Service, changed.Queue.Service)
	add("priority", old.Queue.Priority, changed.Queue.Priority)
	add("attempts", old.Queue.MaxAttempts, changed.Queue.MaxAttempts)
	add("stretch", old.Queue.Stretch, changed.Queue.Stretch)
	add("target", old.Queue.TargetMs, changed.Queue.TargetMs)
	add("advice", [3]int64{old.Queue.AdviceMs, old.Queue.AdvicePerWorkerMs, old.Queue.TicketMs},
		[3]int64{changed.Queue.AdviceMs, changed.Queue.AdvicePerWorkerMs, changed.Queue.TicketMs})
	return strings.Join(parts, "; ")
}
