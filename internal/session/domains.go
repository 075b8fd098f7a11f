package session

import (
	"slices"

	"bamboofork/internal/domains"
)

// DomainsOf returns the state as part of a message, or nil if the state is not known.
func DomainsOf(state domains.State) *Domains {
	if state.Revision == 0 {
		return nil
	}
	return &Domains{Revision: state.Revision, OutOfService: state.OutOfService}
}

// State returns the state that the message carries.
func (d *Domains) State() domains.State {
	names := slices.Clone(d.OutOfService)
	slices.Sort(names)
	return domains.State{Revision: d.Revision, OutOfService: names}
}
