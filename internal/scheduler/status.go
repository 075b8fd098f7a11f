package scheduler

import (
	"fmt"
	"strings"
)

// Code is the result code of a plugin.
type Code uint8

// Result codes.
const (
	// Success means that the plugin accepts the task or the worker.
	Success Code = iota
	// Unschedulable means that the plugin rejects the task or the worker, but may accept it after a change of the fleet.
	Unschedulable
	// Unresolvable means that the plugin rejects the worker, and would also do so after tasks ended or were preempted.
	Unresolvable
)

// Status is the result of a plugin with its reason. The zero value is Success.
type Status struct {
	Code   Code
	Plugin string
	Reason string
}

// OK reports whether the plugin accepted the task or worker.
func (s Status) OK() bool { return s.Code == Success }

// ReasonCount is a rejection reason with the number of workers rejected for it.
type ReasonCount struct {
	Plugin string
	Reason string
	Code   Code
	Count  int
}

// Candidate is the ID of a worker that passed the filters, with its score.
type Candidate struct {
	ID    string
	Score float64
}

// maxRunnersUp bounds the length of Decision.RunnersUp.
const maxRunnersUp = 3

// Decision is the scheduling result for one task, with the data to explain it.
type Decision struct {
	Task          string
	Node          *NodeInfo     // copy of the selected worker's data; nil if the task was not placed
	Score         float64       // score of the selected worker
	Rejections    []ReasonCount // rejections by plugin and reason
	RunnersUp     []Candidate   // best candidates that were not selected, at most maxRunnersUp
	ExaminedCount int           // number of workers examined
	FleetSize     int           // number of known workers
	Backfilled    bool          // placed on a worker that is reserved for another task
	Note          string        // additional explanation, such as a reservation or preemption for the task
}

// Placed reports whether a worker was chosen.
func (d *Decision) Placed() bool { return d.Node != nil }

// reject records that count workers were rejected for the reason in the status.
func (d *Decision) reject(status Status, count int) {
	for i := range d.Rejections {
		rejection := &d.Rejections[i]
		if rejection.Reason == status.Reason && rejection.Plugin == status.Plugin {
			rejection.Count += count
			return
		}
	}
	d.Rejections = append(d.Rejections, ReasonCount{Plugin: status.Plugin, Reason: status.Reason, Code: status.Code, Count: count})
}

// insufficientResources reports whether a worker was rejected only for lack of free resources. Waiting or preemption can then help.
func (d *Decision) insufficientResources() bool {
	for _, rejection := range d.Rejections {
		if rejection.Plugin == fitName && rejection.Code == Unschedulable {
			return true
		}
	}
	return false
}

// Reasons formats the rejections, such as "fit: no room now (11)".
func (d *Decision) Reasons() string {
	parts := make([]string, len(d.Rejections))
	for i, rejection := range d.Rejections {
		parts[i] = fmt.Sprintf("%s: %s (%d)", rejection.Plugin, rejection.Reason, rejection.Count)
	}
	return strings.Join(parts, ", ")
}

// Explain formats the decision as one line that states why the task was or was not placed.
func (d *Decision) Explain() string {
	var b strings.Builder
	if d.Node == nil {
		fmt.Fprintf(&b, "not placed: %d of %d workers examined", d.ExaminedCount, d.FleetSize)
	} else {
		fmt.Fprintf(&b, "worker %s with score %.3f, %d of %d workers examined", d.Node.ID, d.Score, d.ExaminedCount, d.FleetSize)
	}
	for _, runnerUp := range d.RunnersUp {
		fmt.Fprintf(&b, ", next %s %.3f", runnerUp.ID, runnerUp.Score)
	}
	if len(d.Rejections) > 0 {
		fmt.Fprintf(&b, "; rejected by %s", d.Reasons())
	}
	if d.Backfilled {
		b.WriteString("; backfilled")
	}
	if d.Note != "" {
		b.WriteString("; " + d.Note)
	}
	return b.String()
}
