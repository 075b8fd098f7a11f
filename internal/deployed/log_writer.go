package deployed

import (
	"io"
	"sync"
	"time"
)

const (
	// logFlushDelay is the longest time for which a log line is held back to be written together with later lines.
	logFlushDelay = 20 * time.Millisecond
	// logFlushBytes is the amount of held lines that is written at once.
	logFlushBytes = 16 << 10
)

// batchWriter joins log lines into fewer writes. The owner of the jobs logs thousands of lines a second, and a system call for
// each of them costs more than the line itself. mu guards the fields below it and is held during a write; only the goroutine that
// drains the log buffer and the flush timer wait for it.
type batchWriter struct {
	out io.Writer

	mu      sync.Mutex
	held    []byte
	pending bool // a flush is scheduled
}

// Write holds the line back for at most logFlushDelay.
func (w *batchWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.held = append(w.held, line...)
	if len(w.held) >= logFlushBytes {
		w.flushLocked()
	} else if !w.pending {
		w.pending = true
		time.AfterFunc(logFlushDelay, w.Flush)
	}
	return len(line), nil
}

// Flush writes the lines that are held back.
func (w *batchWriter) Flush() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = false
	w.flushLocked()
}

// flushLocked writes the held lines. A failed write drops them: there is no other place to report it.
func (w *batchWriter) flushLocked() {
	if len(w.held) > 0 {
		_, _ = w.out.Write(w.held)
		w.held = w.held[:0]
	}
}
