package intake

import (
	"errors"
	"io"
	"slices"
	"sync"
)

const (
	firstSegment = 1 << 10  // bytes
	maxSegment   = 16 << 10 // bytes
)

// Received is a body that has arrived.
type Received struct {
	segments [][]byte
	bytes    int
}

// largeSegments keeps segments of maxSegment bytes, of which crowds of unfinished bodies leave many behind.
var largeSegments = sync.Pool{New: func() any { return new([maxSegment]byte) }}

func newSegment(bytes int) []byte {
	if bytes < maxSegment {
		return make([]byte, 0, bytes)
	}
	return largeSegments.Get().(*[maxSegment]byte)[:0]
}

// release gives the segments back for other bodies.
func (r *Received) release() {
	for _, segment := range r.segments {
		if cap(segment) == maxSegment {
			largeSegments.Put((*[maxSegment]byte)(segment[:maxSegment]))
		}
	}
	r.segments = nil
}

// ReadAll reads to the end of r into buffers that hold at most twice the bytes that have arrived.
func ReadAll(r io.Reader) (Received, error) {
	var received Received
	segment := make([]byte, 0, firstSegment)
	for {
		if len(segment) == cap(segment) {
			received.add(segment)
			segment = newSegment(min(received.bytes, maxSegment))
		}
		n, err := r.Read(segment[len(segment):cap(segment)])
		segment = segment[:len(segment)+n]
		if errors.Is(err, io.EOF) {
			received.add(segment)
			return received, nil
		}
		if err != nil {
			received.add(segment)
			received.release()
			return Received{}, err
		}
	}
}

func (r *Received) add(segment []byte) {
	r.segments = append(r.segments, segment)
	r.bytes += len(segment)
}

// largeDecoding is held while a body of more than one segment is joined and decoded, which takes more memory than the body.
var largeDecoding sync.Mutex

// Decode calls decode with the body, which must not be used any more afterwards.
func (r *Received) Decode(decode func(body []byte)) {
	defer r.release()
	if r.bytes > maxSegment {
		largeDecoding.Lock()
		defer largeDecoding.Unlock()
	}
	if len(r.segments) == 1 {
		decode(r.segments[0])
		return
	}
	decode(slices.Concat(r.segments...))
}
