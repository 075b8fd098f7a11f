// Package invariant asserts properties that must always hold. The checks are compiled
// into every build. After a violation, continuing could lose work or run it twice, so the
// default handler logs the violation and exits the process.
package invariant

import (
	"fmt"
	"os"
	"sync/atomic"

	"github.com/rs/zerolog"

	"bamboofork/internal/events"
)

// ExitCode is the exit code of a process that ends because of a violation.
const ExitCode = 70

// Violation describes an invariant that did not hold.
type Violation struct {
	Name   string
	Detail string
}

// Error implements error, so that tests can recover a Violation from a panic as an error.
func (v Violation) Error() string { return v.Name + ": " + v.Detail }

// Handler handles a violation. In production it must not return.
type Handler func(Violation)

var (
	handler    atomic.Pointer[Handler]
	checkCount atomic.Int64
)

func init() { SetHandler(exitProcess) }

// SetHandler sets the handler of violations and returns the previous handler, or nil if there
// was none. Randomised tests set a handler that panics with the Violation.
func SetHandler(h Handler) Handler {
	previous := handler.Swap(&h)
	if previous == nil {
		return nil
	}
	return *previous
}

// Check calls the handler if ok is false. The name identifies the invariant in
// docs/proofs.md; format and args describe the observed state.
func Check(ok bool, name, format string, args ...any) {
	checkCount.Add(1)
	if ok {
		return
	}
	(*handler.Load())(Violation{Name: name, Detail: fmt.Sprintf(format, args...)})
}

// CheckCount returns the number of calls of Check in this process. Randomised runs report
// the number to show that invariants were checked.
func CheckCount() int64 { return checkCount.Load() }

func exitProcess(v Violation) {
	log := zerolog.New(os.Stdout).With().Timestamp().Logger()
	events.InvariantBroken.Log(&log).Str("invariant", v.Name).Msg(v.Detail)
	os.Exit(ExitCode)
}
