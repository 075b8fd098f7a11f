// Package session exchanges messages between two processes of the system over one TCP connection: length-prefixed JSON frames
// in both directions, a bounded write queue, and an idle timeout after which the connection counts as lost.
package session

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// DialTimeout bounds a connection attempt; a host without power does not refuse it.
	DialTimeout = 700 * time.Millisecond
	// IdleTimeout is the idle time after which a connection counts as lost; both sides send every 300 ms.
	IdleTimeout = 1500 * time.Millisecond
	// maxFrameBytes is the maximum size of a message in bytes, so that a faulty peer cannot exhaust the memory.
	maxFrameBytes = 8 << 20
	// writeQueueSize is the capacity of the write queue in messages; a peer that lets it fill up is disconnected.
	writeQueueSize = 1024
)

// Conn is a connection that sends messages of type Out and receives messages of type In. Send is safe for concurrent use.
type Conn[Out, In any] struct {
	conn   net.Conn
	reader *bufio.Reader
	out    chan Out
	done   chan struct{}
	once   sync.Once
}

// Dial connects to a peer.
func Dial[Out, In any](ctx context.Context, addr string) (*Conn[Out, In], error) {
	d := net.Dialer{Timeout: DialTimeout, KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "dial %s", addr)
	}
	return New[Out, In](c), nil
}

// New wraps an open connection and starts its writer.
func New[Out, In any](c net.Conn) *Conn[Out, In] {
	s := &Conn[Out, In]{conn: c, reader: bufio.NewReaderSize(c, 16<<10), out: make(chan Out, writeQueueSize), done: make(chan struct{})}
	go s.writeLoop()
	return s
}

// Send queues a message. It returns false if the connection is closed, or if the write queue is full because the peer reads too
// slowly; it then closes the connection.
func (s *Conn[Out, In]) Send(m Out) bool {
	select {
	case <-s.done:
		return false
	default:
	}
	select {
	case s.out <- m:
		return true
	default:
		s.Close()
		return false
	}
}

// Receive returns the next message. It fails if the connection ends or nothing arrives within IdleTimeout.
func (s *Conn[Out, In]) Receive() (In, error) {
	var m In
	if err := s.conn.SetReadDeadline(time.Now().Add(IdleTimeout)); err != nil {
		return m, err
	}
	var header [4]byte
	if _, err := io.ReadFull(s.reader, header[:]); err != nil {
		return m, err
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > maxFrameBytes {
		return m, eris.Errorf("frame of %d bytes exceeds the limit", n)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(s.reader, body); err != nil {
		return m, err
	}
	return m, json.Unmarshal(body, &m)
}

// Done returns a channel that is closed when this side closes the connection.
func (s *Conn[Out, In]) Done() <-chan struct{} { return s.done }

// Remote returns the peer's address.
func (s *Conn[Out, In]) Remote() string { return s.conn.RemoteAddr().String() }

// Close ends the connection at once; queued messages are dropped.
func (s *Conn[Out, In]) Close() {
	s.once.Do(func() {
		close(s.done)
		s.conn.Close()
	})
}

// Flush waits until the write queue is empty, at most for the timeout.
func (s *Conn[Out, In]) Flush(timeout time.Duration) {
	end := time.Now().Add(timeout)
	for len(s.out) > 0 && time.Now().Before(end) {
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *Conn[Out, In]) writeLoop() {
	defer s.Close()
	w := bufio.NewWriterSize(s.conn, 16<<10)
	for {
		select {
		case <-s.done:
			return
		case m := <-s.out:
			if s.writeBatch(w, m) != nil {
				return
			}
		}
	}
}

// writeBatch writes the message and all queued ones, and flushes once to save system calls.
func (s *Conn[Out, In]) writeBatch(w *bufio.Writer, m Out) error {
	if err := s.conn.SetWriteDeadline(time.Now().Add(IdleTimeout)); err != nil {
		return err
	}
	for {
		body, err := json.Marshal(m)
		if err != nil {
			return err
		}
		var header [4]byte
		binary.BigEndian.PutUint32(header[:], uint32(len(body)))
		w.Write(header[:])
		w.Write(body)
		select {
		case m = <-s.out:
			continue
		default:
		}
		return w.Flush()
	}
}
