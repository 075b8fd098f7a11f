package deployed

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/hostconfig"
	"bamboofork/internal/jobfront"
	"bamboofork/internal/network"
)

// startLimited serves the handler under limits with a short time for bodies, until the test ends.
func startLimited(t *testing.T, handler http.HandlerFunc) (*process, string) {
	listener, addr := listen(t)
	qt.Assert(t, listener.Close(), qt.IsNil)
	p := &process{network: network.TCP, cfg: hostconfig.Process{MemoryMB: 64, CallerLimits: hostconfig.CallerLimits{StallMs: 200}}}
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- p.serveInternal(ctx, "test", 8, addr, handler) }()
	go func() {
		for ctx.Err() == nil {
			p.takeIn().budget.EndStalled(p.takeIn().now())
			time.Sleep(20 * time.Millisecond)
		}
	}()
	t.Cleanup(func() {
		stop()
		<-served
	})
	for range 100 {
		if conn, err := net.Dial("tcp", addr); err == nil {
			conn.Close()
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return p, addr
}

// exchange sends the text on the connection and returns the response.
func exchange(t *testing.T, conn net.Conn, reader *bufio.Reader, text string) *http.Response {
	qt.Assert(t, conn.SetDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
	_, err := io.WriteString(conn, text)
	qt.Assert(t, err, qt.IsNil)
	resp, err := http.ReadResponse(reader, nil)
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%.60s", text))
	_, err = io.Copy(io.Discard, resp.Body)
	qt.Assert(t, err, qt.IsNil)
	return resp
}

// Guards against connections that are closed although their requests are complete: with and without a body, read or not by the handler, in
// chunks, pipelined or announced.
func TestLimitsKeepConnectionsOfCompleteRequests(t *testing.T) {
	p, addr := startLimited(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		w.WriteHeader(http.StatusOK)
	})
	conn, err := net.Dial("tcp", addr)
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	large := strings.Repeat("x", 200_000)
	const get, post = "GET / HTTP/1.1\r\nHost: a\r\n", "POST / HTTP/1.1\r\nHost: a\r\n"
	for _, request := range []string{get + "\r\n", post + "Content-Length: 3\r\n\r\nabc", get + "Content-Length: 200000\r\n\r\n" + large,
		post + "Content-Length: 200000\r\n\r\n" + large, post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		post + "Content-Length: 0\r\n\r\n" + post + "Content-Length: 3\r\n\r\nabc"} {
		resp := exchange(t, conn, reader, request)
		qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
		qt.Check(t, resp.Close, qt.IsFalse, qt.Commentf("%.60s", request))
	}
	qt.Check(t, p.takeIn().budget.Usage(0).UsedBytes, qt.Equals, int64(0))
}

// Guards against a body that nobody reads and that never ends: sent with a GET, to an unknown route or before the first manifest. The
// request is answered and its connection closed.
func TestUnreadBodiesThatStopEndTheirConnection(t *testing.T) {
	p, addr := startLimited(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	for _, request := range []string{"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nabc",
		"DELETE / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 100\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000\r\n\r\n" + strings.Repeat("x", 300_000)} {
		conn, err := net.Dial("tcp", addr)
		qt.Assert(t, err, qt.IsNil)
		reader := bufio.NewReader(conn)
		resp := exchange(t, conn, reader, request)
		qt.Check(t, resp.StatusCode, qt.Equals, http.StatusNotFound)
		qt.Check(t, resp.Close, qt.IsTrue, qt.Commentf("%.60s", request))
		_, err = reader.ReadByte()
		var timeout net.Error
		qt.Check(t, errors.As(err, &timeout) && timeout.Timeout(), qt.IsFalse, qt.Commentf("%.60s: %v", request, err))
		qt.Check(t, err, qt.IsNotNil)
		conn.Close()
	}
	qt.Check(t, p.takeIn().budget.Usage(0).Bodies, qt.Equals, 0)
}

// Guards against bytes that stay counted after a handler has panicked or its client has gone.
func TestBodiesAreGivenBackHoweverARequestEnds(t *testing.T) {
	p, addr := startLimited(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		panic(http.ErrAbortHandler)
	})
	for range 4 {
		conn, err := net.Dial("tcp", addr)
		qt.Assert(t, err, qt.IsNil)
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 50000\r\n\r\n"+strings.Repeat("x", 40_000))
		qt.Assert(t, err, qt.IsNil)
		conn.Close()
	}
	isFree := func() bool {
		limits := p.takeIn()
		limits.mu.Lock()
		open, _ := limits.connections["test"].Counts()
		limits.mu.Unlock()
		usage := p.takeIn().budget.Usage(0)
		return usage.Bodies == 0 && usage.UsedBytes == 0 && open == 0
	}
	for end := time.Now().Add(20 * time.Second); !isFree() && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	qt.Check(t, isFree(), qt.IsTrue)
}

// Guards against a line for each refusal, and against a burst of which only the beginning is known.
func TestBurstsAreLoggedOnce(t *testing.T) {
	var b burst
	qt.Check(t, b.note(0, time.Second), qt.Equals, burstUnchanged)
	qt.Check(t, b.note(5, 2*time.Second), qt.Equals, burstBegins)
	qt.Check(t, b.note(9, 3*time.Second), qt.Equals, burstUnchanged)
	qt.Check(t, b.note(9, 12*time.Second), qt.Equals, burstUnchanged)
	qt.Check(t, b.note(9, 13*time.Second), qt.Equals, burstEnds)
	qt.Check(t, b.refusals, qt.Equals, int64(9))
	qt.Check(t, b.note(10, 14*time.Second), qt.Equals, burstBegins)
}

// Guards against a connection that is kept although the limits have cancelled the context of its later requests: after a body of the
// maximum size of a submission that the handler has not read.
func TestLimitsKeepTheContextOfLaterRequests(t *testing.T) {
	var cancelled atomic.Int64
	_, addr := startLimited(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Context().Err() != nil {
			cancelled.Add(1)
		}
		w.WriteHeader(http.StatusNotFound)
	})
	for _, size := range []int{maxDiscardedBytes - 1, maxDiscardedBytes} {
		conn, err := net.Dial("tcp", addr)
		qt.Assert(t, err, qt.IsNil)
		defer conn.Close()
		reader := bufio.NewReader(conn)
		request := fmt.Sprintf("POST /none HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", size) + strings.Repeat("x", size)
		for range 3 {
			resp := exchange(t, conn, reader, request)
			qt.Check(t, resp.StatusCode, qt.Equals, http.StatusNotFound)
			qt.Check(t, resp.Close, qt.IsFalse, qt.Commentf("%d bytes", size))
		}
	}
	qt.Check(t, cancelled.Load(), qt.Equals, int64(0))
}

