// Command bf-agent runs one agent process.
package main

import (
	"os"

	"bamboofork/internal/command"
	"bamboofork/internal/node"
)

func main() {
	os.Exit(command.RunNode("bf-agent", "Admit work to one host's backend server and worker.", true, node.NewAgent))
}
