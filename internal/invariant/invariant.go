// Package invariant asserts properties that must hold at all times. The checks are
// always compiled in. A broken invariant means that continuing could lose or double
// work, so the default reaction logs the event and ends the process.
package invariant

import (
	"fmt"
	"os"
	"sync/atomic"

	"github.com/rs/zerolog"

	"bamboofork/internal/events"
)

// ExitCode is the process exit code after a broken invariant.
const ExitCode = 70

// Violation describes one broken invariant.
type Violation struct {
	Name   string
	Detail string
}

// Error implements error so that tests can recover a Violation from a panic.
func (v Violation) Error() string { return v.Name + ": " + v.Detail }

// Handler reacts to a violation. It must not return in production.
type Handler func(Violation)

var (
	handler atomic.Pointer[Handler]
	checked atomic.Int64
)

func init() { SetHandler(exitProcess) }

// SetHandler replaces the reaction to a violation and returns the previous one.
// Randomised runs install a handler that panics with the Violation.
func SetHandler(h Handler) Handler {
	old := handler.Swap(&h)
	if old == nil {
		return nil
	}
	return *old
}

// Check calls the handler if ok is false. The name identifies the invariant in
// docs/proofs.md; format and args describe the observed state.
func Check(ok bool, name, format string, args ...any) {
	checked.Add(1)
	if ok {
		return
	}
	(*handler.Load())(Violation{Name: name, Detail: fmt.Sprintf(format, args...)})
}

// Checked returns how many checks this process has evaluated. A randomised run
// reports it to show that its invariants were exercised.
func Checked() int64 { return checked.Load() }

func exitProcess(v Violation) {
	log := zerolog.New(os.Stdout).With().Timestamp().Logger()
	events.InvariantBroken.Log(&log).Str("invariant", v.Name).Msg(v.Detail)
	os.Exit(ExitCode)
}
