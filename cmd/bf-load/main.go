// Command bf-load offers open-loop load to a fleet and compares runs.
package main

import (
	"os"

	"bamboofork/internal/load/loadcli"
)

func main() { os.Exit(loadcli.Run(os.Stdout, os.Stderr)) }
