// Package session exchanges messages between two processes of the system over one TCP connection: length-prefixed frames in
// both directions, a bounded write queue, and an idle timeout after which the connection counts as lost.
//
// A frame holds a message as JSON or as MessagePack. Each side begins with JSON and states in its first message whether it
// decodes MessagePack; once the peer has stated so, all further messages are sent as MessagePack. A process of an older version
// therefore keeps talking JSON in both directions.
package session

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tinylib/msgp/msgp"

	"bamboofork/internal/network"
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
	// maxFirstFrameBytes is the maximum size of the first message of a peer that has connected to this process.
	maxFirstFrameBytes = 4 << 10
	headerBytes        = 4        // length of the body, big-endian
	maxKeptBytes       = 64 << 10 // buffers above this size are not kept for the next message
	maxBatchBytes      = 16 << 10 // size from which a batch of messages is written
	// writeQueueMessages is the capacity of the write queue in messages. A peer that lets the queue fill up is disconnected.
	writeQueueMessages = 1024
)

// Conn is a connection that sends messages of type Out and receives messages of type In. Send is safe for concurrent use.
type Conn[Out, In any] struct {
	conn       net.Conn
	reader     *bufio.Reader
	writeQueue chan *Out // pointers, because the queue of each of hundreds of connections is allocated in full
	done       chan struct{}
	closeOnce  sync.Once
	unwritten  atomic.Int64 // number of messages that were queued and are not written yet
	sendBinary atomic.Bool  // the peer has stated that it decodes binary messages
	joinsParts atomic.Bool  // the peer has stated that it joins lists that come in parts
	oversized  atomic.Int64 // number of messages that were dropped because they exceed maxFrameBytes
	reported   atomic.Bool  // FirstOversized has returned true
	identified bool         // a first message has been decoded; used by Receive only
	body       []byte       // buffer of the received frame, used by Receive only
}

// jsonStart is the first byte of a JSON message. No binary message begins with this byte, because a message is a map.
const jsonStart = '{'

// handshake is implemented by messages that can state what their sender decodes.
type handshake interface {
	acceptsBinary() bool
	acceptsParts() bool
	maxFirstBytes() int // maximum size of the first message of a connection
}

func (m *ToMember) acceptsBinary() bool   { return m.AcceptsBinary }
func (m *ToMember) acceptsParts() bool    { return m.AcceptsParts }
func (m *FromMember) acceptsBinary() bool { return m.AcceptsBinary }
func (m *FromMember) acceptsParts() bool  { return false }

// An owner says no more than who it is in its first message. A member is dialled by the owner, so it is no stranger.
func (m *ToMember) maxFirstBytes() int   { return maxFirstFrameBytes }
func (m *FromMember) maxFirstBytes() int { return maxFrameBytes }

// errTooLarge is returned for a message that the peer would refuse.
var errTooLarge = errors.New("message exceeds the maximum size of a frame")

// Dial connects to a peer.
func Dial[Out, In any](ctx context.Context, through network.Network, addr string) (*Conn[Out, In], error) {
	dialCtx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	c, err := through.Dial(dialCtx, addr)
	if err != nil {
		return nil, eris.Wrapf(err, "dial %s", addr)
	}
	return New[Out, In](c), nil
}

// New wraps an open connection and starts its writer.
func New[Out, In any](c net.Conn) *Conn[Out, In] {
	s := &Conn[Out, In]{conn: c, reader: bufio.NewReaderSize(c, 16<<10),
		writeQueue: make(chan *Out, writeQueueMessages), done: make(chan struct{})}
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
	s.unwritten.Add(1)
	select {
	case s.writeQueue <- &msg:
		return true
	default:
		s.unwritten.Add(-1)
		s.Close()
		return false
	}
}

// Receive returns the next message. It fails if the connection ends or no complete message arrives within IdleTimeout. It is not
// safe for concurrent use.
func (s *Conn[Out, In]) Receive() (In, error) {
	var msg In
	if err := s.conn.SetReadDeadline(time.Now().Add(IdleTimeout)); err != nil {
		return msg, err
	}
	var header [headerBytes]byte
	if _, err := io.ReadFull(s.reader, header[:]); err != nil {
		return msg, err
	}
	bodyBytes := binary.BigEndian.Uint32(header[:])
	if bodyBytes > maxFrameBytes {
		return msg, eris.Errorf("frame of %d bytes exceeds the limit", bodyBytes)
	}
	h, isHandshake := any(&msg).(handshake)
	if isHandshake && !s.identified && int(bodyBytes) > h.maxFirstBytes() {
		return msg, eris.Errorf("first frame of %d bytes exceeds the limit", bodyBytes)
	}
	if err := s.readBody(int(bodyBytes)); err != nil {
		return msg, err
	}
	err := decode(s.body, &msg)
	if !s.identified && err == nil {
		s.identified = true
		if counted, ok := s.conn.(interface{ Identified() }); ok {
			counted.Identified()
		}
	}
	if isHandshake && err == nil {
		if h.acceptsBinary() {
			s.sendBinary.Store(true)
		}
		if h.acceptsParts() {
			s.joinsParts.Store(true)
		}
	}
	if cap(s.body) > maxKeptBytes {
		s.body = nil
	}
	return msg, err
}

