package dev

import (
	"bamboofork/internal/faultnet"
	"bamboofork/internal/node"
)

// Links are the relays before a host; nil without Profile.Relayed.
type Links struct {
	Control *faultnet.Relay
	Data    *faultnet.Relay
}

// All returns the relays that exist.
func (l Links) All() []*faultnet.Relay {
	out := []*faultnet.Relay{}
	for _, r := range []*faultnet.Relay{l.Control, l.Data} {
		if r != nil {
			out = append(out, r)
		}
	}
	return out
}

// relay puts relays before the host's addresses, once.
func (f *Fleet) relay(h *Host) error {
	if !f.Profile.Relayed || h.Links.Control != nil {
		return nil
	}
	var err error
	if h.Links.Control, err = f.newRelay(h.Config.Listen.Control); err != nil {
		return err
	}
	h.Config.Advertise.Control = h.Links.Control.Addr()
	if h.Config.Listen.Data == "" {
		return nil
	}
	if h.Links.Data, err = f.newRelay(h.Config.Listen.Data); err != nil {
		return err
	}
	h.Config.Advertise.Data = h.Links.Data.Addr()
	return nil
}

func (f *Fleet) newRelay(target string) (*faultnet.Relay, error) {
	f.Profile.RelaySeed++
	r, err := faultnet.New(target, f.Profile.RelaySeed)
	if err != nil {
		return nil, err
	}
	f.stops = append(f.stops, r.Close)
	return r, nil
}

// Agent returns an agent's host by number from 0.
func (f *Fleet) Agent(i int) *Host { return f.host(f.Agents, "agent", i) }

// Entry returns an entry's host by number from 0.
func (f *Fleet) Entry(i int) *Host { return f.host(f.Entries, "entry", i) }

// Restart ends a host like a killed process and starts it again at the same addresses.
func (f *Fleet) Restart(h *Host, agent bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	h.Node.Abort()
	f.zombies = append(f.zombies, h.done)
	build := node.NewEntry
	if agent {
		build = node.NewAgent
	}
	return f.startNode(h, build)
}

// awaitZombies waits for the aborted nodes to end.
func (f *Fleet) awaitZombies() {
	f.mu.Lock()
	zombies := f.zombies
	f.zombies = nil
	f.mu.Unlock()
	for _, done := range zombies {
		<-done
	}
}

// Forget removes a host that was stopped from the fleet.
func (f *Fleet) Forget(h *Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.Agents, h.Config.ID)
	delete(f.Entries, h.Config.ID)
}
