// Command bf is the command-line client for operators and callers.
package main

import (
	"os"

	"bamboofork/internal/command"
)

func main() { os.Exit(command.RunCLI(os.Stdout, os.Stderr)) }
