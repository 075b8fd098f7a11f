// Package entry routes callers' requests to agents and hands jobs and keyed requests
// to partition owners. An entry keeps nothing that must last.
package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"bamboofork/internal/callers"
	"bamboofork/internal/events"
	"bamboofork/internal/limit"
	"bamboofork/internal/membership"
	"bamboofork/internal/partition"
	"bamboofork/internal/peer"
	"bamboofork/internal/retry"
	"bamboofork/internal/route"
	"bamboofork/internal/settings"
	"bamboofork/internal/telemetry"
)

// Probing of connections to agents: after probeIdle without a frame a PING is sent, after probeTimeout more the
// connection is dropped, so a silent connection is found within 3 s.
const (
	probeIdle    = 1 * time.Second
	probeTimeout = 2 * time.Second
	dialTimeout  = 1 * time.Second
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
	trusted  callers.Trusted
	limiter  *limit.Limiter

	decisions decisionLog
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
		balancer: route.New(route.Config{Domain: opts.Domain, Policy: opts.Policy, Log: log}, table), budget: retry.NewBudget(), client: newTransport(),
		trusted: opts.Trusted, limiter: limit.New(),
	}
}

// newTransport speaks HTTP/2 cleartext to agents and probes idle connections with PING frames.
func newTransport() *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols:          protocols,
		DialContext:        dialer().DialContext,
		DisableCompression: true,
		HTTP2:              &http.HTTP2Config{SendPingTimeout: probeIdle, PingTimeout: probeTimeout},
	}
}

// Drain waits for the requests in flight at the HTTP server; Run only publishes the settings revision.
func (e *Entry) Run(ctx context.Context) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		rev := e.live.Current().Revision
		e.table.Update(func(m *membership.Member) { m.SettingsRev = rev })
		select {
		case <-ctx.Done():
			events.EntryDraining.Log(&e.log).Send()
			e.table.Update(func(m *membership.Member) { m.Leaving = true })
			e.client.CloseIdleConnections()
			return nil
		case <-ticker.C:
		}
	}
}
