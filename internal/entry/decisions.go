package entry

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"bamboofork/internal/route"
	"bamboofork/internal/wire"
)

// PathDecisions is the prefix of the path at which an entry serves the routing decisions of a request. The request's ID
// follows the prefix. Only the entry that routed the request has its decisions.
const PathDecisions = "/v1/decisions/"

// maxDecisions is the number of records that the decision log holds. Its records of about 600 bytes take 5 MB in total.
const maxDecisions = 8 << 10

// decisionRecord is one routing decision or the outcome of a request.
type decisionRecord struct {
	requestID  string
	branch     string
	attempt    int
	recordedAt time.Time
	decision   route.Decision // rendered as text only on lookup
	outcome    wire.Outcome   // set on the last record of a request only
	reason     string
}

// decisionLog is a ring buffer of the most recent decisions of an entry. Once ring is full, oldestIndex is the index of its
// oldest record, which the next record overwrites. mu guards both fields.
type decisionLog struct {
	mu          sync.Mutex
	ring        []decisionRecord
	oldestIndex int
}

func (l *decisionLog) add(record decisionRecord) {
	record.recordedAt = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ring) < maxDecisions {
		l.ring = append(l.ring, record)
		return
	}
	l.ring[l.oldestIndex] = record
	l.oldestIndex = (l.oldestIndex + 1) % maxDecisions
}

// Explanation is the JSON form of a routing decision or of a request's outcome.
type Explanation struct {
	At       time.Time    `json:"at"`
	Branch   string       `json:"branch"`
	Attempt  int          `json:"attempt,omitempty"`
	Decision string       `json:"decision,omitempty"`
	Outcome  wire.Outcome `json:"outcome,omitempty"`
	Reason   string       `json:"reason,omitempty"`
}

// find returns the records of a request, oldest first. It scans the whole ring, which is fast enough for rare lookups.
func (l *decisionLog) find(requestID string) []Explanation {
	l.mu.Lock()
	records := []decisionRecord{}
	for i := range l.ring {
		if record := l.ring[(l.oldestIndex+i)%len(l.ring)]; record.requestID == requestID {
			records = append(records, record)
		}
	}
	l.mu.Unlock()
	explanations := make([]Explanation, len(records))
	for i, record := range records {
		explanations[i] = Explanation{At: record.recordedAt, Branch: record.branch, Attempt: record.attempt, Outcome: record.outcome,
			Reason: record.reason}
		if record.outcome == "" {
			explanations[i].Decision = record.decision.Explain()
		}
	}
	return explanations
}

func (e *Entry) handleDecisions(c echo.Context) error {
	explanations := e.decisions.find(c.Param("id"))
	if len(explanations) == 0 {
		return writeProblem(c, http.StatusNotFound, "", "",
			"this entry does not remember the request; ask the one named by the answer's Bf-Entry header")
	}
	return c.JSON(http.StatusOK, explanations)
}

func (e *Entry) handleTaskDecisions(c echo.Context) error {
	index, err := strconv.Atoi(c.Param("index"))
	if err != nil {
		return writeProblem(c, http.StatusBadRequest, "", "", "the task is a number from 0")
	}
	records, result := e.TaskDecisions(c.Request().Context(), c.Param("id"), index)
	if result.Code != wire.CodeOK {
		return jobProblem(c, result)
	}
	return c.JSON(http.StatusOK, records)
}
