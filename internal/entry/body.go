package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"

	"bamboofork/internal/wire"
)

// Sizes of request bodies at an entry, in bytes.
const (
	maxReplayBytes   = 256 << 10 // a body up to this size is buffered, so that the request can be retried
	maxBufferedBytes = 256 << 20 // total of all bodies buffered by an entry at a time
)

// Errors of reading a caller's body.
var (
	errBodyTooLarge = errors.New("body exceeds the limit of the branch")
	errBodyBudget   = errors.New("too many large bodies are being received")
)

// bufferBudget counts the bytes of all buffered bodies of an entry.
type bufferBudget struct{ used atomic.Int64 }

func (b *bufferBudget) tryReserve(n int64) bool {
	if b.used.Add(n) > maxBufferedBytes {
		b.used.Add(-n)
		return false
	}
	return true
}

// Body is a caller's request body: a buffered prefix (head) and, for large bodies, the unread rest of the stream. It can be
// sent again as long as nothing of the rest has been read.
type Body struct {
	head     []byte
	rest     io.Reader // nil if head holds the whole body
	length   int64     // -1: unknown
	limit    int64
	restRead atomic.Bool // reading of the rest has begun
	budget   *bufferBudget
	reserved int64
}

// newBody buffers the head of a body. A body that exceeds the limit fails with errBodyTooLarge, before any read if its
// length is known.
func newBody(r io.Reader, length, limit int64, budget *bufferBudget) (*Body, error) {
	if length > limit {
		return nil, errBodyTooLarge
	}
	b := &Body{length: length, limit: limit, budget: budget}
	head, err := io.ReadAll(io.LimitReader(r, min(maxReplayBytes, limit)+1))
	switch {
	case err != nil:
		return nil, err
	case int64(len(head)) > limit:
		return nil, errBodyTooLarge
	case !b.reserve(int64(len(head))):
		return nil, errBodyBudget
	}
	b.head = head
	if len(head) > maxReplayBytes {
		b.rest = &limitedBody{r: r, remaining: limit - int64(len(head))}
	} else {
		b.length = int64(len(head))
	}
	return b, nil
}

func (b *Body) reserve(n int64) bool {
	if !b.budget.tryReserve(n) {
		return false
	}
	b.reserved += n
	return true
}

// Release returns the reserved bytes to the budget. It may be called more than once.
func (b *Body) Release() {
	b.budget.used.Add(-b.reserved)
	b.reserved = 0
}

// buffer reads the rest into memory, for requests whose whole body must be known before they are sent.
func (b *Body) buffer() error {
	if b.rest == nil {
		return nil
	}
	need := b.limit
	if b.length > 0 {
		need = b.length
	}
	if !b.reserve(need) {
		return errBodyBudget
	}
	rest, err := io.ReadAll(b.rest)
	if err != nil {
		return err
	}
	b.head, b.rest = append(b.head, rest...), nil
	b.length = int64(len(b.head))
	return nil
}

// replayable reports whether the body can be sent (again).
func (b *Body) replayable() bool { return b.rest == nil || !b.restRead.Load() }

// reader returns the whole body for one attempt. Its type hides the buffer, so that the HTTP transport cannot replay the
// body and retry on its own.
func (b *Body) reader() io.ReadCloser {
	if b.rest == nil {
		return io.NopCloser(io.MultiReader(bytes.NewReader(b.head)))
	}
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.head), restReader{b}))
}

type restReader struct{ b *Body }

func (r restReader) Read(p []byte) (int, error) {
	r.b.restRead.Store(true)
	return r.b.rest.Read(p)
}

// limitedBody fails with errBodyTooLarge once more than remaining bytes have been read.
type limitedBody struct {
	r         io.Reader
	remaining int64
}

// Read implements io.Reader.
func (l *limitedBody) Read(p []byte) (int, error) {
	n, err := l.r.Read(p)
	l.remaining -= int64(n)
	if l.remaining < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}

// bodyErrorResult returns the result of a request whose body could not be read; nothing was dispatched.
func bodyErrorResult(err error) *Result {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errBodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, errBodyBudget):
		status = http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	}
	return &Result{Outcome: wire.OutcomeNotRun, Status: status, Reason: "request body: " + err.Error(), Waited: waitUnknown}
}
