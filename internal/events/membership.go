package events

import "github.com/rs/zerolog"

// Membership, hub and settings dissemination events.
var (
	SettingsHeld       = register(5201, "settings_held", zerolog.WarnLevel, "A settings revision is not applied because a higher one is active in other processes.")
	SettingsDiverged   = register(5202, "settings_diverged", zerolog.ErrorLevel, "Two processes hold different trees for the same settings revision.")
	SettingsPulled     = register(5203, "settings_pulled", zerolog.DebugLevel, "Settings were fetched from another process.")
	SettingsBadPull    = register(5204, "settings_bad_pull", zerolog.WarnLevel, "Settings from another process failed verification and were discarded.")
	SuspicionRefuted   = register(6201, "suspicion_refuted", zerolog.WarnLevel, "Other processes suspected this process; it announced that it is alive.")
	IncarnationRaised  = register(6202, "incarnation_raised", zerolog.WarnLevel, "Other processes know a higher incarnation of this process; it raised its own above that.")
	MemberRestarted    = register(6203, "member_restarted", zerolog.InfoLevel, "A process restarted and replaced its earlier member record.")
	ScopeChanged       = register(6204, "scope_changed", zerolog.InfoLevel, "The part of the fleet of which this process keeps full member records has changed.")
	PauseDetected      = register(6205, "pause_detected", zerolog.WarnLevel, "This process was paused; timeouts during the pause do not count against other processes.")
	ProcessIsolated    = register(6206, "process_isolated", zerolog.WarnLevel, "No other process responds; this process hides its members locally and does not report them as dead.")
	ProcessReconnected = register(6207, "process_reconnected", zerolog.InfoLevel, "Another process responded again after this process had been isolated.")
	HubTaken           = register(6208, "hub_taken", zerolog.InfoLevel, "This process registered as a hub of its failure domain.")
	HubReleased        = register(6209, "hub_released", zerolog.InfoLevel, "This process is no longer a hub of its failure domain.")
)
