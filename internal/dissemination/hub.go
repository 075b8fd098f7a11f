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

// HubPrefix is the key prefix under which hubs register in the store.
const HubPrefix = "hub/"

// Number of hubs per failure domain and timing of the hub role.
const (
	HubsPerDomain     = 2
	rankCheckInterval = 500 * time.Millisecond
	hubStartDelay     = 2 * time.Second // a starting process knows few others and would consider itself a representative
	hubStopDelay      = 5 * time.Second // a short change of the representatives does not end the role
	hubRetryDelay     = 2 * time.Second // between attempts to acquire a slot that another process still holds
	maxListedHubs     = 128
	hubStoreTimeout   = 2 * time.Second
)

// HubRecord is the value of a hub's key.
type HubRecord struct {
	ID   string `json:"id"`
	Addr string `json:"addr"`
}

// HubKey returns the store key of hub slot i of a failure domain.
func HubKey(domain string, i int) string { return fmt.Sprintf("%s%s/%d", HubPrefix, domain, i) }

// ListHubs returns the control addresses of the registered hubs. A process calls it while no other process responds.
func ListHubs(ctx context.Context, st store.Store) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, hubStoreTimeout)
	defer cancel()
	kvs, _, err := st.List(ctx, HubPrefix, store.PrefixEnd(HubPrefix), maxListedHubs)
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
	// Rank returns the rank of this process among its failure domain's representatives, or -1.
	Rank func() int
	// Watch runs while this process is a registered hub.
	Watch func(ctx context.Context) error
}

// Hub acquires and releases the hub role as the representatives of the failure domain change. Only a process that holds one
// of the domain's hub slots, under a lease, watches the store.
type Hub struct {
	cfg HubConfig
	st  store.Store
	log zerolog.Logger
}

// NewHub returns a hub that does not hold a slot yet.
func NewHub(cfg HubConfig, st store.Store, log zerolog.Logger) *Hub {
	return &Hub{cfg: cfg, st: st, log: log}
}

// Run acquires and releases the hub role according to the rank until ctx is done.
func (h *Hub) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !h.rankStable(ctx, true, hubStartDelay) {
			continue
		}
		h.serve(ctx)
	}
	return nil
}

// rankStable waits until this process has been a representative (or not, according to isRep) continuously for d. It
// returns false if ctx is done or the rank changes first.
func (h *Hub) rankStable(ctx context.Context, isRep bool, d time.Duration) bool {
	for since := time.Now(); time.Since(since) < d; app.Sleep(ctx, jitter(rankCheckInterval)) {
		if ctx.Err() != nil {
			return false
		}
		if (h.cfg.Rank() >= 0) != isRep {
			app.Sleep(ctx, jitter(rankCheckInterval))
			return false
		}
	}
	return ctx.Err() == nil
}

// serve runs the hub role until this process has not been a representative for hubStopDelay.
func (h *Hub) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	keeper := lease.NewKeeper(h.st, h.cfg.LeaseTTL, h.log)
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { keeper.Run(ctx) }) //nolint:errcheck // ends with ctx
	wg.Go(func() { h.holdSlot(ctx, keeper) })
	for ctx.Err() == nil && !h.rankStable(ctx, false, hubStopDelay) {
	}
	cancel()
}

// holdSlot acquires a slot, watches while it is held, and retries when it is lost.
func (h *Hub) holdSlot(ctx context.Context, keeper *lease.Keeper) {
	for ctx.Err() == nil {
		slot, ok := h.acquireSlot(ctx, keeper)
		if !ok {
			app.Sleep(ctx, jitter(hubRetryDelay))
			continue
		}
		events.HubTaken.Log(&h.log).Str("key", slot).Send()
		h.watchWhileHeld(ctx, keeper)
		events.HubReleased.Log(&h.log).Str("key", slot).Send()
	}
}

// acquireSlot acquires a free slot or keeps one that this process already holds under the current lease.
func (h *Hub) acquireSlot(ctx context.Context, keeper *lease.Keeper) (string, bool) {
	id, _, ok := keeper.Current()
	if !ok {
		return "", false
	}
	value, err := json.Marshal(HubRecord{ID: h.cfg.ID, Addr: h.cfg.Addr})
	if err != nil {
		return "", false
	}
	ctx, cancel := context.WithTimeout(ctx, hubStoreTimeout)
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

// watchWhileHeld runs the watch until the lease has been replaced or lost; the slot of a lost lease is free for others. The
// watch continues while the store does not respond, because no other process could acquire the slot either.
func (h *Hub) watchWhileHeld(ctx context.Context, keeper *lease.Keeper) {
	leaseID, _, _ := keeper.Current()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.cfg.Watch(ctx) //nolint:errcheck // ends with ctx
	}()
	for ctx.Err() == nil {
		if id, _, ok := keeper.Current(); ok && id != leaseID || id == 0 {
			break
		}
		app.Sleep(ctx, jitter(rankCheckInterval))
	}
	cancel()
	<-done
}
