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
	// DialTimeout bounds a connection attempt. A host without power does not refuse the connection, so only the timeout ends the
	// attempt.
	DialTimeout = 700 * time.Millisecond
	// IdleTimeout is the time without a received message after which a connection counts as lost. Owners and agents send every
	// 300 ms, and entries send every 400 ms.
	IdleTimeout = 1500 * time.Millisecond
	// maxFrameBytes is the maximum size of a message in bytes. The limit keeps a faulty peer from exhausting the memory.
	maxFrameBytes = 8 << 20
	// writeQueueMessages is the capacity of the write queue in messages. A peer that lets the queue fill up is disconnected.
	writeQueueMessages = 1024
)

// Conn is a connection that sends messages of type Out and receives messages of type In. Send is safe for concurrent use.
type Conn[Out, In any] struct {
	conn       net.Conn
	reader     *bufio.Reader
	writeQueue chan Out
	done       chan struct{}
	closeOnce  sync.Once
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
	s := &Conn[Out, In]{conn: c, reader: bufio.NewReaderSize(c, 16<<10),
		writeQueue: make(chan Out, writeQueueMessages), done: make(chan struct{})}
	go s.writeLoop()
	return s
}

// Send queues a message. It returns false if the connection is closed. If the write queue is full because the peer reads too
// slowly, Send closes the connection and returns false.
func (s *Conn[Out, In]) Send(msg Out) bool {
	select {
	case <-s.done:
		return false
	default:
	}
	select {
	case s.writeQueue <- msg:
		return true
	default:
		s.Close()
		return false
	}
}

// Receive returns the next message. It fails if the connection ends or no complete message arrives within IdleTimeout.
func (s *Conn[Out, In]) Receive() (In, error) {
	var msg In
	if err := s.conn.SetReadDeadline(time.Now().Add(IdleTimeout)); err != nil {
		return msg, err
	}
	var header [4]byte
	if _, err := io.ReadFull(s.reader, header[:]); err != nil {
		return msg, err
	}
	bodyBytes := binary.BigEndian.Uint32(header[:])
	if bodyBytes > maxFrameBytes {
		return msg, eris.Errorf("frame of %d bytes exceeds the limit", bodyBytes)
	}
	body := make([]byte, bodyBytes)
	if _, err := io.ReadFull(s.reader, body); err != nil {
		return msg, err
	}
	return msg, json.Unmarshal(body, &msg)
}

// Done returns a channel that is closed when this side closes the connection.
func (s *Conn[Out, In]) Done() <-chan struct{} { return s.done }

// RemoteAddr returns the peer's address.
func (s *Conn[Out, In]) RemoteAddr() string { return s.conn.RemoteAddr().String() }

// Close closes the connection at once. Queued messages are dropped.
func (s *Conn[Out, In]) Close() {
	s.closeOnce.Do(func() {
		close(s.done)
		s.conn.Close()
	})
}

// Flush waits until the write queue is empty, but not longer than the timeout.
func (s *Conn[Out, In]) Flush(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for len(s.writeQueue) > 0 && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
}

// writeLoop writes the queued messages until the connection is closed or a write fails. It closes the connection when it
// returns.
func (s *Conn[Out, In]) writeLoop() {
	defer s.Close()
	writer := bufio.NewWriterSize(s.conn, 16<<10)
	for {
		select {
		case <-s.done:
			return
		case msg := <-s.writeQueue:
			if s.writeBatch(writer, msg) != nil {
				return
			}
		}
	}
}

// writeBatch writes the message and all queued messages, and flushes the buffer once to save system calls.
func (s *Conn[Out, In]) writeBatch(writer *bufio.Writer, msg Out) error {
	if err := s.conn.SetWriteDeadline(time.Now().Add(IdleTimeout)); err != nil {
		return err
	}
	for {
		body, err := json.Marshal(msg)
		if err != nil {
			return err
		}
		var header [4]byte
		binary.BigEndian.PutUint32(header[:], uint32(len(body)))
		writer.Write(header[:])
		writer.Write(body)
		select {
		case msg = <-s.writeQueue:
			continue
		default:
		}
		return writer.Flush()
	}
}
