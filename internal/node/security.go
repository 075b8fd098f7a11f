package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"bamboofork/internal/config"
	"bamboofork/internal/peer"
	"bamboofork/internal/security"
)

// controlProtocol is the ALPN protocol ID of control connections.
const controlProtocol = "bamboofork-control"

// nodeSecurity holds the TLS identities and operator credentials of a node. A nil field means that the connections of that
// kind are not protected.
type nodeSecurity struct {
	peers     *security.Identity
	callers   *security.Identity
	operators *security.Operators
}

func loadSecurity(cfg config.Process, log zerolog.Logger) (*nodeSecurity, error) {
	s := &nodeSecurity{}
	var err error
	if cfg.TLS.Enabled() {
		if s.peers, err = security.Load(security.Files(cfg.TLS), log); err != nil {
			return nil, err
		}
	}
	if cfg.CallersTLS.Enabled() {
		if s.callers, err = security.Load(security.Files(cfg.CallersTLS), log); err != nil {
			return nil, err
		}
	}
	if cfg.Credentials != "" {
		s.operators, err = security.LoadOperators(cfg.Credentials, log)
	}
	return s, err
}

// dialer returns the function that opens control connections, or nil for plain TCP.
func (s *nodeSecurity) dialer() peer.DialFunc {
	if s.peers == nil {
		return nil
	}
	return func(ctx context.Context, addr string) (net.Conn, error) {
		d := tls.Dialer{Config: s.peers.ClientConfig(controlProtocol)}
		return d.DialContext(ctx, "tcp", addr)
	}
}

func secureListener(l net.Listener, id *security.Identity) net.Listener {
	if id == nil {
		return l
	}
	return tls.NewListener(l, id.ServerConfig(controlProtocol))
}

// registerOperator registers the operator endpoints. Metrics and status require operator credentials; health and readiness
// do not, because load balancers poll them.
func (b *base) registerOperator(e *echo.Echo) {
	b.api.Register(e)
	e.Use(func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			switch c.Path() {
			case "/metrics", "/v1/status":
				return echo.WrapMiddleware(b.security.requireRead)(next)(c)
			}
			return next(c)
		}
	})
}

func (s *nodeSecurity) requireRead(next http.Handler) http.Handler {
	return s.operators.Require(security.PermissionRead, next)
}
