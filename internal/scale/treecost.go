package scale

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"bamboofork/internal/caslog"
	"bamboofork/internal/dissemination"
	"bamboofork/internal/settings"
)

// TreeCost holds the cost of an edit of one branch in each process, in CPU seconds of one core, and the size of the tree in
// bytes.
type TreeCost struct {
	Branches                 int
	Apply, Checksum, Compile float64
	JSONBytes, Compressed    int
}

// treeRounds is the number of repetitions of each measured step.
const treeRounds = 5

// MeasureTree measures what each process does for each revision, for an edit of one branch of a generated tree.
func MeasureTree(branches int, seed uint64) (TreeCost, error) {
	tree := GenerateTree(branches, seed)
	c := TreeCost{Branches: branches}
	record := caslog.Record{Seq: 1, Data: json.RawMessage(`{"author":"bf-scale","changes":[{"branch":"team-0","set":{"weight":"7"}}]}`)}
	var err error
	c.Apply = cpuSecondsPerRound(func() { _, err = settings.ApplyRecord(tree, record) })
	if err != nil {
		return c, err
	}
	c.Checksum = cpuSecondsPerRound(func() { dissemination.Checksum(tree) })
	c.Compile = cpuSecondsPerRound(func() { _, err = settings.Compile(1, tree) })
	if err != nil {
		return c, err
	}
	raw, err := json.Marshal(tree)
	if err != nil {
		return c, err
	}
	c.JSONBytes = len(raw)
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	if _, err = w.Write(raw); err == nil {
		err = w.Close()
	}
	c.Compressed = buf.Len()
	return c, err
}

func cpuSecondsPerRound(do func()) float64 {
	before := cpuTime()
	for range treeRounds {
		do()
	}
	return (cpuTime() - before).Seconds() / treeRounds
}

// MeasureAndPrintTrees measures trees of the given sizes and fits the cost of an edit against the number of branches.
func MeasureAndPrintTrees(w io.Writer, sizes []int, seed uint64) error {
	x, y := []float64{}, []float64{}
	for _, n := range sizes {
		c, err := MeasureTree(n, seed)
		if err != nil {
			return err
		}
		total := c.Apply + c.Checksum + c.Compile
		fmt.Fprintf(w, "branches %d json %d B compressed %d B  apply %v checksum %v compile %v  edit %v\n", n, c.JSONBytes, c.Compressed,
			roundedDuration(c.Apply), roundedDuration(c.Checksum), roundedDuration(c.Compile), roundedDuration(total))
		x, y = append(x, float64(n)), append(y, total*1e6)
	}
	f := FitLine(x, y)
	fmt.Fprintf(w, "fit cpu of an edit: %.4g + %.4g per branch us\n", f.Intercept, f.Slope)
	return nil
}

func roundedDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second)).Round(time.Microsecond)
}
