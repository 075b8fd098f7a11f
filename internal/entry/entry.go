// Package entry routes callers' requests to agents and passes jobs and keyed requests
// to partition owners. An entry holds no durable state.
package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"bamboofork/internal/callers"
	"bamboofork/internal/limit"
	"bamboofork/internal/membership"
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
	ID           string
	log          zerolog.Logger
	liveSettings *settings.Live
	table        *membership.Table
	balancer     *route.Balancer
	directory    *partition.Directory
	pool         *peer.Pool
	retryBudget  *retry.Budget
	metrics      *telemetry.Registry
	client       *http.Transport
	scheme       string // of agents' data addresses
	bodyBudget   bufferBudget
	// shuttingDownAgents announced their shutdown in a response, which also works when this entry receives no membership updates.
	shuttingDownAgents agentSet
	shutdown           *shutdownSignal // graceful shutdown of this entry
	trusted            callers.TrustedProxies
	limiter            *limit.Limiter

	decisions decisionLog
	// unreachableAgents are those whose data connection failed. Membership does not detect this, because it checks only
	// control connections.
	unreachableAgents agentSet
}

// Options holds the settings of an entry process that concern routing.
type Options struct {
	Domain  string                 // failure domain of the entry
	Policy  string                 // routing policy, see route.Policies; "" selects the default
	Trusted callers.TrustedProxies // proxies whose X-Forwarded-For header is trusted
}

// New returns an entry.
func New(id string, opts Options, liveSettings *settings.Live, table *membership.Table, directory *partition.Directory,
	pool *peer.Pool, metrics *telemetry.Registry, log zerolog.Logger) *Entry {
	return &Entry{
		ID: id, log: log, liveSettings: liveSettings, table: table, directory: directory, pool: pool, metrics: metrics,
		balancer:    route.New(route.Config{Domain: opts.Domain, Policy: opts.Policy, Log: log}, table),
		retryBudget: retry.NewBudget(), client: newTransport(nil),
		trusted: opts.Trusted, limiter: limit.New(), scheme: "http", shutdown: newShutdownSignal(),
	}
}

// EnableTLS enables mutual TLS to agents with the identity id. It must be called before Run.
func (e *Entry) EnableTLS(id *security.Identity) {
	e.client, e.scheme = newTransport(id), "https"
}

// Run publishes the settings revision until ctx is done, then announces the shutdown. It returns after a delay in which load
// balancers and other processes detect the announcement; requests are served until the HTTP server stops.
func (e *Entry) Run(ctx context.Context) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		rev := e.liveSettings.Current().Revision
		e.table.Update(func(m *membership.Member) { m.SettingsRev = rev })
		select {
		case <-ctx.Done():
			e.beginShutdown()
			return nil
		case <-ticker.C:
		}
	}
}
