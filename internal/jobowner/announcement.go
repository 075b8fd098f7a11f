package jobowner

import "encoding/json"

// Replacing returns the announcement that replaces the stored one of the same member; stored is empty if there is none. What an earlier
// process of the member has announced about its worker still holds.
func (m Member) Replacing(stored []byte) Member {
	var previous Member
	if len(stored) > 0 && json.Unmarshal(stored, &previous) == nil {
		m.EndedLifetime = max(m.EndedLifetime, previous.EndedLifetime)
	}
	return m
}
