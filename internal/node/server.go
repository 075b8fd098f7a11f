package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"bamboofork/internal/app"
	"bamboofork/internal/security"
)

// Limits of HTTP servers.
const (
	readHeaderTimeout    = 5 * time.Second // guards against slow or half-open clients
	idleTimeout          = time.Minute     // of a keep-alive connection
	maxHeaderBytes       = 64 << 10
	maxConcurrentStreams = 1000 // per HTTP/2 connection
	// With pingIdle and pingTimeout, an unresponsive HTTP/2 connection is detected within 3 s.
	pingIdle    = 1 * time.Second
	pingTimeout = 2 * time.Second
)

// closer is a listener or an HTTP server.
type closer interface{ Close() error }

// listen opens a listener that Abort closes.
func (n *Node) listen(name, addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "%s listener", name)
	}
	n.abortClosers = append(n.abortClosers, l)
	return l, nil
}

// httpComponent opens a listener and returns a component that serves h on it with HTTP/1.1 and HTTP/2, over TLS if id is not nil.
func (n *Node) httpComponent(name, addr string, h http.Handler, drain time.Duration, id *security.Identity) (app.Component, error) {
	l, err := n.listen(name, addr)
	if err != nil {
		return app.Component{}, err
	}
	srv := newServer(h, id)
	n.abortClosers = append(n.abortClosers, srv)
	return app.Component{Name: name, Run: func(ctx context.Context) error { return serve(ctx, srv, l, drain) }}, nil
}

func newServer(h http.Handler, id *security.Identity) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	srv := &http.Server{
		Handler: h, Protocols: protocols, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxConcurrentStreams,
			SendPingTimeout:      pingIdle,
			PingTimeout:          pingTimeout,
			WriteByteTimeout:     pingIdle + pingTimeout,
		},
	}
	if id == nil {
		protocols.SetUnencryptedHTTP2(true)
		return srv
	}
	protocols.SetHTTP2(true)
	srv.TLSConfig = id.ServerConfig("h2", "http/1.1")
	return srv
}

// serve runs the server until ctx is done, then waits up to drain for requests in flight.
func serve(ctx context.Context, srv *http.Server, l net.Listener, drain time.Duration) error {
	done := make(chan error, 1)
	go func() {
		if srv.TLSConfig != nil {
			done <- srv.ServeTLS(l, "", "")
			return
		}
		done <- srv.Serve(l)
	}()
	select {
	case err := <-done:
		if ctx.Err() == nil && err != http.ErrServerClosed {
			return err
		}
	case <-ctx.Done():
	}
	drainCtx, cancel := context.WithTimeout(context.Background(), drain)
	defer cancel()
	if err := srv.Shutdown(drainCtx); err != nil {
		return srv.Close()
	}
	return nil
}

// ServeHTTP serves plain HTTP until ctx is done, then waits up to drain for requests in flight.
func ServeHTTP(ctx context.Context, l net.Listener, h http.Handler, drain time.Duration) error {
	return serve(ctx, newServer(h, nil), l, drain)
}
