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
	maxBufferedBytes = 256 << 20 // limit of all bodies together that an entry buffers at the same time
)

// Errors of reading a caller's body.
var (
	errBodyTooLarge = errors.New("body exceeds the limit of the branch")
	errBodyBudget   = errors.New("too many large bodies are being received")
)

// bufferBudget counts the bytes of all bodies that an entry has buffered and limits them to maxBufferedBytes.
type bufferBudget struct{ usedBytes atomic.Int64 }

func (b *bufferBudget) tryReserve(byteCount int64) bool {
	if b.usedBytes.Add(byteCount) > maxBufferedBytes {
		b.usedBytes.Add(-byteCount)
		return false
	}
	return true
}

// Body is a caller's request body. head is its buffered prefix; rest is the unread remainder of the stream, for a body that
// is larger than the buffer. The body can be sent again as long as no byte of rest has been read.
type Body struct {
	head            []byte
	rest            io.Reader // nil if head holds the whole body
	length          int64     // -1: unknown
	maxBytes        int64
	restReadStarted atomic.Bool // reading of the rest has begun
	budget          *bufferBudget
	reservedBytes   int64
}

// newBody buffers the prefix of a body. length is the Content-Length, or -1 if it is unknown. It returns errBodyTooLarge if
// the body has more than maxBytes bytes, and reads nothing if length alone shows it. It returns errBodyBudget if the budget
// is used up.
func newBody(source io.Reader, length, maxBytes int64, budget *bufferBudget) (*Body, error) {
	if length > maxBytes {
		return nil, errBodyTooLarge
	}
	body := &Body{length: length, maxBytes: maxBytes, budget: budget}
	head, err := io.ReadAll(io.LimitReader(source, min(maxReplayBytes, maxBytes)+1))
	switch {
	case err != nil:
		return nil, err
	case int64(len(head)) > maxBytes:
		return nil, errBodyTooLarge
	case !body.reserve(int64(len(head))):
		return nil, errBodyBudget
	}
	body.head = head
	if len(head) > maxReplayBytes {
		body.rest = &limitedBody{source: source, remainingBytes: maxBytes - int64(len(head))}
	} else {
		body.length = int64(len(head))
	}
	return body, nil
}

func (b *Body) reserve(byteCount int64) bool {
	if !b.budget.tryReserve(byteCount) {
		return false
	}
	b.reservedBytes += byteCount
	return true
}

// ReleaseBudget returns the reserved bytes to the budget. It may be called more than once.
func (b *Body) ReleaseBudget() {
	b.budget.usedBytes.Add(-b.reservedBytes)
	b.reservedBytes = 0
}

// buffer reads the rest of the body into memory. It is called for requests whose whole body must be known before they are
// sent.
func (b *Body) buffer() error {
	if b.rest == nil {
		return nil
	}
	needBytes := b.maxBytes
	if b.length > 0 {
		needBytes = b.length
	}
	if !b.reserve(needBytes) {
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

// replayable reports whether the whole body can be sent, for the first time or again.
func (b *Body) replayable() bool { return b.rest == nil || !b.restReadStarted.Load() }

// reader returns a reader of the whole body for one attempt. The type of the reader hides the buffer from the HTTP transport,
// which could otherwise replay the body and retry on its own.
func (b *Body) reader() io.ReadCloser {
	if b.rest == nil {
		return io.NopCloser(io.MultiReader(bytes.NewReader(b.head)))
	}
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.head), restReader{b}))
}

type restReader struct{ b *Body }

func (r restReader) Read(p []byte) (int, error) {
	r.b.restReadStarted.Store(true)
	return r.b.rest.Read(p)
}

// limitedBody fails with errBodyTooLarge once more than remaining bytes have been read.
type limitedBody struct {
	source         io.Reader
	remainingBytes int64
}

// Read implements io.Reader.
func (l *limitedBody) Read(p []byte) (int, error) {
	n, err := l.source.Read(p)
	l.remainingBytes -= int64(n)
	if l.remainingBytes < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}

// bodyErrorResult returns the result of a request whose body could not be read. Such a request is not dispatched.
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
	return &Result{Outcome: wire.OutcomeNotRun, Status: status, Reason: "request body: " + err.Error(), QueueTime: queueTimeUnknown}
}
