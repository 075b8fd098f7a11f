package events

import "github.com/rs/zerolog"

// Process life cycle events.
var (
	ProcessStarted   = register(9001, "process_started", zerolog.InfoLevel, "A program finished its start and serves.")
	ProcessStopping  = register(9002, "process_stopping", zerolog.InfoLevel, "A stop was requested; the program drains.")
	ProcessStopped   = register(9003, "process_stopped", zerolog.InfoLevel, "All parts of the program have ended.")
	SettingsReloaded = register(9005, "settings_reloaded", zerolog.InfoLevel, "The settings file was read again.")
	StopForced       = register(9004, "stop_forced", zerolog.WarnLevel, "A second signal ended the program without draining.")
	InvariantBroken  = register(9100, "invariant_broken", zerolog.FatalLevel, "An invariant does not hold; the process ends.")
)
