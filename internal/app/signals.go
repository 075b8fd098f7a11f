package app

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"bamboofork/internal/events"
)

// The signals of the program, from HoldSignals or Run until the process exits.
var (
	stopSignals   = make(chan os.Signal, 2)
	reloadSignals = make(chan os.Signal, 1) // signals that arrive during a reload cause one more
)

// HoldSignals keeps SIGTERM and SIGHUP for Run, which handles them like later ones. Their default actions would end a process that is
// starting. The program must have settings to reload.
func HoldSignals() {
	signal.Notify(stopSignals, syscall.SIGTERM)
	signal.Notify(reloadSignals, syscall.SIGHUP)
}

// watchSignals handles the signals of a program until the process exits. They are never given back to their default action, which
// would end a process that is shutting down, without answers to its open requests.
//
// SIGTERM and SIGINT request a stop. SIGHUP calls reload, also during a shutdown; if reload is nil, SIGHUP requests a stop too, unless
// it was ignored when the program started. Only a further SIGINT ends a shutdown early. A closed standard output does not end the
// process.
func watchSignals(log zerolog.Logger, requestStop, reload func()) {
	signal.Ignore(syscall.SIGPIPE)
	signal.Notify(stopSignals, syscall.SIGTERM, syscall.SIGINT)
	if reload == nil {
		if !signal.Ignored(syscall.SIGHUP) { // as under nohup
			signal.Notify(stopSignals, syscall.SIGHUP)
		}
	} else {
		signal.Notify(reloadSignals, syscall.SIGHUP)
		go func() {
			for range reloadSignals {
				reload()
			}
		}()
	}
	go handleStops(log, requestStop)
}

// logWriteDelay is the time for the log writer of a program, which joins lines, to write the last one.
const logWriteDelay = 50 * time.Millisecond

// handleStops requests a stop at the first signal. Of the signals that follow, SIGINT terminates the process at once and the others
// are ignored: a platform or an operator may repeat a request to stop, and the open requests still need their answers.
func handleStops(log zerolog.Logger, requestStop func()) {
	s := <-stopSignals
	events.ProcessStopping.Log(&log).Str("signal", s.String()).Send()
	requestStop()
	for s := range stopSignals {
		if s == syscall.SIGINT {
			events.StopForced.Log(&log).Send()
			time.Sleep(logWriteDelay)
			os.Exit(ExitForced)
		}
		events.SignalIgnored.Log(&log).Str("signal", s.String()).Send()
	}
}
