// Package scheduler places batch tasks. It is pure: a snapshot of the workers and a
// task in, a decision out. Several schedulers work at once on stale snapshots; the
// agent on the chosen host admits or refuses.
package scheduler

import (
	"fmt"

	"bamboofork/internal/worker"
)

// NodeInfo is one worker as a scheduler sees it. Free is stale by up to the load report interval.
type NodeInfo struct {
	ID          string
	Incarnation int64
	Addr        string
	Domain      string
	Rack        string
	Capacity    worker.Resources
	Free        worker.Resources
	QuickLoad   float64 // share of the backend server's slots in use, 0 to 1
	Quarantined bool
}

// TaskInfo is a task to be placed.
type TaskInfo struct {
	Ref      worker.Ref
	JobID    string
	Kind     string
	Team     string
	Need     worker.Resources
	Priority int
	Avoid    map[string]bool // workers that failed or refused it lately
}

// Status is the verdict of a filter plugin.
type Status struct {
	OK     bool
	Reason string
}

// Success is the Status of a worker that passes.
var Success = Status{OK: true}

// Rejected returns the Status of a worker that does not pass.
func Rejected(reason string) Status { return Status{Reason: reason} }

// FilterPlugin decides whether a worker can run a task at all.
type FilterPlugin interface {
	Name() string
	Filter(task *TaskInfo, node *NodeInfo) Status
}

// ScorePlugin rates a worker for a task, 0 (worst) to 1 (best).
type ScorePlugin interface {
	Name() string
	Score(task *TaskInfo, node *NodeInfo) float64
}

// WeightedScore is a score plugin with its weight.
type WeightedScore struct {
	Plugin ScorePlugin
	Weight float64
}

// Decision is the outcome for one task, with what is needed to explain it.
type Decision struct {
	Node     *NodeInfo // nil if no worker passes
	Score    float64
	Rejected map[string]int // reason -> number of workers
	Examined int
}

// Explain renders the decision as one line.
func (d Decision) Explain() string {
	if d.Node == nil {
		return fmt.Sprintf("no worker of %d fits: %v", d.Examined, d.Rejected)
	}
	return fmt.Sprintf("worker %s with score %.3f of %d examined, rejected %v", d.Node.ID, d.Score, d.Examined, d.Rejected)
}

// Scheduler runs the plugins over a snapshot.
type Scheduler struct {
	Filters []FilterPlugin
	Scores  []WeightedScore
}

// Default returns a scheduler with the built-in plugins.
func Default() *Scheduler {
	return &Scheduler{
		Filters: []FilterPlugin{fitFilter{}, quarantineFilter{}, avoidFilter{}},
		Scores:  []WeightedScore{{quickLoadScore{}, 2}, {balanceScore{}, 1}},
	}
}

// Place picks the best worker for the task and reserves its need in the snapshot.
func (s *Scheduler) Place(nodes []NodeInfo, task *TaskInfo) Decision {
	d := Decision{Rejected: map[string]int{}}
	for i := range nodes {
		n := &nodes[i]
		d.Examined++
		if st := s.filter(task, n); !st.OK {
			d.Rejected[st.Reason]++
			continue
		}
		if score := s.score(task, n); d.Node == nil || score > d.Score {
			d.Node, d.Score = n, score
		}
	}
	if d.Node != nil {
		d.Node.Free = d.Node.Free.Sub(task.Need)
	}
	return d
}

func (s *Scheduler) filter(task *TaskInfo, n *NodeInfo) Status {
	for _, f := range s.Filters {
		if st := f.Filter(task, n); !st.OK {
			return st
		}
	}
	return Success
}

func (s *Scheduler) score(task *TaskInfo, n *NodeInfo) float64 {
	total := 0.0
	for _, p := range s.Scores {
		total += p.Weight * p.Plugin.Score(task, n)
	}
	return total
}
