package deployed

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

type countingWriter struct {
	strings.Builder
	writes int
}

func (w *countingWriter) Write(p []byte) (int, error) {
	w.writes++
	return w.Builder.Write(p)
}

// Guards against a system call for each log line, and against lines that are lost, reordered or held back too long.
func TestLogLinesAreWrittenInBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &countingWriter{}
		w := &batchWriter{out: out}
		want := ""
		for i := range 1000 {
			line := fmt.Sprintf("{\"line\":%d}\n", i)
			want += line
			_, err := w.Write([]byte(line))
			qt.Assert(t, err, qt.IsNil)
		}
		time.Sleep(logFlushDelay + time.Millisecond)
		w.mu.Lock()
		defer w.mu.Unlock()
		qt.Check(t, out.String(), qt.Equals, want)
		qt.Check(t, out.writes <= 2, qt.IsTrue, qt.Commentf("%d writes", out.writes))
	})
}
