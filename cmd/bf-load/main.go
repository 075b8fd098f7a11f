// Command bf-load generates open-loop load for a fleet and compares the results of runs.
package main

import (
	"os"

	"bamboofork/internal/load/loadcli"
)

func main() { os.Exit(loadcli.Run(os.Stdout, os.Stderr)) }
