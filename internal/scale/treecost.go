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

// TreeCost is the cost that an edit of one branch of a settings tree causes in each process. ApplySeconds, ChecksumSeconds
// and CompileSeconds are CPU seconds of one core. JSONBytes and CompressedBytes are the sizes in bytes of the tree as JSON
// and as gzip-compressed JSON.
type TreeCost struct {
	Branches                                      int
	ApplySeconds, ChecksumSeconds, CompileSeconds float64
	JSONBytes, CompressedBytes                    int
}

// treeRounds is the number of runs of each measured operation, over which the CPU time is averaged.
const treeRounds = 5

// MeasureTree measures the CPU time that each process needs for an edit of one branch of a generated tree, and the size of the tree.
func MeasureTree(branches int, seed uint64) (TreeCost, error) {
	tree := GenerateTree(branches, seed)
	c := TreeCost{Branches: branches}
	record := caslog.Record{Seq: 1, Data: json.RawMessage(`{"author":"bf-scale","changes":[{"branch":"team-0","set":{"weight":"7"}}]}`)}
	var err error
	c.ApplySeconds = cpuSecondsPerRound(func() { _, err = settings.ApplyRecord(tree, record) })
	if err != nil {
		return c, err
	}
	c.ChecksumSeconds = cpuSecondsPerRound(func() { dissemination.Checksum(tree) })
	c.CompileSeconds = cpuSecondsPerRound(func() { _, err = settings.Compile(1, tree) })
	if err != nil {
		return c, err
	}
	raw, err := json.Marshal(tree)
	if err != nil {
		return c, err
	}
	c.JSONBytes = len(raw)
	var buf bytes.Buffer
	zw := gzip.NewWriter(&buf)
	if _, err = zw.Write(raw); err == nil {
		err = zw.Close()
	}
	c.CompressedBytes = buf.Len()
	return c, err
}

// cpuSecondsPerRound returns the mean CPU time in seconds of a call of operation.
func cpuSecondsPerRound(operation func()) float64 {
	before := cpuTime()
	for range treeRounds {
		operation()
	}
	return (cpuTime() - before).Seconds() / treeRounds
}

// MeasureAndPrintTrees measures trees with the given numbers of branches. It prints the costs of each tree, and a linear fit of the
// CPU time of an edit against the number of branches.
func MeasureAndPrintTrees(w io.Writer, sizes []int, seed uint64) error {
	branchCounts, editMicros := []float64{}, []float64{}
	for _, n := range sizes {
		c, err := MeasureTree(n, seed)
		if err != nil {
			return err
		}
		editSeconds := c.ApplySeconds + c.ChecksumSeconds + c.CompileSeconds
		fmt.Fprintf(w, "branches %d json %d B compressed %d B  apply %v checksum %v compile %v  edit %v\n", n, c.JSONBytes,
			c.CompressedBytes, roundedDuration(c.ApplySeconds), roundedDuration(c.ChecksumSeconds), roundedDuration(c.CompileSeconds),
			roundedDuration(editSeconds))
		branchCounts, editMicros = append(branchCounts, float64(n)), append(editMicros, editSeconds*1e6)
	}
	f := FitLine(branchCounts, editMicros)
	fmt.Fprintf(w, "fit cpu of an edit: %.4g + %.4g per branch us\n", f.Intercept, f.Slope)
	return nil
}

func roundedDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second)).Round(time.Microsecond)
}
