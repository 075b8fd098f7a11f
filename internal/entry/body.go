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
	replayBody   = 256 << 10 // a body up to this size is buffered, so that the request can be repeated
	bufferedBody = 256 << 20 // all bodies that an entry buffers at once
)

// Errors of reading a caller's body.
var (
	errBodyTooLarge = errors.New("body exceeds the limit of the branch")
	errBodyBudget   = errors.New("too many large bodies are being received")
)

// bufferBudget counts the bytes of all buffered bodies of an entry.
type bufferBudget struct{ used atomic.Int64 }

func (b *bufferBudget) take(n int64) bool {
	if b.used.Add(n) > bufferedBody {
		b.used.Add(-n)
		return false
	}
	return true
}

// Body is a caller's request body: a buffered head and, for large bodies, the rest as it arrives. It can be sent again
// while the rest is untouched.
type Body struct {
	head   []byte
	rest   io.Reader // nil if head is everything
	length int64     // -1: not known
	limit  int64
	read   atomic.Bool // the rest was touched
	budget *bufferBudget
	taken  int64
}

// newBody reads the head of a body. Bodies beyond the limit fail with errBodyTooLarge, at once if the length is known.
func newBody(r io.Reader, length, limit int64, budget *bufferBudget) (*Body, error) {
	if length > limit {
		return nil, errBodyTooLarge
	}
	b := &Body{length: length, limit: limit, budget: budget}
	head, err := io.ReadAll(io.LimitReader(r, min(replayBody, limit)+1))
	switch {
	case err != nil:
		return nil, err
	case int64(len(head)) > limit:
		return nil, errBodyTooLarge
	case !b.reserve(int64(len(head))):
		return nil, errBodyBudget
	}
	b.head = head
	if len(head) > replayBody {
		b.rest = &limitedBody{r: r, left: limit - int64(len(head))}
	} else {
		b.length = int64(len(head))
	}
	return b, nil
}

func (b *Body) reserve(n int64) bool {
	if !b.budget.take(n) {
		return false
	}
	b.taken += n
	return true
}

// Release returns the buffer's share of the budget; it may be called more than once.
func (b *Body) Release() {
	b.budget.used.Add(-b.taken)
	b.taken = 0
}

// buffer reads the rest, for requests whose whole body must be known before they are sent.
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
func (b *Body) replayable() bool { return b.rest == nil || !b.read.Load() }

// reader returns the whole body for one try. Its type hides the buffer, so that the transport cannot repeat the
// request by itself.
func (b *Body) reader() io.ReadCloser {
	if b.rest == nil {
		return io.NopCloser(io.MultiReader(bytes.NewReader(b.head)))
	}
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.head), touchReader{b}))
}

type touchReader struct{ b *Body }

func (t touchReader) Read(p []byte) (int, error) {
	t.b.read.Store(true)
	return t.b.rest.Read(p)
}

// limitedBody fails with errBodyTooLarge beyond the limit.
type limitedBody struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (l *limitedBody) Read(p []byte) (int, error) {
	n, err := l.r.Read(p)
	l.left -= int64(n)
	if l.left < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}

// bodyAnswer is the answer to a request whose body could not be received; nothing was dispatched.
func bodyAnswer(err error) *Answer {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errBodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, errBodyBudget):
		status = http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	}
	return &Answer{Outcome: wire.OutcomeNotRun, Status: status, Reason: "request body: " + err.Error(), Waited: waitUnknown}
}
