package scheduler

import (
	"fmt"
	"sync"
	"time"

	"bamboofork/internal/worker"
)

func formatResources(r worker.Resources) string {
	return fmt.Sprintf("%g cores, %d MB, %d accelerators", r.Cores, r.MemoryMB, r.Accelerators)
}

// Record is one decision about a task, such as a placement, refusal, throttling or eviction.
type Record struct {
	At   time.Time `json:"at"`
	Task string    `json:"task"`
	What string    `json:"what"`
	Why  string    `json:"why"`
}

// Limits of a History.
const (
	historyPerTask = 4    // records per task
	historyTasks   = 4096 // tasks with records
)

// History keeps the latest decisions by task and evicts the oldest tasks first. It is safe for concurrent use.
type History struct {
	mu        sync.Mutex
	tasks     map[string][]Record
	taskOrder []string // task names in the order of their first record
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{tasks: map[string][]Record{}} }

// Add appends a decision. A repeat of the latest decision replaces it, so that the earlier decisions of a pending task are kept.
func (h *History) Add(r Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	list, known := h.tasks[r.Task]
	if !known {
		h.taskOrder = append(h.taskOrder, r.Task)
		h.trim()
	}
	if n := len(list); n > 0 && list[n-1].What == r.What && list[n-1].Why == r.Why {
		list[n-1] = r
		return
	}
	list = append(list, r)
	if len(list) > historyPerTask {
		list = append([]Record(nil), list[len(list)-historyPerTask:]...)
	}
	h.tasks[r.Task] = list
}

func (h *History) trim() {
	for len(h.taskOrder) > historyTasks {
		delete(h.tasks, h.taskOrder[0])
		h.taskOrder = h.taskOrder[1:]
	}
}

// Records returns the decisions about a task, latest last.
func (h *History) Records(task string) []Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Record(nil), h.tasks[task]...)
}
