// Command bf-front runs an entry process on the operators' platform. The entry forwards callers' job requests to the job owner.
package main

import (
	"os"

	"bamboofork/internal/deployed"
)

func main() { os.Exit(deployed.RunEntry()) }
