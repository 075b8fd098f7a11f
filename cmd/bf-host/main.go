// Command bf-host runs an agent process on the operators' platform. The agent runs tasks on one worker and owns the jobs when
// elected.
package main

import (
	"os"

	"bamboofork/internal/deployed"
)

func main() { os.Exit(deployed.RunAgent()) }
