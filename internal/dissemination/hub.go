package dissemination

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bamboofork/internal/app"
	"bamboofork/internal/events"
	"bamboofork/internal/lease"
	"bamboofork/internal/store"
)

// HubPrefix is where hubs register in the store.
const HubPrefix = "hub/"

// Hubs of one failure domain and the pace of taking the duty.
const (
	HubsPerDomain = 2
	hubTick       = 500 * time.Millisecond
	hubSettle     = 2 * time.Second // a process that starts knows few others and would take itself for a hub
	hubLinger     = 5 * time.Second // a short change of the representatives does not end the duty
	hubRetry      = 2 * time.Second // between tries to take a place that another still holds
	hubListLimit  = 128
	hubTimeout    = 2 * time.Second
)

// HubRecord is the value of a hub's key.
type HubRecord struct {
	ID   string `json:"id"`
	Addr string `json:"addr"`
}

// HubKey returns the key of a hub's place in the store.
func HubKey(domain string, i int) string { return fmt.Sprintf("%s%s/%d", HubPrefix, domain, i) }

// ListHubs returns the control addresses of the registered hubs. Processes that find no other call it.
func ListHubs(ctx context.Context, st store.Store) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, hubTimeout)
	defer cancel()
	kvs, _, err := st.List(ctx, HubPrefix, store.PrefixEnd(HubPrefix), hubListLimit)
	if err != nil {
		return nil, err
	}
	out := []string{}
	for _, kv := range kvs {
		var rec HubRecord
		if err := json.Unmarshal(kv.Value, &rec); err != nil {
			return nil, eris.Wrap(err, "decode hub record")
		}
		out = append(out, rec.Addr)
	}
	return out, nil
}

// HubConfig configures a Hub.
type HubConfig struct {
	ID, Addr, Domain string
	LeaseTTL         time.Duration
	// Rank returns the place of this process among its failure domain's representatives, or -1.
	Rank func() int
	// Watch runs while this process is a registered hub.
	Watch func(ctx context.Context) error
}

// Hub takes and gives up the duty of a hub as the representatives of the failure domain change. Only a process that
// holds one of the domain's places, under a lease, watches the store.
type Hub struct {
	cfg HubConfig
	st  store.Store
	log zerolog.Logger
}

// NewHub returns a hub that holds no place yet.
func NewHub(cfg HubConfig, st store.Store, log zerolog.Logger) *Hub {
	return &Hub{cfg: cfg, st: st, log: log}
}

// Run follows the rank until ctx ends.
func (h *Hub) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !h.stays(ctx, true, hubSettle) {
			continue
		}
		h.serve(ctx)
	}
	return nil
}

// stays waits until the rank has (or has not) named this process for d without a break; false if ctx ends or the rank
// changes first.
func (h *Hub) stays(ctx context.Context, chosen bool, d time.Duration) bool {
	for since := time.Now(); time.Since(since) < d; app.Sleep(ctx, jitter(hubTick)) {
		if ctx.Err() != nil {
			return false
		}
		if (h.cfg.Rank() >= 0) != chosen {
			app.Sleep(ctx, jitter(hubTick))
			return false
		}
	}
	return ctx.Err() == nil
}

// serve holds a place and watches until the rank has named others for hubLinger.
func (h *Hub) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	keeper := lease.NewKeeper(h.st, h.cfg.LeaseTTL, h.log)
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { keeper.Run(ctx) }) //nolint:errcheck // ends with ctx
	wg.Go(func() { h.hold(ctx, keeper) })
	for ctx.Err() == nil && !h.stays(ctx, false, hubLinger) {
	}
	cancel()
}

// hold takes a place, watches while it is held, and tries again when it is lost.
func (h *Hub) hold(ctx context.Context, keeper *lease.Keeper) {
	for ctx.Err() == nil {
		place, ok := h.register(ctx, keeper)
		if !ok {
			app.Sleep(ctx, jitter(hubRetry))
			continue
		}
		events.HubTaken.Log(&h.log).Str("key", place).Send()
		h.watchWhileHeld(ctx, keeper)
		events.HubReleased.Log(&h.log).Str("key", place).Send()
	}
}

// register takes a free place or keeps one that this process holds under the lease already.
func (h *Hub) register(ctx context.Context, keeper *lease.Keeper) (string, bool) {
	id, _, ok := keeper.Current()
	if !ok {
		return "", false
	}
	value, err := json.Marshal(HubRecord{ID: h.cfg.ID, Addr: h.cfg.Addr})
	if err != nil {
		return "", false
	}
	ctx, cancel := context.WithTimeout(ctx, hubTimeout)
	defer cancel()
	first := max(0, h.cfg.Rank())
	for i := range HubsPerDomain {
		key := HubKey(h.cfg.Domain, (first+i)%HubsPerDomain)
		res, err := h.st.CompareAndSwap(ctx, key, 0, value, id)
		if err == nil && (res.Swapped || res.Current.Lease == id) {
			return key, true
		}
	}
	return "", false
}

// watchWhileHeld runs the watch until the lease is no longer valid. The places of a lost lease are free for others; the
// watch goes on for as long as the store is silent, because nobody else could take the place either.
func (h *Hub) watchWhileHeld(ctx context.Context, keeper *lease.Keeper) {
	held, _, _ := keeper.Current()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.cfg.Watch(ctx) //nolint:errcheck // ends with ctx
	}()
	for ctx.Err() == nil {
		if id, _, ok := keeper.Current(); ok && id != held || id == 0 {
			break
		}
		app.Sleep(ctx, jitter(hubTick))
	}
	cancel()
	<-done
}
