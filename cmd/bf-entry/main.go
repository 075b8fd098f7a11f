// Command bf-entry runs one entry process.
package main

import (
	"os"

	"bamboofork/internal/command"
	"bamboofork/internal/node"
)

func main() {
	os.Exit(command.RunNode("bf-entry", "Route callers' requests to backend servers and accept jobs.", false, node.NewEntry))
}
