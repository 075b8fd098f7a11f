package scheduler

import (
	"fmt"
	"strings"
)

// Code is the result code of a plugin.
type Code uint8

// Result codes.
const (
	// Success means that the plugin accepts the task or worker.
	Success Code = iota
	// Unschedulable means a rejection that a change of the fleet can resolve.
	Unschedulable
	// Unresolvable means a rejection of this worker that neither ending tasks nor preemption can resolve.
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

// Candidate is a worker that passed the filters.
type Candidate struct {
	ID    string
	Score float64
}

// maxCandidates bounds the runners-up kept in a Decision.
const maxCandidates = 3

// Decision is the scheduling result for one task, with the data to explain it.
type Decision struct {
	Task       string
	Node       *NodeInfo // a copy; nil if the task was not placed
	Score      float64
	Rejected   []ReasonCount
	RunnersUp  []Candidate // best candidates that were not selected, at most maxCandidates
	Examined   int         // workers examined
	Fleet      int         // known workers
	Backfilled bool        // placed on a worker that is reserved for another task
	Note       string      // additional explanation, such as a reservation or preemption for the task
}

// Placed reports whether a worker was chosen.
func (d *Decision) Placed() bool { return d.Node != nil }

func (d *Decision) reject(st Status, count int) {
	for i := range d.Rejected {
		r := &d.Rejected[i]
		if r.Reason == st.Reason && r.Plugin == st.Plugin {
			r.Count += count
			return
		}
	}
	d.Rejected = append(d.Rejected, ReasonCount{Plugin: st.Plugin, Reason: st.Reason, Code: st.Code, Count: count})
}

// insufficientResources reports whether a worker was rejected only for lack of free resources, so that waiting or preemption can help.
func (d *Decision) insufficientResources() bool {
	for _, r := range d.Rejected {
		if r.Plugin == fitName && r.Code == Unschedulable {
			return true
		}
	}
	return false
}

// Reasons formats the rejections, such as "fit: no room now (11)".
func (d *Decision) Reasons() string {
	parts := make([]string, len(d.Rejected))
	for i, r := range d.Rejected {
		parts[i] = fmt.Sprintf("%s: %s (%d)", r.Plugin, r.Reason, r.Count)
	}
	return strings.Join(parts, ", ")
}

// Explain formats the decision as one line that states why the task was or was not placed.
func (d *Decision) Explain() string {
	var b strings.Builder
	if d.Node == nil {
		fmt.Fprintf(&b, "not placed: %d of %d workers examined", d.Examined, d.Fleet)
	} else {
		fmt.Fprintf(&b, "worker %s with score %.3f, %d of %d workers examined", d.Node.ID, d.Score, d.Examined, d.Fleet)
	}
	for _, c := range d.RunnersUp {
		fmt.Fprintf(&b, ", next %s %.3f", c.ID, c.Score)
	}
	if len(d.Rejected) > 0 {
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
