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

// PathDecisions is the path prefix of the routing decisions of a request, served by the entry that routed it.
const PathDecisions = "/v1/decisions/"

// maxDecisions is the capacity of the decision log. At about 600 bytes each, the records take 5 MB.
const maxDecisions = 8 << 10

// decisionRecord is one routing decision or the outcome of a request.
type decisionRecord struct {
	id       string
	branch   string
	attempt  int
	at       time.Time
	decision route.Decision // rendered as text only on lookup
	outcome  wire.Outcome   // set on the last record of a request only
	reason   string
}

// decisionLog is a ring buffer of the most recent decisions of an entry. mu guards ring and next.
type decisionLog struct {
	mu   sync.Mutex
	ring []decisionRecord
	next int
}

func (l *decisionLog) add(r decisionRecord) {
	r.at = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ring) < maxDecisions {
		l.ring = append(l.ring, r)
		return
	}
	l.ring[l.next] = r
	l.next = (l.next + 1) % maxDecisions
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

// find returns the records of a request, oldest first. It scans the whole ring; lookups are rare.
func (l *decisionLog) find(id string) []Explanation {
	l.mu.Lock()
	found := []decisionRecord{}
	for i := range l.ring {
		if r := l.ring[(l.next+i)%len(l.ring)]; r.id == id {
			found = append(found, r)
		}
	}
	l.mu.Unlock()
	explanations := make([]Explanation, len(found))
	for i, r := range found {
		explanations[i] = Explanation{At: r.at, Branch: r.branch, Attempt: r.attempt, Outcome: r.outcome, Reason: r.reason}
		if r.outcome == "" {
			explanations[i].Decision = r.decision.Explain()
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
	records, res := e.TaskDecisions(c.Request().Context(), c.Param("id"), index)
	if res.Code != wire.CodeOK {
		return jobProblem(c, res)
	}
	return c.JSON(http.StatusOK, records)
}
