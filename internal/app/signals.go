package app

import (
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"bamboofork/internal/events"
)

// heldSignals receives the signals that arrive between HoldSignals and Run.
var heldSignals = make(chan os.Signal, 4)

// HoldSignals keeps SIGTERM and SIGHUP for Run, which handles them like later ones. Their default actions would end a process that is
// starting. The program must have settings to reload.
func HoldSignals() { signal.Notify(heldSignals, syscall.SIGTERM, syscall.SIGHUP) }

// forwardHeldSignals delivers the held signals. It is called after the channels were registered, so that none is lost; one that
// arrives meanwhile may be delivered twice.
func forwardHeldSignals(stops, reloads chan<- os.Signal) {
	signal.Stop(heldSignals)
	for {
		select {
		case s := <-heldSignals:
			target := stops
			if s == syscall.SIGHUP {
				target = reloads
			}
			select {
			case target <- s:
			default: // as many are waiting as matter
			}
		default:
			return
		}
	}
}

// watchSignals handles the signals of a program until the process exits. They are never given back to their default action, which
// would end a process that is shutting down, without answers to its open requests.
//
// SIGTERM and SIGINT request a stop. SIGHUP calls reload, also during a shutdown; if reload is nil, SIGHUP requests a stop too, unless
// it was ignored when the program started. Only a further SIGINT ends a shutdown early. A closed standard output does not end the
// process.
func watchSignals(log zerolog.Logger, requestStop, reload func()) {
	signal.Ignore(syscall.SIGPIPE)
	stops := make(chan os.Signal, 2)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	if reload == nil {
		if !signal.Ignored(syscall.SIGHUP) { // as under nohup
			signal.Notify(stops, syscall.SIGHUP)
		}
	} else {
		reloads := make(chan os.Signal, 1) // signals that arrive during a reload cause one more
		signal.Notify(reloads, syscall.SIGHUP)
		forwardHeldSignals(stops, reloads)
		go func() {
			for range reloads {
				reload()
			}
		}()
	}
	go handleStops(stops, log, sync.OnceFunc(requestStop))
}

// logWriteDelay is the time for the log writer of a program, which joins lines, to write the last one.
const logWriteDelay = 50 * time.Millisecond

// handleStops requests a stop at the first signal. Of the signals that follow, SIGINT terminates the process at once and the others
// are ignored: a platform or an operator may repeat a request to stop, and the open requests still need their answers.
func handleStops(stops <-chan os.Signal, log zerolog.Logger, requestStop func()) {
	s := <-stops
	events.ProcessStopping.Log(&log).Str("signal", s.String()).Send()
	requestStop()
	for s := range stops {
		if s == syscall.SIGINT {
			events.StopForced.Log(&log).Send()
			time.Sleep(logWriteDelay)
			os.Exit(ExitForced)
		}
		events.SignalIgnored.Log(&log).Str("signal", s.String()).Send()
	}
}
