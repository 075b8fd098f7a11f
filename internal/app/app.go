// Package app runs the components of a program as a group. The first component that ends
// stops the others. SIGTERM and SIGINT make all of them drain and stop; SIGINT during the
// shutdown terminates the process at once.
package app

import (
	"context"
	"os"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bamboofork/internal/events"
)

// Version is the release version of all programs in this repository.
const Version = "0.1.0"

// Exit codes of all programs.
const (
	ExitOK       = 0
	ExitFailure  = 1 // the operation failed
	ExitUsage    = 2 // invalid flags or arguments
	ExitSettings = 3 // a settings file is invalid
	ExitForced   = 4 // SIGINT during the shutdown ended the process before it was drained
)

// Component is a named unit of a program. Run blocks until ctx is done, then drains and returns.
type Component struct {
	Name string
	Run  func(ctx context.Context) error
}

// Run runs the components until one of them returns, ctx is done, or a stop signal arrives. It then
// cancels the contexts of all components and waits until each has returned. It returns nil after
// a requested stop, otherwise the error of the component that returned first. reload reads the
// settings again at SIGHUP; if it is nil, the program has none and SIGHUP is a stop signal.
func Run(ctx context.Context, log zerolog.Logger, reload func(), components ...Component) error {
	var g run.Group
	for _, c := range components {
		componentCtx, cancel := context.WithCancel(ctx)
		g.Add(func() error {
			err := c.Run(componentCtx)
			if err != nil && componentCtx.Err() == nil {
				return eris.Wrapf(err, "%s", c.Name)
			}
			return nil
		}, func(error) { cancel() })
	}
	stopCtx, requestStop := context.WithCancel(ctx)
	defer requestStop()
	watchSignals(log, requestStop, reload)
	g.Add(func() error {
		<-stopCtx.Done()
		return nil
	}, func(error) { requestStop() })
	events.ProcessStarted.Log(&log).Str("version", Version).Send()
	err := g.Run()
	events.ProcessStopped.Log(&log).AnErr("cause", err).Send()
	return err
}

// NewLogger returns a logger that writes JSON lines to stderr at the given level ("debug", "info", "warn", "error").
func NewLogger(program, level string) (zerolog.Logger, error) {
	logLevel, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Logger{}, eris.Wrapf(err, "log level %q", level)
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(os.Stderr).Level(logLevel).With().Timestamp().Str("program", program).Logger(), nil
}
