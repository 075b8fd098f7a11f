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
	readHeaderTimeout    = 5 * time.Second // bounds the time for which a slow or vanished client occupies a connection
	keepAliveIdleTimeout = time.Minute     // time without a request after which a keep-alive connection is closed
	maxHeaderBytes       = 64 << 10
	maxConcurrentStreams = 1000 // per HTTP/2 connection
	// The server sends a PING if no frame has arrived for pingIdleTime, and closes the connection if no reply arrives within
	// pingTimeout. An unresponsive HTTP/2 connection is thus detected within 3 s.
	pingIdleTime = 1 * time.Second
	pingTimeout  = 2 * time.Second
)

// closer is a listener or an HTTP server.
type closer interface{ Close() error }

// listen opens a TCP listener and registers it with the node, so that Abort closes it. name is used in the error.
func (n *Node) listen(name, addr string) (net.Listener, error) {
	l, err := n.network.Listen(addr)
	if err != nil {
		return nil, eris.Wrapf(err, "%s listener", name)
	}
	n.abortClosers = append(n.abortClosers, l)
	return l, nil
}

// httpComponent opens a listener at addr and returns a component that serves handler on it with HTTP/1.1 and HTTP/2. The
// component uses TLS if identity is not nil.
func (n *Node) httpComponent(name, addr string, handler http.Handler, drainTimeout time.Duration,
	identity *security.Identity) (app.Component, error) {
	listener, err := n.listen(name, addr)
	if err != nil {
		return app.Component{}, err
	}
	server := newServer(handler, identity)
	n.abortClosers = append(n.abortClosers, server)
	return app.Component{Name: name, Run: func(ctx context.Context) error { return serve(ctx, server, listener, drainTimeout) }}, nil
}

func newServer(handler http.Handler, identity *security.Identity) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	server := &http.Server{
		Handler: handler, Protocols: protocols, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: keepAliveIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxConcurrentStreams,
			SendPingTimeout:      pingIdleTime,
			PingTimeout:          pingTimeout,
			WriteByteTimeout:     pingIdleTime + pingTimeout,
		},
	}
	if identity == nil {
		protocols.SetUnencryptedHTTP2(true)
		return server
	}
	protocols.SetHTTP2(true)
	server.TLSConfig = identity.ServerConfig("h2", "http/1.1")
	return server
}

// serve runs the server until ctx is done. It then waits up to drainTimeout for requests in flight and closes the connections
// that are still open. It returns an error if the server fails before ctx is done.
func serve(ctx context.Context, server *http.Server, listener net.Listener, drainTimeout time.Duration) error {
	serveErr := make(chan error, 1)
	go func() {
		if server.TLSConfig != nil {
			serveErr <- server.ServeTLS(listener, "", "")
			return
		}
		serveErr <- server.Serve(listener)
	}()
	select {
	case err := <-serveErr:
		if ctx.Err() == nil && err != http.ErrServerClosed {
			return err
		}
	case <-ctx.Done():
	}
	drainCtx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := server.Shutdown(drainCtx); err != nil {
		return server.Close()
	}
	return nil
}

// ServeHTTP serves HTTP without TLS until ctx is done. It then waits up to drainTimeout for requests in flight and closes the
// connections that are still open.
func ServeHTTP(ctx context.Context, listener net.Listener, handler http.Handler, drainTimeout time.Duration) error {
	return serve(ctx, newServer(handler, nil), listener, drainTimeout)
}
