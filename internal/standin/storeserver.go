// Package standin simulates the platform for development and tests. It provides a key-value store behind the etcd v3 HTTP/JSON gateway
// protocol, and workers behind an HTTP API. Both support fault injection.
package standin

import (
	"errors"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"bamboofork/internal/store"
	"bamboofork/internal/store/etcdgw"
	"bamboofork/internal/store/memstore"
)

// StoreServer serves an in-memory store over the etcd gateway protocol. FaultyStore wraps Engine and injects faults into the calls of
// clients.
type StoreServer struct {
	Engine      *memstore.Engine
	FaultyStore *memstore.Faulty
	Auth        *Auth
}

// NewStoreServer returns a server with an empty store and without users. The seed determines which responses are lost if the fault
// LoseAnswer is set.
func NewStoreServer(seed uint64) *StoreServer {
	engine := memstore.New()
	return &StoreServer{Engine: engine, FaultyStore: memstore.NewFaulty(engine, seed), Auth: NewAuth(nil)}
}

// Register adds the routes of the gateway and of the fault settings to e.
func (s *StoreServer) Register(e *echo.Echo) {
	gateway := e.Group("", s.Auth.requireToken)
	gateway.POST(etcdgw.PathAuth, s.Auth.authenticate)
	gateway.POST(etcdgw.PathRange, s.handleRange)
	gateway.POST(etcdgw.PathTxn, s.handleTxn)
	gateway.POST(etcdgw.PathDeleteRange, s.handleDeleteRange)
	gateway.POST(etcdgw.PathLeaseGrant, s.handleGrant)
	gateway.POST(etcdgw.PathLeaseRevoke, s.handleRevoke)
	gateway.POST(etcdgw.PathKeepAlive, s.handleKeepAlive)
	gateway.POST(etcdgw.PathWatch, s.handleWatch)
	e.GET("/faults/store", func(c echo.Context) error { return c.JSON(http.StatusOK, s.FaultyStore.Faults()) })
	e.PUT("/faults/store", s.handleFaults)
	e.POST("/faults/store/cut-watches", func(c echo.Context) error {
		s.FaultyStore.CutWatches()
		return c.NoContent(http.StatusNoContent)
	})
	e.GET("/faults/store/calls", func(c echo.Context) error { return c.JSON(http.StatusOK, s.FaultyStore.CallsByKind()) })
}

func (s *StoreServer) handleFaults(c echo.Context) error {
	var f memstore.Faults
	if err := c.Bind(&f); err != nil {
		return err
	}
	s.FaultyStore.SetFaults(f)
	return c.NoContent(http.StatusNoContent)
}

// respondStoreError responds with the gateway's error code for err. If err is store.ErrUncertain, which stands for a lost response, the
// connection is closed without a response, as in a network failure.
func respondStoreError(c echo.Context, err error) error {
	code, status := etcdgw.CodeUnknown, http.StatusInternalServerError
	switch {
	case errors.Is(err, store.ErrUncertain):
		panic(http.ErrAbortHandler)
	case errors.Is(err, store.ErrUnavailable):
		code, status = etcdgw.CodeUnavailable, http.StatusServiceUnavailable
	case errors.Is(err, store.ErrRateLimited):
		code, status = etcdgw.CodeResourceExhausted, http.StatusTooManyRequests
	case errors.Is(err, store.ErrLeaseNotFound):
		code, status = etcdgw.CodeNotFound, http.StatusNotFound
	case errors.Is(err, store.ErrCompacted):
		code, status = etcdgw.CodeOutOfRange, http.StatusBadRequest
	}
	return c.JSON(status, etcdgw.ErrorBody{Error: err.Error(), Message: err.Error(), Code: code})
}

func (s *StoreServer) header() etcdgw.Header { return etcdgw.Header{Revision: s.Engine.Revision()} }

func (s *StoreServer) handleRange(c echo.Context) error {
	var in etcdgw.RangeRequest
	if err := c.Bind(&in); err != nil {
		return err
	}
	ctx := c.Request().Context()
	if len(in.RangeEnd) == 0 {
		kv, err := s.FaultyStore.Get(ctx, string(in.Key))
		if err != nil {
			return respondStoreError(c, err)
		}
		out := etcdgw.RangeResponse{Header: s.header()}
		if kv.ModRevision > 0 {
			out.KVs = []etcdgw.KeyValue{etcdgw.ToWire(kv)}
		}
		return c.JSON(http.StatusOK, out)
	}
	kvs, rev, err := s.FaultyStore.List(ctx, string(in.Key), string(in.RangeEnd), int(in.Limit))
	if err != nil {
		return respondStoreError(c, err)
	}
	out := etcdgw.RangeResponse{Header: etcdgw.Header{Revision: rev}}
	for _, kv := range kvs {
		out.KVs = append(out.KVs, etcdgw.ToWire(kv))
	}
	return c.JSON(http.StatusOK, out)
}

