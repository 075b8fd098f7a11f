package dev

import (
	"slices"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bamboofork/internal/config"
	"bamboofork/internal/network"
	"bamboofork/internal/node"
	"bamboofork/internal/standin"
)

// EndKind is the way in which the process on a host is ended.
type EndKind int

// Ways to end a process.
const (
	EndGracefully EndKind = iota // graceful shutdown
	EndByAbort                   // simulated kill
)

// AgentIDs returns the sorted IDs of all agents, including those that were ended.
func (f *Fleet) AgentIDs() []string { return f.sortedIDs(f.Agents) }

// EntryIDs returns the sorted IDs of all entries, including those that were ended.
func (f *Fleet) EntryIDs() []string { return f.sortedIDs(f.Entries) }

func (f *Fleet) sortedIDs(hosts map[string]*Host) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := []string{}
	for id := range hosts {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// IsEntry reports whether id is the ID of an entry.
func (f *Fleet) IsEntry(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Entries[id] != nil
}

// Worker returns the simulated worker on the host of the agent with the ID.
func (f *Fleet) Worker(id string) *standin.SimWorker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Agents[id].Worker
}

// Host returns the host of the process with the ID, or nil.
func (f *Fleet) Host(id string) *Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h := f.Entries[id]; h != nil {
		return h
	}
	return f.Agents[id]
}

// EndProcess ends the process on a host. The host's worker and backend server keep running. With EndGracefully, the process has ended when
// EndProcess returns. With EndByAbort, the process may still be draining requests when End returns.
func (f *Fleet) EndProcess(id string, kind EndKind) error {
	h := f.Host(id)
	if h == nil {
		return eris.Errorf("unknown host %q", id)
	}
	if kind == EndGracefully {
		return h.Stop()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	h.Node.Abort()
	f.abortedDone = append(f.abortedDone, h.done)
	return nil
}

// StartProcess starts a new process on a host whose process was ended with EndProcess.
func (f *Fleet) StartProcess(id string) error {
	h := f.Host(id)
	build := node.NewAgent
	if f.IsEntry(id) {
		build = node.NewEntry
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.startNode(h, build)
}

// startNode builds and runs the node of a host. The caller holds f.mu. After an error, Host.Stop returns nil immediately.
func (f *Fleet) startNode(h *Host, build func(network.Network, config.Process, zerolog.Logger) (*node.Node, error)) error {
	n, err := build(f.Profile.Network, h.Config, f.log)
	if err != nil {
		h.cancel, h.done = func() {}, make(chan error, 1)
		h.done <- nil
		return eris.Wrapf(err, "start %s", h.Config.ID)
	}
	h.Node = n
	h.run()
	return nil
}

// BackendRuns returns the number of runs of each idempotency key, summed over all backend servers.
func (f *Fleet) BackendRuns() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	runsByKey := map[string]int{}
	for _, h := range f.Agents {
		for key, n := range h.Backend.RunsByKey() {
			runsByKey[key] += n
		}
	}
	return runsByKey
}

// BackendOverruns returns the number of requests that arrived while all slots of their backend server were in use.
func (f *Fleet) BackendOverruns() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	overruns := int64(0)
	for _, h := range f.Agents {
		overruns += h.Backend.Overruns()
	}
	return overruns
}
