package loadcli

import (
	"io"
	"os"

	"github.com/integrii/flaggy"

	"bamboofork/internal/account"
)

// newAccountCommand attaches the subcommand that says where the CPU time of the workers went.
func newAccountCommand(o *options) *flaggy.Subcommand {
	c := flaggy.NewSubcommand("account")
	c.Description = "Say from the logs of a fleet where the CPU time of its workers went: used, paced, thrown away or waiting."
	c.AddPositionalValue(&o.accountFile, "log", 1, true, "File with the log lines of the owners and agents; - for the standard input.")
	o.accountEvery = 1
	c.Int(&o.accountEvery, "", "every", "Seconds of each line of the table and the plot.")
	c.Bool(&o.accountWorkers, "", "workers", "Add a line for each worker.")
	flaggy.AttachSubcommand(c, 1)
	return c
}

func (o *options) runAccount(out io.Writer) error {
	input := io.Reader(os.Stdin)
	if o.accountFile != "-" {
		f, err := os.Open(o.accountFile)
		if err != nil {
			return err
		}
		defer f.Close()
		input = f
	}
	day, err := account.Read(input)
	if err != nil {
		return err
	}
	day.Write(out, o.accountEvery, o.accountWorkers)
	return nil
}
