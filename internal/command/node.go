// Package command implements the command lines of bf, bf-entry and bf-agent. It parses arguments, calls other packages
// and prints results; all other logic belongs in those packages.
package command

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"
	"github.com/rs/zerolog"

	"bamboofork/internal/app"
	"bamboofork/internal/config"
	"bamboofork/internal/network"
	"bamboofork/internal/node"
)

// RunNode runs an entry or an agent until it stops, and returns the exit code. If forAgent is true, the settings file must have
// the settings of an agent, otherwise those of an entry. The build function creates the node from these settings.
func RunNode(name, description string, forAgent bool, build func(network.Network, config.Process, zerolog.Logger) (*node.Node, error)) int {
	file, checkOnly := "", false
	flaggy.SetName(name)
	flaggy.SetDescription(description)
	flaggy.SetVersion(app.Version)
	flaggy.String(&file, "c", "config", "Settings file of the process (YAML).")
	flaggy.Bool(&checkOnly, "", "check", "Validate the settings file and exit.")
	flaggy.Parse()
	cfg, err := config.Load(file, forAgent)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return app.ExitSettings
	}
	if checkOnly {
		fmt.Println("ok")
		return app.ExitOK
	}
	log, err := app.NewLogger(name, cfg.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return app.ExitSettings
	}
	n, err := build(network.TCPWithKeepAlive, cfg, log)
	if err == nil {
		err = app.Run(context.Background(), log, nil, app.Component{Name: name, Run: n.Run})
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return app.ExitFailure
	}
	return app.ExitOK
}
