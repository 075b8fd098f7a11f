package backend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/faultnet"
	"bamboofork/internal/network"
)

func newRequest(ctx context.Context, t *testing.T) *http.Request {
	r, err := http.NewRequestWithContext(ctx, "POST", "http://backend/", nil)
	qt.Assert(t, err, qt.IsNil)
	return r
}

// Guards against a request that keeps waiting after the backend server stopped responding. Also guards against an error that
// wrongly reports such a request as not sent.
func TestPendingRequestFailsIfServerStopsResponding(t *testing.T) {
	arrived, release := make(chan bool, 1), make(chan bool)
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived <- true; <-release }))
	defer srv.Close()
	defer close(release)
	relay, err := faultnet.NewRelay(srv.Listener.Addr().String(), 1)
	qt.Assert(t, err, qt.IsNil)
	defer relay.Close()
	c := NewClient(network.TCPWithKeepAlive, relay.Addr(), 4)
	defer c.Close()
	go func() {
		<-arrived
		relay.SetFaults(faultnet.Faults{BlackholeNew: true})
		relay.Blackhole(faultnet.ToServer, faultnet.ToClient)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	started := time.Now()
	_, err = c.Do(newRequest(ctx, t))
	t.Logf("detected after %s", time.Since(started))
	qt.Check(t, errors.Is(err, ErrUnresponsive), qt.IsTrue, qt.Commentf("%v", err))
	qt.Check(t, errors.Is(err, ErrNotSent), qt.IsFalse)
}

// Guards against a server that is reported as unresponsive because one response is slow, although it responds to probes.
func TestSlowResponseIsNotReportedAsUnresponsive(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		time.Sleep(ProbeInterval + ProbeTimeout + 500*time.Millisecond)
	}))
	defer srv.Close()
	c := NewClient(network.TCPWithKeepAlive, srv.Listener.Addr().String(), 4)
	defer c.Close()
	resp, err := c.Do(newRequest(context.Background(), t))
	qt.Assert(t, err, qt.IsNil)
	resp.Body.Close()
}

// Guards against a refused connection that is not reported as ErrNotSent.
func TestRefusedConnectionIsReportedAsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	addr := l.Addr().String()
	l.Close()
	c := NewClient(network.TCPWithKeepAlive, addr, 4)
	defer c.Close()
	_, err = c.Do(newRequest(context.Background(), t))
	qt.Check(t, errors.Is(err, ErrNotSent), qt.IsTrue)
}
