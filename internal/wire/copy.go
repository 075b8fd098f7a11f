package wire

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// copyBufferBytes is the size of each buffer in copyBuffers.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// CopyBody copies the body of resp to w. A body of unknown length may be a stream, so CopyBody flushes w after each read of
// such a body. It does not flush a body of known length; the buffer of the HTTP server then saves a write for each short
// response.
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
