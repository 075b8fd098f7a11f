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
	maxMessageBytes = 32 << 20        // of one message; the largest are listings of jobs
	writeTimeout    = 2 * time.Second // of one message; the connection is closed if a write takes longer
	// idleTimeout closes a served connection on which no message arrives. It exceeds ProbeInterval + ProbeTimeout, after
	// which the client has replaced a connection that does not work.
	idleTimeout = 5 * time.Second
)

var errMessageTooLarge = errors.New("message exceeds the size limit of control connections")

// trackedArgs passes the arguments of a call to the codec, which sets sent before it writes them.
type trackedArgs struct {
	args any
	sent atomic.Bool
}

// limitReader bounds the bytes read between two resets of remaining, which limits the memory that a peer can make this
// process use.
type limitReader struct {
	r         io.Reader
	remaining int64
}

// Read implements io.Reader.
func (l *limitReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errMessageTooLarge
	}
	if int64(len(p)) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.r.Read(p)
	l.remaining -= int64(n)
	return n, err
}

// gobConn encodes and decodes messages on one connection. Writes have a deadline, so that a call does not block on a peer
// that has stopped reading.
type gobConn struct {
	conn  net.Conn
	dec   *gob.Decoder
	enc   *gob.Encoder
	limit *limitReader
	out   *bufio.Writer
}

func newGobConn(conn net.Conn) *gobConn {
	limit := &limitReader{r: conn, remaining: maxMessageBytes}
	out := bufio.NewWriter(conn)
	return &gobConn{conn: conn, dec: gob.NewDecoder(bufio.NewReader(limit)), enc: gob.NewEncoder(out), limit: limit, out: out}
}

func (g *gobConn) write(header, body any) error {
	if err := g.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if err := errors.Join(g.enc.Encode(header), g.enc.Encode(body)); err != nil {
		return err
	}
	return g.out.Flush()
}

func (g *gobConn) readHeader(header any) error {
	g.limit.remaining = maxMessageBytes
	return g.dec.Decode(header)
}

// clientCodec implements rpc.ClientCodec.
type clientCodec struct{ *gobConn }

// WriteRequest implements rpc.ClientCodec. The body is a *trackedArgs, which is marked as sent before the first byte is
// written. A failed write closes the connection, because part of a message may have been sent.
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
func (c clientCodec) ReadResponseBody(body any) error { return c.dec.Decode(body) }

// Close implements rpc.ClientCodec.
func (c clientCodec) Close() error { return c.conn.Close() }

// serverCodec implements rpc.ServerCodec.
type serverCodec struct{ *gobConn }

// ReadRequestHeader implements rpc.ServerCodec. Clients send a probe every ProbeInterval, so a connection without a
// message for idleTimeout has failed.
func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if err := c.conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return err
	}
	return c.readHeader(r)
}

// ReadRequestBody implements rpc.ServerCodec.
func (c serverCodec) ReadRequestBody(body any) error { return c.dec.Decode(body) }

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
