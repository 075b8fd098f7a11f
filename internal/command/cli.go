package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"os/user"

	"github.com/integrii/flaggy"

	"bamboofork/internal/app"
	"bamboofork/internal/config"
	"bamboofork/internal/settings"
	"bamboofork/internal/store"
	"bamboofork/internal/store/etcdgw"
)

// Exit codes of bf in addition to those of package app.
const (
	exitConflict  = 5 // another operator edited the same branch
	exitUncertain = 6 // the outcome is unknown; the message says how to resolve it
	exitNotReady  = 7 // a wait timed out before its condition held
)

// Environment variables that set the defaults of the global flags.
const (
	envStore            = "BF_STORE"
	envEntry            = "BF_ENTRY"
	envStoreCredentials = "BF_STORE_CREDENTIALS"
)

// Defaults of the global flags if the environment variables are not set.
const (
	defaultStoreURL = "http://127.0.0.1:8080"
	defaultEntryURL = "http://127.0.0.1:8081"
)

// cli holds the output streams and the values of the global flags of one invocation of bf.
type cli struct {
	out             io.Writer
	stderr          io.Writer
	storeURL        string
	entryURL        string
	credentials     etcdgw.Credentials // of the operator, for the store
	credentialsFile string
	outputFormat    string // "table" or "json"
}

// action runs a subcommand.
type action func(ctx context.Context) error

// usageError marks an error in the command-line arguments.
type usageError struct{ error }

// notReadyError marks a wait that timed out before its condition held.
type notReadyError struct{ error }

// invalidFileError marks a file that was checked and is in error.
type invalidFileError struct{ error }

// RunCLI runs the bf command and returns its exit code.
func RunCLI(out, errOut io.Writer) int {
	c := &cli{out: out, stderr: errOut, storeURL: envOr(envStore, defaultStoreURL), entryURL: envOr(envEntry, defaultEntryURL),
		credentialsFile: envOr(envStoreCredentials, ""), outputFormat: "table"}
	p := flaggy.NewParser("bf")
	p.Description = "Manage bamboofork: settings, jobs and status."
	p.Version = app.Version
	p.AdditionalHelpAppend = "\nExit codes: 0 ok, 1 failed, 2 usage, 3 invalid settings, 5 conflict, 6 outcome unknown, 7 wait timed out."
	p.String(&c.storeURL, "", "store", "Base URL of the key-value store ("+envStore+").")
	p.String(&c.entryURL, "", "entry", "Base URL of an entry ("+envEntry+").")
	p.String(&c.credentialsFile, "", "store-credentials", "File with user:password for the store ("+envStoreCredentials+").")
	p.String(&c.outputFormat, "o", "output", "Output format: table or json.")
	actions := map[*flaggy.Subcommand]action{}
	c.addSettings(p, actions)
	c.addJobs(p, actions)
	c.addStatus(p, actions)
	c.addConfig(p, actions)
	if err := p.Parse(); err != nil {
		fmt.Fprintln(errOut, err)
		return app.ExitUsage
	}
	for sub, run := range actions {
		if sub.Used && !hasUsedChild(sub) {
			return c.runAction(run)
		}
	}
	p.ShowHelp()
	return app.ExitUsage
}

func hasUsedChild(s *flaggy.Subcommand) bool {
	for _, child := range s.Subcommands {
		if child.Used {
			return true
		}
	}
	return false
}

func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}

func (c *cli) runAction(act action) int {
	if c.outputFormat != "table" && c.outputFormat != "json" {
		fmt.Fprintf(c.stderr, "output %q: accepted: table, json\n", c.outputFormat)
		return app.ExitUsage
	}
	credentials, err := etcdgw.LoadCredentials(c.credentialsFile)
	if err != nil {
		fmt.Fprintln(c.stderr, "bf:", err)
		return app.ExitUsage
	}
	c.credentials = credentials
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err = act(ctx); err != nil {
		fmt.Fprintln(c.stderr, "bf:", err)
	}
	return exitCode(err)
}

// exitCode returns the exit code of bf for the error that an action returned.
func exitCode(err error) int {
	var usageErr usageError
	var notReadyErr notReadyError
	var conflictErr settings.ConflictError
	var fileErr settings.FileError
	var fieldErr config.FieldError
	var invalidErr invalidFileError
	switch {
	case err == nil:
		return app.ExitOK
	case errors.As(err, &usageErr):
		return app.ExitUsage
	case errors.As(err, &notReadyErr):
		return exitNotReady
	case errors.As(err, &conflictErr):
		return exitConflict
	case errors.As(err, &fileErr), errors.As(err, &fieldErr), errors.As(err, &invalidErr):
		return app.ExitSettings
	case errors.Is(err, store.ErrUncertain):
		return exitUncertain
	}
	return app.ExitFailure
}

// subcommand creates a subcommand, attaches it to parent and adds its action to actions.
func subcommand(parent interface {
	AttachSubcommand(*flaggy.Subcommand, int)
}, actions map[*flaggy.Subcommand]action, name, description string, run action) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	parent.AttachSubcommand(s, 1)
	actions[s] = run
	return s
}

// repository returns the repository of the settings and the store client that it uses. The caller must close the client.
func (c *cli) repository() (*settings.Repository, *etcdgw.Client) {
	storeClient := etcdgw.NewClient(c.storeURL, 0).WithCredentials(c.credentials)
	return settings.NewRepository(storeClient, "bf-"+settings.NewEditID()), storeClient
}

// currentUser returns the operating system's name of the user, or "unknown". The settings history records this name for an edit.
func currentUser() string {
	if u, err := user.Current(); err == nil && u.Username != "" {
		return u.Username
	}
	return "unknown"
}
