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

// Limits on reads of owner keys. During a takeover every agent with tasks of the partition looks up the new owner, so the
// reads of each process are rate limited. A rejected read is repeated with the agent's next report.
const (
	minReadInterval         = 250 * time.Millisecond // minimum time between two reads of a key, also after a failed call
	directoryReadsPerSecond = 20                     // sustained reads per second of one process
	directoryReadBurst      = 64                     // burst of the read limiter
	refreshJitterMin        = 4 * time.Second        // upper limit of the random delay of the first read after a failure
	refreshJitterMax        = 8 * time.Second        // the limit doubles up to this value while the calls fail; shorter than a hold of 30 s
)

// Caller sends control RPCs to other processes; *peer.Pool implements it. Errors: peer.ErrNotSent,
// peer.ErrOutcomeUnknown, or the error of the remote method.
type Caller interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Directory looks up the owners of partitions. It caches the owners, so that look-ups work during a store outage, and
// coalesces concurrent reads of the same partition. mu guards cachedOwners and deferredReads.
type Directory struct {
	store          store.Store
	rpc            Caller
	PartitionCount int // number of partitions of the fleet
	readGroup      singleflight.Group

	readLimiter *rate.Limiter // limits the reads of owner keys

	mu            sync.Mutex
	cachedOwners  map[int]cachedOwner
	deferredReads map[int]deferredRead // earliest next read of CallWithBackoff after a failure, by partition
}

// deferredRead is when CallWithBackoff may read an owner key again after a failure.
type deferredRead struct {
	at     time.Time
	jitter time.Duration // limit of the random delay; doubles while the calls fail
}

// cachedOwner is the owner of a partition as last read from the store.
type cachedOwner struct {
	addr   string    // empty if there was no owner
	readAt time.Time // when the owner key was read
}

// NewDirectory returns an empty directory.
func NewDirectory(st store.Store, rpc Caller, partitions int) *Directory {
	return &Directory{
		store: st, rpc: rpc, PartitionCount: partitions, cachedOwners: map[int]cachedOwner{}, deferredReads: map[int]deferredRead{},
		readLimiter: rate.NewLimiter(directoryReadsPerSecond, directoryReadBurst)}
}

// Addr returns the owner's control address, or ErrNotOwner if there is none. If refresh is set and the cached owner is
// older than minReadInterval, Addr reads the owner key again. During a store outage Addr returns the last known owner.
func (d *Directory) Addr(ctx context.Context, partition int, refresh bool) (string, error) {
	c, ok := d.cached(partition)
	if ok && (!refresh && c.addr != "" || time.Since(c.readAt) < minReadInterval) {
		return c.addr, ternary(c.addr == "", ErrNotOwner, nil)
	}
	_, err, _ := d.readGroup.Do(strconv.Itoa(partition), func() (any, error) { return nil, d.read(ctx, partition) })
	if c, _ := d.cached(partition); c.addr != "" {
		return c.addr, nil
	}
	return "", ternary(err != nil, err, ErrNotOwner)
}

func (d *Directory) cached(partition int) (cachedOwner, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.cachedOwners[partition]
	return c, ok
}

// read reads the owner key, within the rate limit, and caches the owner.
func (d *Directory) read(ctx context.Context, partition int) error {
	if !d.readLimiter.Allow() {
		return store.ErrRateLimited
	}
	kv, err := d.store.Get(ctx, OwnerKey(partition))
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
	d.cachedOwners[partition] = cachedOwner{addr: ternary(rec.Released, "", rec.Addr), readAt: time.Now()}
	return nil
}

// callRetryDelay is the mean delay between two attempts to call the owner.
const callRetryDelay = 150 * time.Millisecond

// Call calls a method of the partition's owner. Until ctx is done it retries if there is no owner, if the called process
// replies that it is not the owner, if the request was not sent, if the connection broke before the reply, or if the owner does not
// know whether the change becomes durable. A change of owner or a lost connection therefore only delays the call. The method may run
// more than once, so a repeated call must have the effect and the reply of the first one. Call returns peer.ErrOutcomeUnknown if an
// attempt may have had an effect and no later reply tells. The function code returns the result code from reply.
func (d *Directory) Call(ctx context.Context, partition int, method string, args, reply any, code func() wire.Code) error {
	mayHaveRun := false
	for refresh := false; ; refresh = true {
		retry, err := d.callOnce(ctx, partition, refresh, method, args, reply, code)
		if mayHaveRun && (err != nil || code() == wire.CodeNoStore) {
			err = peer.ErrOutcomeUnknown // this attempt had no effect, which proves nothing about the earlier one
		}
		if !retry {
			return err
		}
		mayHaveRun = errors.Is(err, peer.ErrOutcomeUnknown)
		select {
		case <-ctx.Done():
			return err
		case <-time.After(jitter(callRetryDelay)):
		}
	}
}

func (d *Directory) callOnce(ctx context.Context, partition int, refresh bool, method string, args, reply any, code func() wire.Code) (retry bool, err error) {
	addr, err := d.Addr(ctx, partition, refresh)
	if err != nil {
		return errors.Is(err, ErrNotOwner) || errors.Is(err, store.ErrRateLimited), err
	}
	err = d.rpc.Call(ctx, addr, method, args, reply)
	switch {
	case err == nil && code() == wire.CodeNotOwner:
		return true, ErrNotOwner
	case err == nil && code() == wire.CodeUncertain:
		return true, peer.ErrOutcomeUnknown
	case errors.Is(err, peer.ErrNotSent), errors.Is(err, peer.ErrOutcomeUnknown):
		return true, err
	}
	return false, err
}

// CallWithBackoff calls a method of the last known owner once, for calls that the caller repeats periodically. After a
// failure the owner key is read again only after a random delay, because in a takeover the calls of thousands of agents
// fail at the same moment.
func (d *Directory) CallWithBackoff(ctx context.Context, partition int, method string, args, reply any, code func() wire.Code) error {
	refresh := d.refreshDue(partition)
	if !refresh && d.refreshPending(partition) {
		return ErrNotOwner
	}
	addr, err := d.Addr(ctx, partition, refresh)
	if err != nil {
		d.delayRefresh(partition)
		return err
	}
	err = d.rpc.Call(ctx, addr, method, args, reply)
	if err == nil && code() == wire.CodeNotOwner {
		err = ErrNotOwner
	}
	d.mu.Lock()
	_, refreshScheduled := d.deferredReads[partition]
	if err == nil {
		delete(d.deferredReads, partition)
	}
	d.mu.Unlock()
	if err != nil && !refreshScheduled {
		d.delayRefresh(partition)
	}
	return err
}

// refreshPending reports whether no owner is known and the next read is not due yet.
func (d *Directory) refreshPending(partition int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cachedOwners[partition].addr == "" && time.Now().Before(d.deferredReads[partition].at)
}

// refreshDue reports whether the delay after a failure has passed. If the delay has passed, refreshDue starts the next one,
// with twice the limit up to refreshJitterMax.
func (d *Directory) refreshDue(partition int) bool {
	d.mu.Lock()
	next, failed := d.deferredReads[partition]
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
	next := d.deferredReads[partition]
	if time.Now().Before(next.at) {
		return
	}
	next.jitter = min(max(refreshJitterMin, 2*next.jitter), refreshJitterMax)
	next.at = time.Now().Add(rand.N(next.jitter))
	d.deferredReads[partition] = next
}
