package command

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
)

// table is the human-readable form of a result.
type table struct {
	header []any
	rows   [][]any
}

func (t *table) add(cells ...any) { t.rows = append(t.rows, cells) }

// print writes value as JSON, or t as text, depending on the --output flag.
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
