package command

import (
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"bamboofork/internal/app"
	"bamboofork/internal/settings"
)

// RunCLI runs the bf command and returns its exit code.
func RunCLI(out, errOut io.Writer) int {
	file, branch := "", ""
	flaggy.SetName("bf")
	flaggy.SetDescription("Operate bamboofork: settings, jobs and status.")
	flaggy.SetVersion(app.Version)
	check := flaggy.NewSubcommand("check")
	check.Description = "Validate a settings tree file and explain a branch's effective settings."
	check.AddPositionalValue(&file, "file", 1, true, "Settings tree (YAML).")
	check.String(&branch, "b", "branch", "Branch to explain.")
	flaggy.AttachSubcommand(check, 1)
	flaggy.Parse()
	if !check.Used {
		flaggy.ShowHelp("")
		return app.ExitUsage
	}
	data, err := os.ReadFile(file)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return app.ExitFailure
	}
	tree, err := settings.ParseTree(file, data)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return app.ExitSettings
	}
	sources, err := tree.Explain(branch)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return app.ExitFailure
	}
	for _, s := range sources {
		fmt.Fprintf(out, "%s\t%s\t%s\n", s.Field, s.Value, s.Branch)
	}
	return app.ExitOK
}
