package dev

import (
	"time"

	"github.com/rotisserie/eris"

	"bamboofork/examples"
	"bamboofork/internal/settings"
	"bamboofork/internal/worker"
)

// Workshop returns the profile of the workshop deployment. It has three failure domains and 11 backend servers with 8 slots and 64
// connections each. Each worker has 64 cores and 250 GB of memory; a rack holds three hosts.
func Workshop() (Profile, error) {
	p := baseProfile()
	p.Name, p.BackendName, p.Domains = "workshop", "fitting-desk", 3
	p.Capacity = worker.Resources{Cores: 64, MemoryMB: 250_000, Accelerators: 2}
	p.Interference = map[string]float64{"moulding-plan": 0.06}
	return withTree(p, "workshop/settings.yaml", examples.WorkshopSettings)
}

// Association returns the profile of the association deployment. It has four failure domains and 11 backend servers with 8 slots
// and 64 connections each. Each worker has 32 cores and 125 GB of memory; a rack holds three hosts.
func Association() (Profile, error) {
	p := baseProfile()
	p.Name, p.BackendName, p.Domains = "association", "print-desk", 4
	p.Capacity = worker.Resources{Cores: 32, MemoryMB: 125_000, Accelerators: 2}
	p.Interference = map[string]float64{"separation": 0.1}
	return withTree(p, "association/settings.yaml", examples.AssociationSettings)
}

// ProfileByName returns the profile of the workshop or association deployment.
func ProfileByName(name string) (Profile, error) {
	switch name {
	case "workshop":
		return Workshop()
	case "association":
		return Association()
	}
	return Profile{}, eris.Errorf("unknown profile %q; accepted: workshop, association", name)
}

func baseProfile() Profile {
	return Profile{
		Entries: 3, Agents: 11, RackSize: 3, Slots: 8, MaxConns: 64,
		Reserve: worker.Resources{Cores: 8, MemoryMB: 16_000}, ServiceTime: 20 * time.Millisecond,
		LeaseTTL: 3 * time.Second, OutageHold: 15 * time.Minute, Drain: 3 * time.Second,
	}
}

func withTree(p Profile, file string, data []byte) (Profile, error) {
	tree, err := settings.ParseTree(file, data)
	p.InitialSettings = tree
	return p, eris.Wrap(err, "parse example settings")
}
