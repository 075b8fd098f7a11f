package wire

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// copyBufferBytes is the unit in which bodies are passed on.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// CopyBody passes a response's body on. A body of unknown length may be a stream, so each part is flushed; one of
// known length is left to the server's buffer, which saves a write for each short answer.
func CopyBody(w http.ResponseWriter, resp *http.Response) error {
	buf := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buf)
	flush := func() error { return nil }
	if resp.ContentLength < 0 {
		flush = http.NewResponseController(w).Flush
	}
	for {
		n, err := resp.Body.Read(buf[:])
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return err
			}
			if err := flush(); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
