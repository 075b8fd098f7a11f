package entry

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/partition"
	"bamboofork/internal/settings"
)

// Guards against a job submission that crashes the decoder or passes validation with values out of range.
func FuzzDecodeJob(f *testing.F) {
	f.Add([]byte(`{"branch":"","tasks":1,"need":{"cores":1},"run_ms":5}`))
	f.Add([]byte(`{"tasks":-1}`))
	f.Add([]byte(`[`))
	snapshot := settings.NewLive().Current()
	f.Fuzz(func(t *testing.T, data []byte) {
		in, status, err := DecodeJob(bytes.NewReader(data))
		if (err == nil) != (status == http.StatusOK) {
			t.Fatalf("status %d with error %v", status, err)
		}
		if _, invalid := in.validate(snapshot); invalid == "" && (in.Tasks < 1 || in.Tasks > maxJobTasks || in.RunMs < 1) {
			t.Fatalf("accepted %+v", in)
		}
	})
}

// Guards against a job ID that maps to a partition out of range or crashes the parser.
func FuzzJobID(f *testing.F) {
	f.Add("0a-x")
	f.Add("-")
	f.Fuzz(func(t *testing.T, id string) {
		if p, ok := partition.ForJobID(id); ok && (p < 0 || p > 255) {
			t.Fatalf("%q: partition %d", id, p)
		}
	})
}

// Guards against a large body that is buffered whole, that counts as replayable after its rest was read, or that exceeds
// the limit without an error.
func TestBodyStreamsBeyondItsHead(t *testing.T) {
	budget := &bufferBudget{}
	large := strings.Repeat("x", maxReplayBytes*4)
	b, err := newBody(io.MultiReader(strings.NewReader(large)), -1, int64(len(large)), budget)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, len(b.head) <= maxReplayBytes+1, qt.IsTrue)
	qt.Check(t, b.replayable(), qt.IsTrue)
	data, err := io.ReadAll(b.reader())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(data) == large, qt.IsTrue)
	qt.Check(t, b.replayable(), qt.IsFalse)
	b.Release()
	b.Release()
	qt.Check(t, budget.used.Load(), qt.Equals, int64(0))

	b, err = newBody(io.MultiReader(strings.NewReader(large)), -1, maxReplayBytes*2, budget)
	qt.Assert(t, err, qt.IsNil)
	_, err = io.ReadAll(b.reader())
	qt.Check(t, err, qt.Equals, errBodyTooLarge)
	_, err = newBody(strings.NewReader(large), int64(len(large)), 10, budget)
	qt.Check(t, err, qt.Equals, errBodyTooLarge)
}

// Guards against a complete response that is reported as truncated because its END_STREAM frame is missing, and against a
// truncated response that is accepted as complete.
func TestSizedBody(t *testing.T) {
	lost := io.MultiReader(strings.NewReader("whole"), errReader{})
	data, err := io.ReadAll(&sizedBody{ReadCloser: io.NopCloser(lost), remaining: 5})
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, string(data), qt.Equals, "whole")
	_, err = io.ReadAll(&sizedBody{ReadCloser: io.NopCloser(strings.NewReader("short")), remaining: 6})
	qt.Check(t, err, qt.Equals, io.ErrUnexpectedEOF)
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, io.ErrClosedPipe }
