package partition

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"bamboofork/internal/peer"
	"bamboofork/internal/store"
	"bamboofork/internal/wire"
)

// directoryAge is how long a cached owner is used before the store is asked again after a failure.
const directoryAge = 500 * time.Millisecond

// Directory finds the owners of partitions. It caches them, so that it works while the store is down.
// mu guards cache.
type Directory struct {
	st         store.Store
	pool       *peer.Pool
	Partitions int

	mu    sync.Mutex
	cache map[int]cachedOwner
}

type cachedOwner struct {
	addr string
	read time.Time
}

// NewDirectory returns an empty directory.
func NewDirectory(st store.Store, pool *peer.Pool, partitions int) *Directory {
	return &Directory{st: st, pool: pool, Partitions: partitions, cache: map[int]cachedOwner{}}
}

// Addr returns the owner's control address. With refresh, a cached one older than directoryAge is read again.
func (d *Directory) Addr(ctx context.Context, partition int, refresh bool) (string, error) {
	d.mu.Lock()
	c, ok := d.cache[partition]
	d.mu.Unlock()
	if ok && (!refresh || time.Since(c.read) < directoryAge) {
		return c.addr, nil
	}
	kv, err := d.st.Get(ctx, OwnerKey(partition))
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
	d.mu.Lock()
	d.cache[partition] = cachedOwner{addr: rec.Addr, read: time.Now()}
	d.mu.Unlock()
	return rec.Addr, nil
}

// Attempts of Call to find the owner during a takeover.
const (
	findAttempts = 20 // with findDelay 5 s: after a planned stop a partition is without an owner for up to 3 s
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
			case <-time.After(findDelay):
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
