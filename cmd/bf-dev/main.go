// Command bf-dev runs a whole fleet in one process. By default the command runs the demonstration and exits. With --serve the
// fleet serves requests until the process is stopped.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rs/zerolog"

	"bamboofork/internal/app"
	"bamboofork/internal/dev"
)

func main() {
	profileName, serve, port, level := "workshop", false, 0, "error"
	flaggy.SetName("bf-dev")
	flaggy.SetDescription("Run a whole bamboofork fleet in one process.")
	flaggy.SetVersion(app.Version)
	flaggy.String(&profileName, "p", "profile", "Deployment to run: workshop or association.")
	flaggy.Bool(&serve, "s", "serve", "Keep serving instead of running the demonstration.")
	flaggy.Int(&port, "", "port", "Port of the store; the entries use the following ports. 0: any free ports.")
	flaggy.String(&level, "l", "log-level", "Log level: debug, info, warn or error.")
	flaggy.Parse()
	os.Exit(run(profileName, serve, port, level))
}

func run(profileName string, serve bool, port int, level string) int {
	log, err := app.NewLogger("bf-dev", level)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return app.ExitUsage
	}
	deployment, err := profileByName(profileName)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return app.ExitUsage
	}
	if serve && port == 0 {
		port = 8080
	}
	deployment.FirstPort = port
	if err := runFleet(deployment, serve, log); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return app.ExitFailure
	}
	return app.ExitOK
}

// profileByName returns the example deployment of this name.
func profileByName(name string) (dev.Profile, error) {
	switch name {
	case "workshop":
		return dev.Workshop()
	case "association":
		return dev.Association()
	}
	return dev.Profile{}, fmt.Errorf("unknown profile %q; accepted: workshop, association", name)
}

// readyTimeout is the maximum wait until the fleet can serve requests.
const readyTimeout = 20 * time.Second

// runFleet starts the fleet and waits until it is ready. It then runs the demonstration or, if serve is true, keeps the fleet running
// until the process is stopped. At the end it stops the fleet.
func runFleet(deployment dev.Profile, serve bool, log zerolog.Logger) error {
	return app.Run(context.Background(), log, nil, app.Component{Name: "fleet", Run: func(ctx context.Context) error {
		fleet, err := dev.Start(deployment, log) // serves callers, so signals have to be handled already
		if err != nil {
			return err
		}
		defer fleet.Stop() //nolint:errcheck // the error of the demonstration is the one to return
		readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
		defer cancel()
		if err := fleet.WaitReady(readyCtx); err != nil {
			return err
		}
		if serve {
			fmt.Printf("store %s\n", fleet.StoreURL)
			for i := range fleet.Profile.Entries {
				fmt.Printf("entry %s\n", fleet.EntryURL(i))
			}
			<-ctx.Done()
			return nil
		}
		return dev.NewDemo(fleet, os.Stdout).Run(ctx)
	}})
}
