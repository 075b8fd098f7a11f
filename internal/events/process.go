package events

import "github.com/rs/zerolog"

// Process life cycle events.
var (
	ProcessStarted   = register(9001, "process_started", zerolog.InfoLevel, "A program has finished starting and is serving.")
	ProcessStopping  = register(9002, "process_stopping", zerolog.InfoLevel, "A stop was requested; the program is draining.")
	ProcessStopped   = register(9003, "process_stopped", zerolog.InfoLevel, "All components of the program have stopped.")
	SettingsReloaded = register(9005, "settings_reloaded", zerolog.InfoLevel, "The settings file was reloaded.")
	StopForced       = register(9004, "stop_forced", zerolog.WarnLevel, "SIGINT during the shutdown stopped the program before it had drained.")
	SignalIgnored    = register(9006, "signal_ignored", zerolog.InfoLevel, "A stop was requested again during the shutdown; the shutdown goes on.")
	InvariantBroken  = register(9100, "invariant_broken", zerolog.FatalLevel, "An invariant does not hold; the process exits.")
)
