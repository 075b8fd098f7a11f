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

// Guards against two failures: a malformed job submission crashes the decoder, or a submission with values out of range
// passes the validation.
func FuzzDecodeJob(f *testing.F) {
	f.Add([]byte(`{"branch":"","tasks":1,"need":{"cores":1},"run_ms":5}`))
	f.Add([]byte(`{"tasks":-1}`))
	f.Add([]byte(`[`))
	snapshot := settings.NewActiveSnapshot().Current()
	f.Fuzz(func(t *testing.T, data []byte) {
		job, status, err := DecodeJobRequest(bytes.NewReader(data))
		if (err == nil) != (status == http.StatusOK) {
			t.Fatalf("status %d with error %v", status, err)
		}
		if _, invalid := job.validate(snapshot); invalid == "" && (job.Tasks < 1 || job.Tasks > maxJobTasks || job.RunMs < 1) {
			t.Fatalf("accepted %+v", job)
		}
	})
}

// Guards against two failures: a malformed job ID crashes the parser, or a job ID yields a partition number outside 0 to 255.
func FuzzJobID(f *testing.F) {
	f.Add("0a-x")
	f.Add("-")
	f.Fuzz(func(t *testing.T, id string) {
		if p, ok := partition.PartitionForJobID(id); ok && (p < 0 || p > 255) {
			t.Fatalf("%q: partition %d", id, p)
		}
	})
}

// An entry buffers only the first maxReplayBytes + 1 bytes of a large body. Guards against buffering more than that, and
// against a second attempt after the rest of the body has been read. A body above the limit must cause an error.
func TestLargeBodyIsStreamedNotBuffered(t *testing.T) {
	budget := &bufferBudget{}
	content := strings.Repeat("x", maxReplayBytes*4)
	body, err := newBody(io.MultiReader(strings.NewReader(content)), -1, int64(len(content)), budget)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, len(body.head) <= maxReplayBytes+1, qt.IsTrue)
	qt.Check(t, body.replayable(), qt.IsTrue)
	data, err := io.ReadAll(body.reader())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(data) == content, qt.IsTrue)
	qt.Check(t, body.replayable(), qt.IsFalse)
	body.ReleaseBudget()
	body.ReleaseBudget()
	qt.Check(t, budget.usedBytes.Load(), qt.Equals, int64(0))

	body, err = newBody(io.MultiReader(strings.NewReader(content)), -1, maxReplayBytes*2, budget)
	qt.Assert(t, err, qt.IsNil)
	_, err = io.ReadAll(body.reader())
	qt.Check(t, err, qt.Equals, errBodyTooLarge)
	_, err = newBody(strings.NewReader(content), int64(len(content)), 10, budget)
	qt.Check(t, err, qt.Equals, errBodyTooLarge)
}

// A connection can break after the last byte of a response and before its END_STREAM frame. Guards against reporting that
// complete response as truncated. A response with fewer bytes than its Content-Length must still be reported as truncated.
func TestSizedBodyEndsAtContentLength(t *testing.T) {
	withoutEnd := io.MultiReader(strings.NewReader("whole"), brokenReader{})
	data, err := io.ReadAll(&sizedBody{ReadCloser: io.NopCloser(withoutEnd), remainingBytes: 5})
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, string(data), qt.Equals, "whole")
	_, err = io.ReadAll(&sizedBody{ReadCloser: io.NopCloser(strings.NewReader("short")), remainingBytes: 6})
	qt.Check(t, err, qt.Equals, io.ErrUnexpectedEOF)
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrClosedPipe }
