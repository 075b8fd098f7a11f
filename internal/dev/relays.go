package dev

import (
	"bamboofork/internal/faultnet"
	"bamboofork/internal/node"
)

// Relays are the relays in front of a host's control and data address. Both are nil without Profile.UseRelays. Data is nil for an
// entry.
type Relays struct {
	Control *faultnet.Relay
	Data    *faultnet.Relay
}

// All returns the relays that are not nil.
func (r Relays) All() []*faultnet.Relay {
	out := []*faultnet.Relay{}
	for _, relay := range []*faultnet.Relay{r.Control, r.Data} {
		if relay != nil {
			out = append(out, relay)
		}
	}
	return out
}

// addRelays starts relays in front of the host's addresses, unless relays already exist. It sets the addresses that the host
// advertises to those of the relays.
func (f *Fleet) addRelays(h *Host) error {
	if !f.Profile.UseRelays || h.Relays.Control != nil {
		return nil
	}
	var err error
	if h.Relays.Control, err = f.newRelay(h.Config.Listen.Control); err != nil {
		return err
	}
	h.Config.Advertise.Control = h.Relays.Control.Addr()
	if h.Config.Listen.Data == "" {
		return nil
	}
	if h.Relays.Data, err = f.newRelay(h.Config.Listen.Data); err != nil {
		return err
	}
	h.Config.Advertise.Data = h.Relays.Data.Addr()
	return nil
}

func (f *Fleet) newRelay(target string) (*faultnet.Relay, error) {
	f.Profile.RelaySeed++
	r, err := faultnet.NewRelay(target, f.Profile.RelaySeed)
	if err != nil {
		return nil, err
	}
	f.cleanups = append(f.cleanups, r.Close)
	return r, nil
}

// Agent returns the host of agent i, counted from 0.
func (f *Fleet) Agent(i int) *Host { return f.hostByIndex(f.Agents, "agent", i) }

// Entry returns the host of entry i, counted from 0.
func (f *Fleet) Entry(i int) *Host { return f.hostByIndex(f.Entries, "entry", i) }

// KillAndRestart aborts the process on a host, as a kill would, and starts a new process at the same addresses. isAgent reports whether
// the host belongs to an agent rather than to an entry.
func (f *Fleet) KillAndRestart(h *Host, isAgent bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	h.Node.Abort()
	f.abortedDone = append(f.abortedDone, h.done)
	build := node.NewEntry
	if isAgent {
		build = node.NewAgent
	}
	return f.startNode(h, build)
}

// awaitAborted waits until Run has returned for all aborted nodes.
func (f *Fleet) awaitAborted() {
	f.mu.Lock()
	abortedDone := f.abortedDone
	f.abortedDone = nil
	f.mu.Unlock()
	for _, done := range abortedDone {
		<-done
	}
}

// Remove removes a stopped host from the fleet, so that Fleet.Stop does not stop it again.
func (f *Fleet) Remove(h *Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.Agents, h.Config.ID)
	delete(f.Entries, h.Config.ID)
}
