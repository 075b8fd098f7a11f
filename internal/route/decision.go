package route

import (
	"fmt"
	"strings"
	"time"
)

// TriedServers lists the IDs of servers that a request has already been sent to. The list is short, so a linear search is enough.
type TriedServers []string

func (t TriedServers) has(id string) bool {
	for _, x := range t {
		if x == id {
			return true
		}
	}
	return false
}

// Candidate is a candidate server that a policy evaluated.
type Candidate struct {
	Server            *Server
	Cost              time.Duration // estimated response time plus crossDomainPenalty for remote servers; 0 without an estimate
	EstimatedRequests float64       // estimated number of requests at the server
	Reason            string        // why the server is not eligible; "" if the server is eligible
}

// maxRecordedCandidates is the maximum number of candidates kept for Decision.Explain.
const maxRecordedCandidates = 8

// Decision is the result of a pick, with the candidates that explain the choice.
type Decision struct {
	Policy          string
	Chosen          *Server // nil if no server was chosen
	NotChosenReason string  // why no server was chosen
	CrossDomain     bool    // the chosen server is not in the entry's failure domain
	candidates      [maxRecordedCandidates]Candidate
	candidateCount  int
}

// setChosen records the chosen server and counts the request as in flight to it.
func (d *Decision) setChosen(s *Server, now time.Time) {
	d.Chosen = s
	d.CrossDomain = !s.isLocal
	s.state.inflight.Add(1)
}

func (d *Decision) record(c Candidate) {
	if d.candidateCount < maxRecordedCandidates {
		d.candidates[d.candidateCount] = c
		d.candidateCount++
	}
}

// RequestsPerSlot returns the estimated requests per slot at the chosen server, without this request. It returns 0 if the chosen
// server is not among the recorded candidates.
func (d *Decision) RequestsPerSlot() float64 {
	for _, c := range d.candidates[:d.candidateCount] {
		if c.Server == d.Chosen && c.Reason == "" {
			return c.EstimatedRequests / float64(max(1, c.Server.Load.Slots))
		}
	}
	return 0
}

// Explain renders the decision as one line.
func (d *Decision) Explain() string {
	var b strings.Builder
	b.WriteString(d.Policy + ": ")
	if d.Chosen == nil {
		b.WriteString(d.NotChosenReason)
	} else {
		b.WriteString("chose " + d.Chosen.ID)
	}
	for i, c := range d.candidates[:d.candidateCount] {
		sep := ", "
		if i == 0 {
			sep = "; looked at "
		}
		fmt.Fprintf(&b, "%s%s (%s)", sep, c.Server.ID, c.describe())
	}
	return b.String()
}

func (c Candidate) describe() string {
	if c.Reason != "" {
		return c.Reason
	}
	location := "same domain"
	if !c.Server.isLocal {
		location = "domain " + c.Server.Domain
	}
	return fmt.Sprintf("cost %s, load %.1f of %d, %s", c.Cost.Round(10*time.Microsecond), c.EstimatedRequests, c.Server.Load.Slots, location)
}