// handleTxn supports only the transaction that etcdgw.Client sends. It compares the modification revision of a key. If the revision is
// equal, the value is put; otherwise the response holds the current value.
func (s *StoreServer) handleTxn(c echo.Context) error {
	var in etcdgw.TxnRequest
	if err := c.Bind(&in); err != nil {
		return err
	}
	if len(in.Compare) != 1 || len(in.Success) != 1 || in.Success[0].Put == nil {
		return echo.NewHTTPError(http.StatusBadRequest, "unsupported transaction")
	}
	put := in.Success[0].Put
	if !s.Auth.mayWrite(c, string(put.Key)) {
		return respondDenied(c, http.StatusForbidden, etcdgw.CodePermissionDenied, "permission denied")
	}
	res, err := s.FaultyStore.CompareAndSwap(c.Request().Context(), string(put.Key), in.Compare[0].ModRevision, put.Value, store.LeaseID(put.Lease))
	if err != nil {
		return respondStoreError(c, err)
	}
	if res.Swapped {
		return c.JSON(http.StatusOK, etcdgw.TxnResponse{Header: etcdgw.Header{Revision: res.Current.ModRevision}, Succeeded: true})
	}
	out := etcdgw.TxnResponse{Header: s.header(), Responses: []etcdgw.ResponseOp{{Range: &etcdgw.RangeResponse{}}}}
	if res.Current.ModRevision > 0 {
		out.Responses[0].Range.KVs = []etcdgw.KeyValue{etcdgw.ToWire(res.Current)}
	}
	return c.JSON(http.StatusOK, out)
}

func (s *StoreServer) handleDeleteRange(c echo.Context) error {
	var in etcdgw.DeleteRangeRequest
	if err := c.Bind(&in); err != nil {
		return err
	}
	if !s.Auth.mayWrite(c, string(in.Key)) {
		return respondDenied(c, http.StatusForbidden, etcdgw.CodePermissionDenied, "permission denied")
	}
	n, err := s.FaultyStore.DeleteRange(c.Request().Context(), string(in.Key), string(in.RangeEnd))
	if err != nil {
		return respondStoreError(c, err)
	}
	return c.JSON(http.StatusOK, etcdgw.DeleteRangeResponse{Header: s.header(), Deleted: n})
}

func (s *StoreServer) handleGrant(c echo.Context) error {
	var in etcdgw.LeaseRequest
	if err := c.Bind(&in); err != nil {
		return err
	}
	id, err := s.FaultyStore.GrantLease(c.Request().Context(), time.Duration(in.TTL)*time.Second)
	if err != nil {
		return respondStoreError(c, err)
	}
	return c.JSON(http.StatusOK, etcdgw.LeaseResponse{Header: s.header(), ID: int64(id), TTL: in.TTL})
}

func (s *StoreServer) handleRevoke(c echo.Context) error {
	var in etcdgw.LeaseRequest
	if err := c.Bind(&in); err != nil {
		return err
	}
	if err := s.FaultyStore.RevokeLease(c.Request().Context(), store.LeaseID(in.ID)); err != nil {
		return respondStoreError(c, err)
	}
	return c.JSON(http.StatusOK, etcdgw.LeaseResponse{Header: s.header()})
}

func (s *StoreServer) handleKeepAlive(c echo.Context) error {
	var in etcdgw.LeaseRequest
	if err := c.Bind(&in); err != nil {
		return err
	}
	ttl, err := s.FaultyStore.KeepAlive(c.Request().Context(), store.LeaseID(in.ID))
	if errors.Is(err, store.ErrLeaseNotFound) {
		return c.JSON(http.StatusOK, etcdgw.KeepAliveResponse{Result: etcdgw.LeaseResponse{ID: in.ID}})
	}
	if err != nil {
		return respondStoreError(c, err)
	}
	out := etcdgw.LeaseResponse{Header: s.header(), ID: in.ID, TTL: int64(ttl / time.Second)}
	return c.JSON(http.StatusOK, etcdgw.KeepAliveResponse{Result: out})
}

func (s *StoreServer) handleWatch(c echo.Context) error {
	var in etcdgw.WatchRequest
	if err := c.Bind(&in); err != nil {
		return err
	}
	batches, err := s.FaultyStore.Watch(c.Request().Context(), string(in.Create.Key), in.Create.StartRevision)
	if err != nil {
		return respondStoreError(c, err)
	}
	c.Response().WriteHeader(http.StatusOK)
	created := etcdgw.WatchMessage{}
	created.Result.Created = true
	if err := writeMessage(c, created); err != nil {
		return nil
	}
	for batch := range batches {
		if batch.Err != nil {
			panic(http.ErrAbortHandler)
		}
		if err := writeMessage(c, watchMessage(batch)); err != nil {
			return nil
		}
	}
	return nil
}

func watchMessage(batch store.WatchBatch) etcdgw.WatchMessage {
	m := etcdgw.WatchMessage{}
	m.Result.Header.Revision = batch.Revision
	for _, ev := range batch.Events {
		w := etcdgw.WatchEvent{KV: etcdgw.ToWire(ev.KV)}
		if ev.Deleted {
			w.Type = "DELETE"
		}
		m.Result.Events = append(m.Result.Events, w)
	}
	return m
}

func writeMessage(c echo.Context, v any) error {
	if err := c.Echo().JSONSerializer.Serialize(c, v, ""); err != nil {
		return err
	}
	c.Response().Flush()
	return nil
}
