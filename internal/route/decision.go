package route

import (
	"fmt"
	"strings"
	"time"
)

// Avoid lists servers that a request has been tried at; it is short.
type Avoid []string

func (a Avoid) has(id string) bool {
	for _, x := range a {
		if x == id {
			return true
		}
	}
	return false
}

// Considered is a server that a policy looked at.
type Considered struct {
	Server *Server
	Cost   time.Duration // estimated time to the answer and the cost of the link; 0 if the policy has no estimate
	Load   float64       // estimated requests at the server
	Reason string        // why it is not eligible, "" if it is
}

// maxConsidered bounds the servers kept for the explanation.
const maxConsidered = 8

// Decision is a choice with what is needed to explain it.
type Decision struct {
	Policy     string
	Chosen     *Server // nil if there is none
	None       string  // why nothing was chosen
	Spilled    bool    // the choice left the entry's failure domain although it has servers there
	considered [maxConsidered]Considered
	count      int
}

func (d *Decision) choose(s *Server, now time.Time) {
	d.Chosen = s
	d.Spilled = !s.local
	s.state.inflight.Add(1)
}

func (d *Decision) note(c Considered) {
	if d.count < maxConsidered {
		d.considered[d.count] = c
		d.count++
	}
}

// Load returns the estimated requests per slot at the chosen server, this request not counted.
func (d *Decision) Load() float64 {
	for _, c := range d.considered[:d.count] {
		if c.Server == d.Chosen && c.Reason == "" {
			return c.Load / float64(max(1, c.Server.Load.Slots))
		}
	}
	return 0
}

// Explain renders the decision as one line.
func (d *Decision) Explain() string {
	var b strings.Builder
	b.WriteString(d.Policy + ": ")
	if d.Chosen == nil {
		b.WriteString(d.None)
	} else {
		b.WriteString("chose " + d.Chosen.ID)
	}
	for i, c := range d.considered[:d.count] {
		sep := ", "
		if i == 0 {
			sep = "; looked at "
		}
		fmt.Fprintf(&b, "%s%s (%s)", sep, c.Server.ID, c.describe())
	}
	return b.String()
}

func (c Considered) describe() string {
	if c.Reason != "" {
		return c.Reason
	}
	where := "same domain"
	if !c.Server.local {
		where = "domain " + c.Server.Domain
	}
	return fmt.Sprintf("cost %s, load %.1f of %d, %s", c.Cost.Round(10*time.Microsecond), c.Load, c.Server.Load.Slots, where)
}
