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

// Number of hubs per failure domain and timing of the hub role. A hub slot is one of the HubsPerDomain store keys of a failure
// domain. The process that holds the key under its lease is a hub.
const (
	HubsPerDomain     = 2
	rankCheckInterval = 500 * time.Millisecond
	hubStartDelay     = 2 * time.Second // a starting process knows few others and would take itself for a representative
	hubStopDelay      = 5 * time.Second // a change of the representatives that is shorter does not end the role
	hubRetryDelay     = 2 * time.Second // between attempts to acquire a slot that another process still holds
	maxListedHubs     = 128
	hubStoreTimeout   = 2 * time.Second
)

// HubRecord is the value of a hub slot's key in the store.
type HubRecord struct {
	ID   string `json:"id"`   // of the process that is the hub
	Addr string `json:"addr"` // control address of the hub
}

// HubKey returns the store key of hub slot i (0 to HubsPerDomain-1) of a failure domain.
func HubKey(domain string, i int) string { return fmt.Sprintf("%s%s/%d", HubPrefix, domain, i) }

// ListHubs returns the control addresses of the registered hubs. A process calls ListHubs while no other process responds.
func ListHubs(ctx context.Context, st store.Store) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, hubStoreTimeout)
	defer cancel()
	kvs, _, err := st.List(ctx, HubPrefix, store.PrefixEnd(HubPrefix), maxListedHubs)
	if err != nil {
		return nil, err
	}
	addrs := []string{}
	for _, kv := range kvs {
		var rec HubRecord
		if err := json.Unmarshal(kv.Value, &rec); err != nil {
			return nil, eris.Wrap(err, "decode hub record")
		}
		addrs = append(addrs, rec.Addr)
	}
	return addrs, nil
}

// HubConfig configures a Hub.
type HubConfig struct {
	ID, Addr, Domain string
	LeaseTTL         time.Duration
	// Rank returns the rank (from 0) of this process among the representatives of its failure domain, or -1 if it is not one.
	Rank func() int
	// RunWatch is called when this process becomes a registered hub. Its context is canceled when the role ends.
	RunWatch func(ctx context.Context) error
}

// Hub acquires and releases the hub role of a process as the representatives of the failure domain change. The process watches
// the store only while it holds one of the domain's hub slots under a lease.
type Hub struct {
	cfg      HubConfig
	hubStore store.Store
	log      zerolog.Logger
}

// NewHub returns a hub that does not hold a slot yet.
func NewHub(cfg HubConfig, st store.Store, log zerolog.Logger) *Hub {
	return &Hub{cfg: cfg, hubStore: st, log: log}
}

// Run acquires and releases the hub role according to HubConfig.Rank until ctx is done. Run always returns nil.
func (h *Hub) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !h.waitForRole(ctx, true, hubStartDelay) {
			continue
		}
		h.runRole(ctx)
	}
	return nil
}

// waitForRole returns true once this process has been a representative (isRep true) or has not been one (isRep false) for the
// whole duration d. It returns false as soon as the opposite holds or ctx is done.
func (h *Hub) waitForRole(ctx context.Context, isRep bool, d time.Duration) bool {
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

// runRole runs the hub role until this process has not been a representative for hubStopDelay.
func (h *Hub) runRole(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	keeper := lease.NewKeeper(h.hubStore, h.cfg.LeaseTTL, h.log)
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { keeper.Run(ctx) }) //nolint:errcheck // ends with ctx
	wg.Go(func() { h.runSlot(ctx, keeper) })
	for ctx.Err() == nil && !h.waitForRole(ctx, false, hubStopDelay) {
	}
	cancel()
}

// runSlot acquires a hub slot, watches the store while the slot is held, and acquires a slot again after a loss.
func (h *Hub) runSlot(ctx context.Context, keeper *lease.Keeper) {
	for ctx.Err() == nil {
		key, ok := h.acquireSlot(ctx, keeper)
		if !ok {
			app.Sleep(ctx, jitter(hubRetryDelay))
			continue
		}
		events.HubTaken.Log(&h.log).Str("key", key).Send()
		h.watchWhileHeld(ctx, keeper)
		events.HubReleased.Log(&h.log).Str("key", key).Send()
	}
}

// acquireSlot acquires a free slot or keeps a slot that this process already holds under the current lease. It returns the key
// of the slot; the bool is false if there is no such slot or no valid lease.
func (h *Hub) acquireSlot(ctx context.Context, keeper *lease.Keeper) (string, bool) {
	leaseID, _, ok := keeper.Current()
	if !ok {
		return "", false
	}
	value, err := json.Marshal(HubRecord{ID: h.cfg.ID, Addr: h.cfg.Addr})
	if err != nil {
		return "", false
	}
	ctx, cancel := context.WithTimeout(ctx, hubStoreTimeout)
	defer cancel()
	firstSlot := max(0, h.cfg.Rank())
	for i := range HubsPerDomain {
		key := HubKey(h.cfg.Domain, (firstSlot+i)%HubsPerDomain)
		res, err := h.hubStore.CompareAndSwap(ctx, key, 0, value, leaseID)
		if err == nil && (res.Swapped || res.Current.Lease == leaseID) {
			return key, true
		}
	}
	return "", false
}

// watchWhileHeld runs the watch until the lease has been replaced or lost. The slot of a lost lease is free for other processes.
// While the store does not respond, the watch continues, because no other process can acquire the slot either.
func (h *Hub) watchWhileHeld(ctx context.Context, keeper *lease.Keeper) {
	leaseID, _, _ := keeper.Current()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.cfg.RunWatch(ctx) //nolint:errcheck // ends with ctx
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
