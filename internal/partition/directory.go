package partition

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"bamboofork/internal/peer"
	"bamboofork/internal/store"
	"bamboofork/internal/wire"
)

// Reads of owners. During a takeover every agent with tasks of the partition looks for its new owner, so one process
// may read only so often; what it cannot read now it reads with its next report.
const (
	directoryAge   = 500 * time.Millisecond // a cached owner is not read again before, also after a failure
	directoryRate  = 20                     // reads per second of one process in the long run
	directoryBurst = 64
	refreshSpread  = 4 * time.Second // agents of a partition spread their first read after a failure over this time
	refreshMax     = 8 * time.Second // longest spread while no owner is found; shorter than a hold of 30 s
)

// Caller sends control calls to other processes; *peer.Pool implements it. Errors: peer.ErrNotSent, peer.ErrLost, or
// the error of the remote method.
type Caller interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Directory finds the owners of partitions. It caches them, so that it works while the store is down.
// mu guards cache.
type Directory struct {
	st         store.Store
	pool       Caller
	Partitions int

	budget *rate.Limiter

	mu    sync.Mutex
	cache map[int]cachedOwner
	later map[int]laterRead // next reads for patient calls
}

// laterRead is when a patient call may read an owner again.
type laterRead struct {
	at     time.Time
	spread time.Duration
}

type cachedOwner struct {
	addr string
	read time.Time
}

// NewDirectory returns an empty directory.
func NewDirectory(st store.Store, pool Caller, partitions int) *Directory {
	return &Directory{st: st, pool: pool, Partitions: partitions, cache: map[int]cachedOwner{}, later: map[int]laterRead{}, budget: rate.NewLimiter(directoryRate, directoryBurst)}
}

// Addr returns the owner's control address. With refresh, a cached one older than directoryAge is read again.
func (d *Directory) Addr(ctx context.Context, partition int, refresh bool) (string, error) {
	d.mu.Lock()
	c, ok := d.cache[partition]
	d.mu.Unlock()
	if ok && (!refresh || time.Since(c.read) < directoryAge) {
		return c.addr, nil
	}
	kv, err := d.read(ctx, partition)
	if err != nil {
		if ok {
			return c.addr, nil
		}
		return "", err
	}
	if kv.ModRevision == 0 {
		return "", ErrNotOwner
	}
	var rec OwnerRecord
	if err := json.Unmarshal(kv.Value, &rec); err != nil {
		return "", eris.Wrap(err, "decode owner record")
	}
	if rec.Released {
		return "", ErrNotOwner
	}
	d.mu.Lock()
	d.cache[partition] = cachedOwner{addr: rec.Addr, read: time.Now()}
	d.mu.Unlock()
	return rec.Addr, nil
}

// read asks the store within the budget.
func (d *Directory) read(ctx context.Context, partition int) (store.KV, error) {
	if !d.budget.Allow() {
		return store.KV{}, store.ErrRateLimited
	}
	return d.st.Get(ctx, OwnerKey(partition))
}

// Attempts of Call to find the owner during a takeover.
const (
	findAttempts = 8
	findDelay    = 250 * time.Millisecond
)

// Call runs a method at the partition's owner. It tries again only when the owner says that it is not the owner or
// when the request was not sent, so it never runs a method twice. The code function reads the reply's verdict.
func (d *Directory) Call(ctx context.Context, partition int, method string, args, reply any, code func() wire.Code) error {
	err := error(ErrNotOwner)
	for attempt := range findAttempts {
		if attempt > 0 {
			select {
			case <-ctx.Done():
				return err
			case <-time.After(jitter(findDelay)):
			}
		}
		var addr string
		if addr, err = d.Addr(ctx, partition, attempt > 0); err != nil {
			continue
		}
		err = d.pool.Call(ctx, addr, method, args, reply)
		if err == nil && code() != wire.CodeNotOwner {
			return nil
		}
		if err != nil && err != peer.ErrNotSent {
			return err
		}
		if err == nil {
			err = ErrNotOwner
		}
	}
	return err
}

// CallPatiently runs a method once at the owner that is known, for calls that are repeated anyway. After a failure the
// owner is read again only after a random delay, because thousands of agents fail at the same moment in a takeover.
func (d *Directory) CallPatiently(ctx context.Context, partition int, method string, args, reply any, code func() wire.Code) error {
	refresh := d.mayRefresh(partition)
	if !refresh && d.blocked(partition) {
		return ErrNotOwner
	}
	addr, err := d.Addr(ctx, partition, refresh)
	if err != nil {
		d.delayRefresh(partition)
		return err
	}
	err = d.pool.Call(ctx, addr, method, args, reply)
	if err == nil && code() == wire.CodeNotOwner {
		err = ErrNotOwner
	}
	d.mu.Lock()
	_, waiting := d.later[partition]
	if err == nil {
		delete(d.later, partition)
	}
	d.mu.Unlock()
	if err != nil && !waiting {
		d.delayRefresh(partition)
	}
	return err
}

// blocked reports whether no owner is known and the next read is not due.
func (d *Directory) blocked(partition int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, known := d.cache[partition]
	return !known && time.Now().Before(d.later[partition].at)
}

// mayRefresh reports whether the delay after a failure is over; it then starts a longer one.
func (d *Directory) mayRefresh(partition int) bool {
	d.mu.Lock()
	next, failed := d.later[partition]
	d.mu.Unlock()
	if !failed || time.Now().Before(next.at) {
		return false
	}
	d.delayRefresh(partition)
	return true
}

func (d *Directory) delayRefresh(partition int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := d.later[partition]
	if time.Now().Before(next.at) {
		return
	}
	next.spread = min(max(refreshSpread, 2*next.spread), refreshMax)
	next.at = time.Now().Add(rand.N(next.spread))
	d.later[partition] = next
}
