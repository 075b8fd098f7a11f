package peer

import (
	"bufio"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"
)

// Limits of a connection.
const (
	maxMessageBytes = 32 << 20        // size of one message; the largest messages are listings of jobs
	writeTimeout    = 2 * time.Second // for writing one message; the connection is closed if the write takes longer
	// serverIdleTimeout is the time without a message after which a server closes a connection. It exceeds ProbeInterval +
	// ProbeTimeout, the time within which the client replaces a connection that does not work.
	serverIdleTimeout = 5 * time.Second
)

var errMessageTooLarge = errors.New("message exceeds the size limit of control connections")

// trackedArgs holds the arguments of a call for the codec. The codec sets sent before it writes the arguments.
type trackedArgs struct {
	args any
	sent atomic.Bool
}

// limitReader returns errMessageTooLarge once remainingBytes bytes have been read. remainingBytes is reset before each
// message. The limit bounds the memory that a peer can make this process use.
type limitReader struct {
	source         io.Reader
	remainingBytes int64
}

// Read implements io.Reader.
func (l *limitReader) Read(p []byte) (int, error) {
	if l.remainingBytes <= 0 {
		return 0, errMessageTooLarge
	}
	if int64(len(p)) > l.remainingBytes {
		p = p[:l.remainingBytes]
	}
	n, err := l.source.Read(p)
	l.remainingBytes -= int64(n)
	return n, err
}

// gobConn encodes and decodes messages on one connection. Each write has a deadline. Without the deadline a call would block
// on a peer that has stopped reading.
type gobConn struct {
	conn    net.Conn
	decoder *gob.Decoder
	encoder *gob.Encoder
	limit   *limitReader
	writer  *bufio.Writer
}

func newGobConn(conn net.Conn) *gobConn {
	limit := &limitReader{source: conn, remainingBytes: maxMessageBytes}
	writer := bufio.NewWriter(conn)
	return &gobConn{conn: conn, decoder: gob.NewDecoder(bufio.NewReader(limit)), encoder: gob.NewEncoder(writer), limit: limit, writer: writer}
}

func (g *gobConn) write(header, body any) error {
	if err := g.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if err := errors.Join(g.encoder.Encode(header), g.encoder.Encode(body)); err != nil {
		return err
	}
	return g.writer.Flush()
}

func (g *gobConn) readHeader(header any) error {
	g.limit.remainingBytes = maxMessageBytes
	return g.decoder.Decode(header)
}

// clientCodec implements rpc.ClientCodec.
type clientCodec struct{ *gobConn }

// WriteRequest implements rpc.ClientCodec. The body is a *trackedArgs, which WriteRequest marks as sent before it writes the
// first byte. A failed write closes the connection, because part of a message may have been sent.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	tracked := body.(*trackedArgs)
	tracked.sent.Store(true)
	err := c.write(r, tracked.args)
	if err != nil {
		c.conn.Close()
	}
	return err
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error { return c.readHeader(r) }

// ReadResponseBody implements rpc.ClientCodec.
func (c clientCodec) ReadResponseBody(body any) error { return c.decoder.Decode(body) }

// Close implements rpc.ClientCodec.
func (c clientCodec) Close() error { return c.conn.Close() }

// serverCodec implements rpc.ServerCodec.
type serverCodec struct{ *gobConn }

// ReadRequestHeader implements rpc.ServerCodec. The read fails if no message arrives within serverIdleTimeout. Clients send a
// probe every ProbeInterval, so such a connection no longer works.
func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if err := c.conn.SetReadDeadline(time.Now().Add(serverIdleTimeout)); err != nil {
		return err
	}
	return c.readHeader(r)
}

// ReadRequestBody implements rpc.ServerCodec.
func (c serverCodec) ReadRequestBody(body any) error { return c.decoder.Decode(body) }

// WriteResponse implements rpc.ServerCodec.
func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	err := c.write(r, body)
	if err != nil {
		c.conn.Close()
	}
	return err
}

// Close implements rpc.ServerCodec.
func (c serverCodec) Close() error { return c.conn.Close() }
