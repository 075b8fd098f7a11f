// Package entry routes callers' requests to agents and passes jobs and keyed requests
// to partition owners. An entry holds no durable state.
package entry

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"bamboofork/internal/callers"
	"bamboofork/internal/limit"
	"bamboofork/internal/membership"
	"bamboofork/internal/network"
	"bamboofork/internal/partition"
	"bamboofork/internal/peer"
	"bamboofork/internal/retry"
	"bamboofork/internal/route"
	"bamboofork/internal/security"
	"bamboofork/internal/settings"
	"bamboofork/internal/telemetry"
)

// Entry is the front end for callers: it serves the caller API and forwards requests to agents and partition owners.
type Entry struct {
	ID             string
	log            zerolog.Logger
	liveSettings   *settings.ActiveSnapshot
	table          *membership.Table
	balancer       *route.Balancer
	directory      *partition.Directory
	peerPool       *peer.Pool
	retryBudget    *retry.Budget
	metrics        *telemetry.Registry
	agentTransport *http.Transport
	agentScheme    string // of agents' data addresses
	network        network.Network
	bodyBudget     bufferBudget
	// shuttingDownAgents holds the agents that announced their shutdown in a response. The announcement reaches this entry
	// even if it receives no membership updates.
	shuttingDownAgents agentSet
	shutdown           *shutdownSignal // graceful shutdown of this entry
	trustedProxies     callers.TrustedProxies
	limiter            *limit.Limiter

	decisions decisionLog
	// unreachableAgents holds the agents whose data connection failed. The membership protocol does not detect this failure,
	// because it checks only control connections.
	unreachableAgents agentSet
}

// Options holds the settings of an entry process that concern routing.
type Options struct {
	Domain         string                 // failure domain of the entry
	RoutingPolicy  string                 // routing policy, see route.Policies; "" selects the default
	TrustedProxies callers.TrustedProxies // proxies whose X-Forwarded-For header is trusted
	Network        network.Network        // of the connections to agents; nil: TCP
}

// New returns an entry.
func New(id string, opts Options, liveSettings *settings.ActiveSnapshot, table *membership.Table, directory *partition.Directory,
	peerPool *peer.Pool, metrics *telemetry.Registry, log zerolog.Logger) *Entry {
	opts.Network = cmp.Or(opts.Network, network.TCPWithKeepAlive)
	return &Entry{
		ID: id, log: log, liveSettings: liveSettings, table: table, directory: directory, peerPool: peerPool, metrics: metrics,
		balancer:    route.New(route.Config{Domain: opts.Domain, Policy: opts.RoutingPolicy, Log: log}, table),
		retryBudget: retry.NewBudget(), agentTransport: newTransport(opts.Network, nil),
		trustedProxies: opts.TrustedProxies, limiter: limit.New(), agentScheme: "http", network: opts.Network, shutdown: newShutdownSignal(),
	}
}

// EnableTLS makes the entry use mutual TLS to agents, with the given identity. It must be called before Run.
func (e *Entry) EnableTLS(identity *security.Identity) {
	e.agentTransport, e.agentScheme = newTransport(e.network, identity), "https"
}

// Run publishes the active settings revision in the membership record every second until ctx is done. It then announces the
// graceful shutdown and returns after announcePeriod, in which load balancers and other processes detect the announcement.
// The HTTP server still serves requests when Run returns; it is stopped separately.
func (e *Entry) Run(ctx context.Context) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		revision := e.liveSettings.Current().Revision
		e.table.Update(func(m *membership.Member) { m.SettingsRev = revision })
		select {
		case <-ctx.Done():
			e.beginShutdown()
			return nil
		case <-ticker.C:
		}
	}
}
