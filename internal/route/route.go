// Package route chooses a backend server for a request at an entry. The entry sees
// each server's load late: from the headers of answers, from membership reports, and
// from what it has in flight itself.
package route

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"bamboofork/internal/membership"
)

// Members is the source of candidates.
type Members interface {
	Members() []membership.Status
}

// domainPenalty is the load, in slots' shares, that a server in another failure domain must be less loaded by. It
// stands for the delay and the cost of the link between the domains.
const domainPenalty = 0.25

// choices is the number of random candidates that are compared.
const choices = 2

// Candidate is a backend server with this entry's knowledge of it.
type Candidate struct {
	membership.Status
	Score float64
}

// Decision is a choice with what is needed to explain it.
type Decision struct {
	Chosen   *Candidate
	Rejected []string // "id: reason"
}

// Explain renders the decision as one line.
func (d Decision) Explain() string {
	chosen := "none"
	if d.Chosen != nil {
		chosen = fmt.Sprintf("%s with score %.2f", d.Chosen.ID, d.Chosen.Score)
	}
	return chosen + "; rejected " + strings.Join(d.Rejected, ", ")
}

type serverState struct {
	inflight int
	failures int
	until    time.Time // ejected until
}

// Balancer chooses servers for one entry. mu guards servers.
type Balancer struct {
	domain  string
	members Members

	mu      sync.Mutex
	servers map[string]*serverState
}

// New returns a balancer for an entry in the failure domain.
func New(domain string, members Members) *Balancer {
	return &Balancer{domain: domain, members: members, servers: map[string]*serverState{}}
}

// Pick chooses a server of the pool that is not in avoid. Done must be called with the outcome.
func (b *Balancer) Pick(pool string, avoid map[string]bool) Decision {
	d := Decision{}
	eligible := []Candidate{}
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range b.members.Members() {
		if m.Role != membership.RoleAgent || m.Load.Backend != pool {
			continue
		}
		if reason := b.reject(m, avoid, now); reason != "" {
			d.Rejected = append(d.Rejected, m.ID+": "+reason)
			continue
		}
		eligible = append(eligible, Candidate{Status: m, Score: b.score(m)})
	}
	rand.Shuffle(len(eligible), func(i, j int) { eligible[i], eligible[j] = eligible[j], eligible[i] })
	for i := range eligible[:min(choices, len(eligible))] {
		if d.Chosen == nil || eligible[i].Score < d.Chosen.Score {
			d.Chosen = &eligible[i]
		}
	}
	if d.Chosen != nil {
		b.state(d.Chosen.ID).inflight++
	}
	return d
}

func (b *Balancer) reject(m membership.Status, avoid map[string]bool, now time.Time) string {
	switch {
	case m.Leaving:
		return "leaving"
	case m.Suspect:
		return "suspected"
	case m.Load.BackendDown:
		return "backend server down"
	case avoid[m.ID]:
		return "already tried"
	case now.Before(b.state(m.ID).until):
		return "ejected"
	}
	return ""
}

// score estimates the load: reported use or this entry's own requests in flight, whichever is larger.
func (b *Balancer) score(m membership.Status) float64 {
	slots := float64(max(1, m.Load.Slots))
	load := float64(max(m.Load.SlotsBusy+m.Load.Queued, b.state(m.ID).inflight)) / slots
	if m.Domain != b.domain {
		load += domainPenalty
	}
	return load
}

func (b *Balancer) state(id string) *serverState {
	s := b.servers[id]
	if s == nil {
		s = &serverState{}
		b.servers[id] = s
	}
	return s
}

// Ejection of servers whose requests fail.
const (
	ejectAfter = 3 // consecutive failures
	ejectFor   = 3 * time.Second
)

// Done reports the outcome of a picked request.
func (b *Balancer) Done(id string, failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
	s.inflight--
	if !failed {
		s.failures = 0
		return
	}
	s.failures++
	if s.failures >= ejectAfter {
		s.failures = 0
		s.until = time.Now().Add(ejectFor)
	}
}
