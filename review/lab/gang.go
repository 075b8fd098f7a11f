package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// gang is one run of a gang whose members carry the same checkpoint.
type gang struct {
	members []*activeRun
	formed  bool
	over    bool
}

// gangBook lets the members of gangs find each other across the workers. Its lock is taken after that of a worker.
type gangBook struct {
	lab *lab

	mu     sync.Mutex
	byRun  map[string]*gang
	alones []aloneEnd
}

// aloneEnd is a member that has waited for the others in vain.
type aloneEnd struct {
	at   time.Time
	what string
}

func newGangBook(l *lab) *gangBook { return &gangBook{lab: l, byRun: map[string]*gang{}} }

// join adds a run to its gang. The gang begins its work when all members of one run with one checkpoint are present; a member that
// waits for longer than gangWait ends as alone. The caller holds the lock of the run's worker.
func (b *gangBook) join(r *activeRun) {
	b.mu.Lock()
	defer b.mu.Unlock()
	step := r.task[:strings.LastIndexByte(r.task, '.')]
	key := fmt.Sprintf("%s run %d from %q", step, r.run, r.checkpoint)
	g := b.byRun[key]
	if g == nil {
		g = &gang{}
		b.byRun[key] = g
	}
	r.gang = g
	g.members = append(g.members, r)
	if len(g.members) == r.spec.Gang {
		g.formed = true
		b.lab.rec.logf("gang %s is complete", key)
		go b.begin(g)
		return
	}
	time.AfterFunc(gangWait, func() { b.giveUp(r, key) })
}

// begin lets the members of a complete gang work.
func (b *gangBook) begin(g *gang) {
	for _, r := range g.members {
		r.worker.mu.Lock()
		if r.worker.active[r.task] == r {
			r.worker.work(r)
		}
		r.worker.mu.Unlock()
	}
}

// giveUp ends a member whose gang is not complete.
func (b *gangBook) giveUp(r *activeRun, key string) {
	r.worker.mu.Lock()
	defer r.worker.mu.Unlock()
	b.mu.Lock()
	waits := !r.gang.formed
	if waits && r.worker.active[r.task] == r {
		b.alones = append(b.alones, aloneEnd{time.Now(), fmt.Sprintf("%s run %d ended alone on %s; the gang %s had %d of %d members",
			r.task, r.run, r.worker.name, key, len(r.gang.members), r.spec.Gang)})
	}
	b.mu.Unlock()
	if waits && r.worker.active[r.task] == r {
		r.worker.end(r, "alone")
	}
}

// left ends the other members of a gang after one member has ended: as done if that one is done, and otherwise as broken.
func (b *gangBook) left(r *activeRun, how string) {
	b.mu.Lock()
	g := r.gang
	if !g.formed || g.over {
		b.mu.Unlock()
		return
	}
	g.over = true
	b.mu.Unlock()
	if how != "done" {
		how = "broken"
	}
	for _, other := range g.members {
		if other == r {
			continue
		}
		other.worker.mu.Lock()
		if other.worker.active[other.task] == other {
			other.worker.end(other, how)
		}
		other.worker.mu.Unlock()
	}
}

// alonesSince returns the members that ended as alone after the time.
func (b *gangBook) alonesSince(t time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []string
	for _, a := range b.alones {
		if a.at.After(t) {
			list = append(list, a.what)
		}
	}
	return list
}
