package events

import "github.com/rs/zerolog"

// Membership and peer connection events.
var (
	PeerConnected    = register(6001, "peer_connected", zerolog.DebugLevel, "A connection to another process was opened.")
	PeerLost         = register(6002, "peer_lost", zerolog.InfoLevel, "A connection to another process broke, or a probe on it got no reply.")
	PeerRefused      = register(6003, "peer_refused", zerolog.WarnLevel, "An incoming connection used an unsupported protocol or version and was rejected.")
	MemberJoined     = register(6101, "member_joined", zerolog.InfoLevel, "A process was added to the membership table.")
	MemberSuspected  = register(6102, "member_suspected", zerolog.WarnLevel, "A process missed heartbeats; it is suspected and gets no new work.")
	MemberRecovered  = register(6103, "member_recovered", zerolog.InfoLevel, "A suspected process was confirmed to be alive.")
	MemberRemoved    = register(6104, "member_removed", zerolog.WarnLevel, "A suspected process was not confirmed to be alive in time and was removed.")
	MemberLeaving    = register(6105, "member_leaving", zerolog.InfoLevel, "A process announced that it is shutting down.")
	SettingsApplied  = register(5001, "settings_applied", zerolog.InfoLevel, "A settings revision is active in this process.")
	SettingsRejected = register(5002, "settings_rejected", zerolog.ErrorLevel, "A settings revision could not be compiled; the previous one stays active.")
)
