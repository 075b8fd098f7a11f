// Package session carries messages between two of our processes over one TCP connection: length-prefixed JSON frames in
// both directions, a bounded queue for writing, and a limit on silence after which the connection counts as lost.
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
	// DialTimeout bounds a connection attempt; hosts without power do not answer at all.
	DialTimeout = 700 * time.Millisecond
	// Silence is how long a connection may carry nothing before it counts as lost; both sides send every 300 ms.
	Silence = 1500 * time.Millisecond
	// maxFrame bounds a message so that a broken peer cannot exhaust the memory.
	maxFrame = 8 << 20
	// writeQueue is the number of messages that may wait; a peer that reads slower is disconnected.
	writeQueue = 1024
)

// Conn is a connection of framed messages of type In (received) and Out (sent). Send is safe for concurrent use.
type Conn[Out, In any] struct {
	c    net.Conn
	r    *bufio.Reader
	out  chan Out
	done chan struct{}
	once sync.Once
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
	s := &Conn[Out, In]{c: c, r: bufio.NewReaderSize(c, 16<<10), out: make(chan Out, writeQueue), done: make(chan struct{})}
	go s.write()
	return s
}

// Send queues a message. It reports false if the connection is closed or the peer reads too slowly.
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

// Receive returns the next message. It fails when the connection ends or stays silent.
func (s *Conn[Out, In]) Receive() (In, error) {
	var m In
	if err := s.c.SetReadDeadline(time.Now().Add(Silence)); err != nil {
		return m, err
	}
	var head [4]byte
	if _, err := io.ReadFull(s.r, head[:]); err != nil {
		return m, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxFrame {
		return m, eris.Errorf("frame of %d bytes", n)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(s.r, body); err != nil {
		return m, err
	}
	return m, json.Unmarshal(body, &m)
}

// Done is closed when the connection is closed on this side.
func (s *Conn[Out, In]) Done() <-chan struct{} { return s.done }

// Remote returns the peer's address.
func (s *Conn[Out, In]) Remote() string { return s.c.RemoteAddr().String() }

// Close ends the connection at once; queued messages are dropped.
func (s *Conn[Out, In]) Close() {
	s.once.Do(func() {
		close(s.done)
		s.c.Close()
	})
}

// Flush waits until the queued messages are written, at most for the timeout.
func (s *Conn[Out, In]) Flush(timeout time.Duration) {
	end := time.Now().Add(timeout)
	for len(s.out) > 0 && time.Now().Before(end) {
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *Conn[Out, In]) write() {
	defer s.Close()
	w := bufio.NewWriterSize(s.c, 16<<10)
	for {
		select {
		case <-s.done:
			return
		case m := <-s.out:
			if s.writeAll(w, m) != nil {
				return
			}
		}
	}
}

// writeAll writes the message and what else is queued in as few system calls as possible.
func (s *Conn[Out, In]) writeAll(w *bufio.Writer, m Out) error {
	if err := s.c.SetWriteDeadline(time.Now().Add(Silence)); err != nil {
		return err
	}
	for {
		body, err := json.Marshal(m)
		if err != nil {
			return err
		}
		var head [4]byte
		binary.BigEndian.PutUint32(head[:], uint32(len(body)))
		w.Write(head[:])
		w.Write(body)
		select {
		case m = <-s.out:
			continue
		default:
		}
		return w.Flush()
	}
}
