// Package entry routes callers' requests to agents and hands jobs and keyed requests
// to partition owners. An entry keeps nothing that must last.
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

// Entry serves callers.
type Entry struct {
	ID       string
	log      zerolog.Logger
	live     *settings.Live
	table    *membership.Table
	balancer *route.Balancer
	dir      *partition.Directory
	pool     *peer.Pool
	budget   *retry.Budget
	metrics  *telemetry.Registry
	client   *http.Transport
	scheme   string // of agents' data addresses
	buffers  bufferBudget
	leaving  agentSet    // agents that said so in an answer; it reaches an entry cut off from the membership exchange
	stop     *stopSignal // of this entry
	trusted  callers.Trusted
	limiter  *limit.Limiter

	decisions   decisionLog
	unreachable agentSet // agents whose last exchange broke; membership cannot tell, because control connections may work while data connections do not
}

// Options are the parts of an entry's process configuration that concern routing.
type Options struct {
	Domain  string          // failure domain of the entry
	Policy  string          // routing policy, see route.Policies; "" takes the default
	Trusted callers.Trusted // proxies whose X-Forwarded-For is believed
}

// New returns an entry.
func New(id string, opts Options, live *settings.Live, table *membership.Table, dir *partition.Directory, pool *peer.Pool, metrics *telemetry.Registry, log zerolog.Logger) *Entry {
	return &Entry{
		ID: id, log: log, live: live, table: table, dir: dir, pool: pool, metrics: metrics,
		balancer: route.New(route.Config{Domain: opts.Domain, Policy: opts.Policy, Log: log}, table), budget: retry.NewBudget(), client: newTransport(nil),
		trusted: opts.Trusted, limiter: limit.New(), scheme: "http", stop: newStopSignal(),
	}
}

// Secure makes the entry speak TLS to agents as id; call it before Run.
func (e *Entry) Secure(id *security.Identity) {
	e.client, e.scheme = newTransport(id), "https"
}

// Run publishes the settings revision until ctx ends, then announces that the entry leaves. It returns after the
// time in which load balancers and other processes hear of it; requests are served until the HTTP server stops.
func (e *Entry) Run(ctx context.Context) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		rev := e.live.Current().Revision
		e.table.Update(func(m *membership.Member) { m.SettingsRev = rev })
		select {
		case <-ctx.Done():
			e.leave()
			return nil
		case <-ticker.C:
		}
	}
}
