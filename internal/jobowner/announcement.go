package jobowner

import (
	"encoding/json"
	"net/netip"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"bamboofork/internal/events"
	"bamboofork/internal/session"
	"bamboofork/internal/store"
)

// maxMemoryMB bounds the memory that a member may announce. It can be converted to bytes.
const maxMemoryMB = 1 << 30

// decodeMember decodes an announcement. Other writers may have left values under MemberPrefix, so it returns an error unless the key
// belongs to the name, and the address and the numbers can be those of a member. now is the local wall-clock time.
func decodeMember(key string, value []byte, now time.Time) (Member, error) {
	var announced Member
	if err := json.Unmarshal(value, &announced); err != nil {
		return Member{}, eris.Wrap(err, "decode announcement")
	}
	name, _ := strings.CutPrefix(key, MemberPrefix)
	addr, err := netip.ParseAddrPort(announced.Addr)
	switch {
	case announced.Name == "" || announced.Name != name:
		return Member{}, eris.Errorf("announcement of %q", announced.Name)
	case err != nil:
		return Member{}, eris.Wrap(err, "address of the announcement")
	case addr.Port() == 0:
		return Member{}, eris.Errorf("address %s has no port", announced.Addr)
	case announced.EndedLifetime < 0 || announced.EndedLifetime > now.Add(session.MaxLifetimeAhead).UnixMilli():
		return Member{}, eris.Errorf("ended lifetime %d", announced.EndedLifetime)
	case announced.MemoryMB < 0 || announced.MemoryMB > maxMemoryMB:
		return Member{}, eris.Errorf("memory of %d MB", announced.MemoryMB)
	case announced.MaxHoldBesideOwnerMs < 0:
		return Member{}, eris.Errorf("hold of %d ms", announced.MaxHoldBesideOwnerMs)
	}
	return announced, nil
}

// readAnnouncement decodes an announcement. It counts those that cannot be used, and logs the first one of each key.
func (o *Owner) readAnnouncement(kv store.KV) (Member, bool) {
	announced, err := decodeMember(kv.Key, kv.Value, time.Now())
	if err == nil {
		return announced, true
	}
	o.cfg.Metrics.Counter("owner_members_unreadable").Inc(1)
	if o.unreadableMembers.First(kv.Key) {
		events.MemberUnreadable.Log(&o.cfg.Log).Str("key", kv.Key).Int64("revision", kv.ModRevision).AnErr("cause", err).Send()
	}
	return Member{}, false
}

// Replacing returns the announcement that replaces the stored one of the same member; stored is empty if there is none. What an earlier
// process of the member has announced about its worker still holds.
func (m Member) Replacing(stored []byte) Member {
	if previous, err := decodeMember(MemberPrefix+m.Name, stored, time.Now()); err == nil {
		m.EndedLifetime = max(m.EndedLifetime, previous.EndedLifetime)
	}
	return m
}
