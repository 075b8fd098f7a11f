// Command bf-host runs the agent of one worker on the operators' platform.
package main

import (
	"os"

	"bamboofork/internal/deployed"
)

func main() { os.Exit(deployed.Host()) }
