package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"bamboofork/internal/config"
	"bamboofork/internal/network"
	"bamboofork/internal/peer"
	"bamboofork/internal/security"
)

// controlProtocol is the ALPN protocol ID of control connections.
const controlALPN = "bamboofork-control"

// nodeSecurity holds the TLS identities of a node and the credentials of its operators. peers is used on connections between
// the project's own processes, callers on the caller and operator listeners. If one of the two is nil, those connections are
// not encrypted. If operators is nil, the operator endpoints need no credentials.
type nodeSecurity struct {
	peers     *security.Identity
	callers   *security.Identity
	operators *security.Operators
}

func loadSecurity(cfg config.Process, log zerolog.Logger) (*nodeSecurity, error) {
	loaded := &nodeSecurity{}
	var err error
	if cfg.TLS.Enabled() {
		if loaded.peers, err = security.Load(security.Files(cfg.TLS), log); err != nil {
			return nil, err
		}
	}
	if cfg.CallersTLS.Enabled() {
		if loaded.callers, err = security.Load(security.Files(cfg.CallersTLS), log); err != nil {
			return nil, err
		}
	}
	if cfg.OperatorCredentials != "" {
		loaded.operators, err = security.LoadOperators(cfg.OperatorCredentials, log)
	}
	return loaded, err
}

// dialFunc returns the function that opens control connections over TLS, or nil if they use plain TCP.
func (s *nodeSecurity) dialFunc(n network.Network) peer.DialFunc {
	if s.peers == nil {
		return n.Dial
	}
	return func(ctx context.Context, addr string) (net.Conn, error) {
		return security.Dial(ctx, n, addr, s.peers.ClientConfig(controlALPN))
	}
}

func secureListener(l net.Listener, identity *security.Identity) net.Listener {
	if identity == nil {
		return l
	}
	return tls.NewListener(l, identity.ServerConfig(controlALPN))
}

// registerOperatorAPI registers the operator endpoints. The metrics and status endpoints require operator credentials. The
// health and readiness endpoints do not, because load balancers poll them.
func (b *sharedComponents) registerOperatorAPI(e *echo.Echo) {
	b.operatorAPI.Register(e)
	e.Use(func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			switch c.Path() {
			case "/metrics", "/v1/status":
				return echo.WrapMiddleware(b.security.requireReadPermission)(next)(c)
			}
			return next(c)
		}
	})
}

func (s *nodeSecurity) requireReadPermission(next http.Handler) http.Handler {
	return s.operators.Require(security.PermissionRead, next)
}