// readBody reads a body of n bytes into s.body, which grows with what arrives: a peer may announce a body that it does not send.
func (s *Conn[Out, In]) readBody(n int) error {
	s.body = s.body[:0]
	for len(s.body) < n {
		start := len(s.body)
		end := min(n, start+max(start, maxKeptBytes))
		s.body = slices.Grow(s.body, end-start)[:end]
		if _, err := io.ReadFull(s.reader, s.body[start:]); err != nil {
			return err
		}
	}
	return nil
}

// decode decodes the body of a frame into the message.
func decode(body []byte, msg any) error {
	binaryMsg, ok := msg.(msgp.Unmarshaler)
	if !ok || len(body) == 0 || body[0] == jsonStart {
		return json.Unmarshal(body, msg)
	}
	_, err := binaryMsg.UnmarshalMsg(body)
	return eris.Wrap(err, "decode binary message")
}

// appendFrame appends the frame of the message to buf.
func appendFrame(buf []byte, msg any, asBinary bool) ([]byte, error) {
	start := len(buf)
	buf = append(buf, make([]byte, headerBytes)...)
	var err error
	if binaryMsg, ok := msg.(msgp.Marshaler); ok && asBinary {
		buf, err = binaryMsg.MarshalMsg(buf)
	} else {
		var body []byte
		body, err = json.Marshal(msg)
		buf = append(buf, body...)
	}
	if err != nil {
		return nil, eris.Wrap(err, "encode message")
	}
	if len(buf)-start-headerBytes > maxFrameBytes {
		return buf[:start], errTooLarge
	}
	binary.BigEndian.PutUint32(buf[start:], uint32(len(buf)-start-headerBytes))
	return buf, nil
}

// appendMessage appends the frame of the message to buf. It drops and counts a message that is too large: the peer would refuse it, and
// the connection with it, each time that it is sent.
func (s *Conn[Out, In]) appendMessage(buf []byte, msg *Out) ([]byte, error) {
	buf, err := appendFrame(buf, msg, s.sendBinary.Load())
	if errors.Is(err, errTooLarge) {
		s.oversized.Add(1)
		return buf, nil
	}
	return buf, err
}

// PeerJoinsParts reports whether the peer has stated that it joins lists that come in parts.
func (s *Conn[Out, In]) PeerJoinsParts() bool { return s.joinsParts.Load() }

// OversizedCount returns the number of messages that were dropped because the peer would have refused their size.
func (s *Conn[Out, In]) OversizedCount() int64 { return s.oversized.Load() }

// FirstOversized reports whether messages were dropped for their size and it has not reported that before, so that it is logged once.
func (s *Conn[Out, In]) FirstOversized() bool {
	return s.oversized.Load() > 0 && s.reported.CompareAndSwap(false, true)
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

// Flush waits until the queued messages have been written, but not longer than the timeout.
func (s *Conn[Out, In]) Flush(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for s.unwritten.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
}

// writeLoop writes the queued messages until the connection is closed or a write fails. It closes the connection when it
// returns.
func (s *Conn[Out, In]) writeLoop() {
	defer s.Close()
	var buf []byte
	for {
		select {
		case <-s.done:
			return
		case msg := <-s.writeQueue:
			var err error
			if buf, err = s.writeBatch(buf[:0], msg); err != nil {
				return
			}
			if cap(buf) > maxKeptBytes {
				buf = nil
			}
		}
	}
}

// writeBatch writes the message and the queued messages together, to save system calls. It returns the buffer for reuse.
func (s *Conn[Out, In]) writeBatch(buf []byte, msg *Out) ([]byte, error) {
	messages := int64(1)
	buf, err := s.appendMessage(buf, msg)
	for err == nil && len(buf) < maxBatchBytes && len(s.writeQueue) > 0 { // writeLoop is the only receiver
		msg = <-s.writeQueue
		messages++
		buf, err = s.appendMessage(buf, msg)
	}
	if err != nil {
		return nil, err
	}
	if err := s.conn.SetWriteDeadline(time.Now().Add(IdleTimeout)); err != nil {
		return nil, err
	}
	_, err = s.conn.Write(buf)
	s.unwritten.Add(-messages)
	return buf, err
}
