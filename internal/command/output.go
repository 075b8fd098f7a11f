package command

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
)

// table is the form of an answer for people.
type table struct {
	header []any
	rows   [][]any
}

func (t *table) add(cells ...any) { t.rows = append(t.rows, cells) }

// print writes value as JSON or the table, as the --output flag says.
func (c *cli) print(value any, t table) error {
	if c.format == "json" {
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
