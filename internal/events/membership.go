package events

import "github.com/rs/zerolog"

// Membership, hub and settings dissemination events.
var (
	SettingsHeld      = register(5201, "settings_held", zerolog.WarnLevel, "A settings revision is not applied because other processes have a higher one in force.")
	SettingsDiverged  = register(5202, "settings_diverged", zerolog.ErrorLevel, "Two processes hold different trees for the same settings revision.")
	SettingsPulled    = register(5203, "settings_pulled", zerolog.DebugLevel, "Settings were fetched from another process.")
	SettingsBadPull   = register(5204, "settings_bad_pull", zerolog.WarnLevel, "Settings from another process failed their verification and were discarded.")
	SuspicionRefuted  = register(6201, "suspicion_refuted", zerolog.WarnLevel, "This process was suspected by others and contradicts.")
	IncarnationRaised = register(6202, "incarnation_raised", zerolog.WarnLevel, "Others know a later start of this process; its incarnation was raised above it.")
	MemberRestarted   = register(6203, "member_restarted", zerolog.InfoLevel, "A process started again and replaced its earlier record.")
	ScopeChanged      = register(6204, "scope_changed", zerolog.InfoLevel, "The part of the fleet whose members this process holds in full changed.")
	PauseDetected     = register(6205, "pause_detected", zerolog.WarnLevel, "This process was paused; failures during the pause are not held against others.")
	ProcessIsolated   = register(6206, "process_isolated", zerolog.WarnLevel, "No other process answers; members are hidden here but not reported as dead.")
	ProcessReconnect  = register(6207, "process_reconnected", zerolog.InfoLevel, "Another process answered after an isolation.")
	HubTaken          = register(6208, "hub_taken", zerolog.InfoLevel, "This process registered as a hub of its failure domain.")
	HubReleased       = register(6209, "hub_released", zerolog.InfoLevel, "This process is no longer a hub of its failure domain.")
)
