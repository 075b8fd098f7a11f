package dev

import (
	"slices"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bamboofork/internal/config"
	"bamboofork/internal/node"
	"bamboofork/internal/standin"
)

// EndKind says how a host's process ends.
type EndKind int

// Ways to end a process.
const (
	EndByDrain EndKind = iota // planned stop
	EndByAbort                // as if killed
)

// AgentIDs returns the ids of the agents that run or were ended, in order.
func (f *Fleet) AgentIDs() []string { return f.ids(f.Agents) }

// EntryIDs returns the ids of the entries that run or were ended, in order.
func (f *Fleet) EntryIDs() []string { return f.ids(f.Entries) }

func (f *Fleet) ids(hosts map[string]*Host) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := []string{}
	for id := range hosts {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// IsEntry reports whether the id is an entry's.
func (f *Fleet) IsEntry(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Entries[id] != nil
}

// Worker returns the stand-in worker on an agent's host.
func (f *Fleet) Worker(id string) *standin.SimWorker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Agents[id].Worker
}

func (f *Fleet) lookup(id string) *Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h := f.Entries[id]; h != nil {
		return h
	}
	return f.Agents[id]
}

// End ends the process on a host; its worker and backend server go on. A drained process has ended when End returns.
func (f *Fleet) End(id string, kind EndKind) error {
	h := f.lookup(id)
	if h == nil {
		return eris.Errorf("unknown host %q", id)
	}
	if kind == EndByDrain {
		return h.Stop()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	h.Node.Abort()
	f.zombies = append(f.zombies, h.done)
	return nil
}

// StartAgain starts a new process on a host whose process was ended.
func (f *Fleet) StartAgain(id string) error {
	h := f.lookup(id)
	build := node.NewAgent
	if f.IsEntry(id) {
		build = node.NewEntry
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.startNode(h, build)
}

// startNode builds and runs a host's node; f.mu is held. After an error there is no node to stop.
func (f *Fleet) startNode(h *Host, build func(config.Process, zerolog.Logger) (*node.Node, error)) error {
	n, err := build(h.Config, f.log)
	if err != nil {
		h.cancel, h.done = func() {}, make(chan error, 1)
		h.done <- nil
		return eris.Wrapf(err, "start %s", h.Config.ID)
	}
	h.Node = n
	h.run()
	return nil
}

// BackendRuns returns how often each idempotency key ran on any backend server.
func (f *Fleet) BackendRuns() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := map[string]int{}
	for _, h := range f.Agents {
		for key, n := range h.Backend.Runs() {
			total[key] += n
		}
	}
	return total
}

// BackendOverruns returns how many requests found all slots of their backend server in use.
func (f *Fleet) BackendOverruns() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := int64(0)
	for _, h := range f.Agents {
		total += h.Backend.Overruns()
	}
	return total
}
