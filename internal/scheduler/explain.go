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

// Record is one decision about a task, such as a placement, refusal, throttling or eviction. What names the decision, Why gives
// the reason.
type Record struct {
	At   time.Time `json:"at"`
	Task string    `json:"task"`
	What string    `json:"what"`
	Why  string    `json:"why"`
}

// Limits of a History.
const (
	maxRecordsPerTask = 4    // records kept per task
	maxHistoryTasks   = 4096 // number of tasks whose records are kept
)

// History keeps the latest decisions of each task. If it has too many tasks, it evicts the task with the oldest first record.
// A History is safe for concurrent use.
type History struct {
	mu            sync.Mutex
	recordsByTask map[string][]Record
	taskOrder     []string // task names in the order of their first record
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{recordsByTask: map[string][]Record{}} }

// Add appends a decision. A decision equal to the task's latest one replaces that record, so that repeated decisions about a
// pending task do not evict the earlier ones.
func (h *History) Add(r Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	records, hasRecords := h.recordsByTask[r.Task]
	if !hasRecords {
		h.taskOrder = append(h.taskOrder, r.Task)
		h.evictOldestTasks()
	}
	if count := len(records); count > 0 && records[count-1].What == r.What && records[count-1].Why == r.Why {
		records[count-1] = r
		return
	}
	records = append(records, r)
	if len(records) > maxRecordsPerTask {
		records = append([]Record(nil), records[len(records)-maxRecordsPerTask:]...)
	}
	h.recordsByTask[r.Task] = records
}

func (h *History) evictOldestTasks() {
	for len(h.taskOrder) > maxHistoryTasks {
		delete(h.recordsByTask, h.taskOrder[0])
		h.taskOrder = h.taskOrder[1:]
	}
}

// Records returns the decisions about a task, latest last.
func (h *History) Records(task string) []Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Record(nil), h.recordsByTask[task]...)
}
