package command

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
)

// table is the human-readable form of the result of a subcommand.
type table struct {
	header []any
	rows   [][]any
}

func (t *table) add(cells ...any) { t.rows = append(t.rows, cells) }

// print writes value as JSON if --output is json. Otherwise it writes t as aligned text.
func (c *cli) print(value any, t table) error {
	if c.outputFormat == "json" {
		enc := json.NewEncoder(c.out)
		enc.SetIndent("", "  ")
		return enc.Encode(value)
	}
	w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	for _, row := range append([][]any{t.header}, t.rows...) {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, cell)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}
