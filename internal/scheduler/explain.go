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

// Record is one decision about a task: a placement, a refusal, a throttle or an eviction.
type Record struct {
	At   time.Time `json:"at"`
	Task string    `json:"task"`
	What string    `json:"what"`
	Why  string    `json:"why"`
}

// Bounds of a History.
const (
	historyPerTask = 4
	historyTasks   = 4096
)

// History keeps the newest decisions by task, with the oldest tasks dropped first. It is safe for concurrent use.
type History struct {
	mu    sync.Mutex
	tasks map[string][]Record
	order []string // tasks by first record, oldest first
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{tasks: map[string][]Record{}} }

// Add appends a decision. A repeat of the newest decision replaces it, so that a waiting task keeps its older ones.
func (h *History) Add(r Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	list, known := h.tasks[r.Task]
	if !known {
		h.order = append(h.order, r.Task)
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
	for len(h.order) > historyTasks {
		delete(h.tasks, h.order[0])
		h.order = h.order[1:]
	}
}

// Of returns the decisions about a task, newest last.
func (h *History) Of(task string) []Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Record(nil), h.tasks[task]...)
}
