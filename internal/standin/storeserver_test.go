package standin_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/labstack/echo/v4"

	"bamboofork/internal/settings"
	"bamboofork/internal/standin"
	"bamboofork/internal/store"
	"bamboofork/internal/store/etcdgw"
	"bamboofork/internal/store/memstore"
)

func startStore(t *testing.T, users map[string]standin.User) (*standin.StoreServer, string) {
	s := standin.NewStoreServer(1)
	s.Auth = standin.NewAuth(users)
	e := echo.New()
	s.Register(e)
	srv := httptest.NewServer(e)
	t.Cleanup(srv.Close)
	return s, srv.URL
}

func newClient(t *testing.T, url string, creds etcdgw.Credentials) *etcdgw.Client {
	c := etcdgw.NewClient(url, time.Second).WithCredentials(creds)
	t.Cleanup(c.Close)
	return c
}

// Guards against a client that maps a store fault to the wrong error. The test injects each fault and checks the error that the client
// returns.
func TestClientMapsStoreFaultsToErrors(t *testing.T) {
	ctx := context.Background()
	s, url := startStore(t, nil)
	c := newClient(t, url, etcdgw.Credentials{})
	res, err := c.CompareAndSwap(ctx, "k", 0, []byte("one"), 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, res.Swapped, qt.IsTrue)
	again, err := c.CompareAndSwap(ctx, "k", 0, []byte("two"), 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, again.Swapped, qt.IsFalse)
	qt.Assert(t, string(again.Current.Value), qt.Equals, "one")

	s.FaultyStore.SetFaults(memstore.Faults{LoseAnswer: 1})
	_, err = c.CompareAndSwap(ctx, "lost", 0, []byte("x"), 0)
	qt.Assert(t, errors.Is(err, store.ErrUncertain), qt.IsTrue, qt.Commentf("%v", err))
	s.FaultyStore.SetFaults(memstore.Faults{})
	kv, err := c.Get(ctx, "lost")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(kv.Value), qt.Equals, "x")

	s.FaultyStore.SetFaults(memstore.Faults{Down: true})
	_, err = c.CompareAndSwap(ctx, "down", 0, nil, 0)
	qt.Assert(t, errors.Is(err, store.ErrUnavailable), qt.IsTrue, qt.Commentf("%v", err))
	s.FaultyStore.SetFaults(memstore.Faults{Delay: 3 * time.Second})
	_, err = c.CompareAndSwap(ctx, "slow", 0, nil, 0)
	qt.Assert(t, errors.Is(err, store.ErrUncertain), qt.IsTrue, qt.Commentf("%v", err))
	s.FaultyStore.SetFaults(memstore.Faults{WritesPerSec: 1})
	for err = nil; err == nil; {
		_, err = c.CompareAndSwap(ctx, "k", -1, nil, 0)
	}
	qt.Assert(t, errors.Is(err, store.ErrRateLimited), qt.IsTrue, qt.Commentf("%v", err))
	_, err = c.KeepAlive(ctx, 12345)
	qt.Assert(t, err, qt.IsNotNil)
	s.FaultyStore.SetFaults(memstore.Faults{})
	_, err = c.KeepAlive(ctx, 12345)
	qt.Assert(t, errors.Is(err, store.ErrLeaseNotFound), qt.IsTrue, qt.Commentf("%v", err))
	_, err = c.CompareAndSwap(ctx, "big", 0, make([]byte, store.MaxValueBytes+1), 0)
	qt.Assert(t, errors.Is(err, store.ErrTooLarge), qt.IsTrue)
}

// Guards against a watch that misses or repeats changes when the client resumes the watch after a disconnect.
func TestResumedWatchNeitherMissesNorRepeatsChanges(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	s, url := startStore(t, nil)
	c := newClient(t, url, etcdgw.Credentials{})
	seenKeys, nextRevision := []string{}, int64(1)
	for i := range 6 {
		_, err := c.CompareAndSwap(ctx, "w/"+string(rune('a'+i)), 0, []byte("v"), 0)
		qt.Assert(t, err, qt.IsNil)
	}
	for len(seenKeys) < 6 {
		watchCtx, stop := context.WithCancel(ctx)
		batches, err := c.Watch(watchCtx, "w/", nextRevision)
		qt.Assert(t, err, qt.IsNil)
		for batch := range batches {
			for _, ev := range batch.Events {
				seenKeys = append(seenKeys, ev.KV.Key)
				nextRevision = ev.KV.ModRevision + 1
			}
			s.FaultyStore.CutWatches()
		}
		stop()
		qt.Assert(t, ctx.Err(), qt.IsNil)
	}
	qt.Assert(t, seenKeys, qt.DeepEquals, []string{"w/a", "w/b", "w/c", "w/d", "w/e", "w/f"})
}

// Guards against a store that accepts settings edits from users who are not operators. Also guards against a client that does not
// authenticate again after the store has invalidated its token.
func TestOnlyOperatorsWriteSettings(t *testing.T) {
	ctx := context.Background()
	s, url := startStore(t, map[string]standin.User{"node": {Password: "n"}, "op": {Password: "o", IsOperator: true}})
	weight := "5"
	edit := settings.Edit{Author: "x", Changes: []settings.Change{{Branch: "shop", Set: map[string]*string{"weight": &weight}}}}
	for _, creds := range []etcdgw.Credentials{{}, {User: "op", Password: "wrong"}, {User: "node", Password: "n"}} {
		_, err := settings.NewRepository(newClient(t, url, creds), "w").Commit(ctx, 0, edit)
		qt.Assert(t, errors.Is(err, store.ErrDenied), qt.IsTrue, qt.Commentf("%+v: %v", creds, err))
	}
	op := newClient(t, url, etcdgw.Credentials{User: "op", Password: "o"})
	_, err := settings.NewRepository(op, "op").Commit(ctx, 0, edit)
	qt.Assert(t, err, qt.IsNil)
	s.Auth.InvalidateTokens()
	_, _, err = settings.NewRepository(op, "op").Load(ctx)
	qt.Assert(t, err, qt.IsNil)
}
