package scheduler

import (
	"fmt"
	"strings"
)

// Code is the verdict of a plugin.
type Code uint8

// Codes of a Status.
const (
	// Success: the plugin has no objection.
	Success Code = iota
	// Unschedulable: not now; a change of the fleet can resolve it.
	Unschedulable
	// Unresolvable: not on this worker, whatever else ends; preemption does not help.
	Unresolvable
)

// Status is the verdict of a plugin with its reason. The zero value is Success.
type Status struct {
	Code   Code
	Plugin string
	Reason string
}

// OK reports whether the plugin has no objection.
func (s Status) OK() bool { return s.Code == Success }

// ReasonCount is a reason with the number of workers that it excluded.
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

// maxCandidates bounds the candidates that a Decision keeps for its explanation.
const maxCandidates = 3

// Decision is the outcome for one task, with what is needed to explain it.
type Decision struct {
	Task       string
	Node       *NodeInfo // a copy; nil if the task was not placed
	Score      float64
	Rejected   []ReasonCount
	RunnersUp  []Candidate // best candidates that were not chosen, at most maxCandidates
	Examined   int         // workers looked at
	Fleet      int         // workers known
	Backfilled bool        // placed ahead of a reservation of another task
	Note       string      // what happens next, empty if nothing
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

// onlyRoom reports whether room was the only objection of some worker, so that waiting or preemption helps.
func (d *Decision) onlyRoom() bool {
	for _, r := range d.Rejected {
		if r.Plugin == fitName && r.Code == Unschedulable {
			return true
		}
	}
	return false
}

// Reasons renders the rejections, such as "fit: no room now (11)".
func (d *Decision) Reasons() string {
	parts := make([]string, len(d.Rejected))
	for i, r := range d.Rejected {
		parts[i] = fmt.Sprintf("%s: %s (%d)", r.Plugin, r.Reason, r.Count)
	}
	return strings.Join(parts, ", ")
}

// Explain renders the decision as one line that answers why the task is, or is not, placed.
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
