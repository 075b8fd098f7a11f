package partition

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"bamboofork/internal/peer"
	"bamboofork/internal/store"
	"bamboofork/internal/wire"
)

// Reads of owners. During a takeover every agent with tasks of the partition looks for its new owner, so one process
// may read only so often; what it cannot read now it reads with its next report.
const (
	directoryAge   = 250 * time.Millisecond // an answer of the store is not read again before, also after a failure
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

// Directory finds the owners of partitions. It caches them, so that it works while the store is down, and asks the
// store once for all callers that wait for the same partition. mu guards cache.
type Directory struct {
	st         store.Store
	pool       Caller
	Partitions int
	reads      singleflight.Group

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

// cachedOwner is the newest answer of the store about a partition.
type cachedOwner struct {
	addr string // empty if there was no owner
	read time.Time
}

// NewDirectory returns an empty directory.
func NewDirectory(st store.Store, pool Caller, partitions int) *Directory {
	return &Directory{st: st, pool: pool, Partitions: partitions, cache: map[int]cachedOwner{}, later: map[int]laterRead{}, budget: rate.NewLimiter(directoryRate, directoryBurst)}
}

// Addr returns the owner's control address, or ErrNotOwner if there is none. With refresh, an answer older than
// directoryAge is read again; while the store does not answer, the last known owner is returned.
func (d *Directory) Addr(ctx context.Context, partition int, refresh bool) (string, error) {
	c, ok := d.cached(partition)
	if ok && (!refresh && c.addr != "" || time.Since(c.read) < directoryAge) {
		return c.addr, pick(c.addr == "", ErrNotOwner, nil)
	}
	_, err, _ := d.reads.Do(strconv.Itoa(partition), func() (any, error) { return nil, d.read(ctx, partition) })
	if c, _ := d.cached(partition); c.addr != "" {
		return c.addr, nil
	}
	return "", pick(err != nil, err, ErrNotOwner)
}

func (d *Directory) cached(partition int) (cachedOwner, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.cache[partition]
	return c, ok
}

// read asks the store for the owner within the budget and caches the answer.
func (d *Directory) read(ctx context.Context, partition int) error {
	if !d.budget.Allow() {
		return store.ErrRateLimited
	}
	kv, err := d.st.Get(ctx, OwnerKey(partition))
	if err != nil {
		return err
	}
	var rec OwnerRecord // a released or absent key has no address
	if kv.ModRevision > 0 {
		if err := json.Unmarshal(kv.Value, &rec); err != nil {
			return eris.Wrap(err, "decode owner record")
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cache[partition] = cachedOwner{addr: pick(rec.Released, "", rec.Addr), read: time.Now()}
	return nil
}

// findDelay is the mean wait between two attempts to reach the owner.
const findDelay = 150 * time.Millisecond

// Call runs a method at the partition's owner. Until ctx ends it tries again when there is no owner, when the owner
// says that it is not the owner, or when the request was not sent, so a hand-over of the partition only takes time and
// no method runs twice. The code function reads the reply's verdict.
func (d *Directory) Call(ctx context.Context, partition int, method string, args, reply any, code func() wire.Code) error {
	for refresh := false; ; refresh = true {
		again, err := d.callOnce(ctx, partition, refresh, method, args, reply, code)
		if !again {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(jitter(findDelay)):
		}
	}
}

func (d *Directory) callOnce(ctx context.Context, partition int, refresh bool, method string, args, reply any, code func() wire.Code) (again bool, err error) {
	addr, err := d.Addr(ctx, partition, refresh)
	if err != nil {
		return errors.Is(err, ErrNotOwner) || errors.Is(err, store.ErrRateLimited), err
	}
	err = d.pool.Call(ctx, addr, method, args, reply)
	switch {
	case err == nil && code() == wire.CodeNotOwner:
		return true, ErrNotOwner
	case errors.Is(err, peer.ErrNotSent):
		return true, err
	}
	return false, err
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
	return d.cache[partition].addr == "" && time.Now().Before(d.later[partition].at)
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
