// Command bf-front runs an entry on the operators' platform.
package main

import (
	"os"

	"bamboofork/internal/deployed"
)

func main() { os.Exit(deployed.Front()) }