// Guards against a request that is cut off while its handler works, for a body that the handler never reads.
func TestLimitsKeepRequestsWithUnreadBodies(t *testing.T) {
	_, addr := startLimited(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(time.Second)
		w.WriteHeader(http.StatusOK)
	})
	answered := make(chan error)
	for range 8 {
		conn, err := net.Dial("tcp", addr)
		qt.Assert(t, err, qt.IsNil)
		defer conn.Close()
		go func() {
			_, err := io.WriteString(conn, "DELETE /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}")
			if err == nil {
				_, err = http.ReadResponse(bufio.NewReader(conn), nil)
			}
			answered <- err
		}()
	}
	time.Sleep(700 * time.Millisecond)
	for range 4 {
		conn, err := net.Dial("tcp", addr)
		qt.Assert(t, err, qt.IsNil)
		defer conn.Close()
	}
	for range 8 {
		qt.Check(t, <-answered, qt.IsNil)
	}
}

// Guards against a refused body whose connection is said to be kept.
func TestRefusedBodiesEndTheirConnection(t *testing.T) {
	p, addr := startLimited(t, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			err = r.Body.(interface{ Holds(bytes int64) error }).Holds(100 << 20)
			qt.Check(t, err, qt.ErrorIs, jobfront.ErrNoRoom)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	for _, request := range []string{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 30\r\n\r\nabc"} {
		conn, err := net.Dial("tcp", addr)
		qt.Assert(t, err, qt.IsNil)
		defer conn.Close()
		resp := exchange(t, conn, bufio.NewReader(conn), request)
		qt.Check(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		qt.Check(t, resp.Close, qt.IsTrue, qt.Commentf("%.60s", request))
	}
	qt.Check(t, p.takeIn().budget.Usage(0).UsedBytes, qt.Equals, int64(0))
}
