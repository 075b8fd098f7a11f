package standin

import (
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	"bamboofork/internal/worker"
)

// RegisterWorker adds the HTTP routes of a simulated worker and of its fault settings to e.
func RegisterWorker(e *echo.Echo, w *SimWorker) {
	e.GET(worker.PathCapacity, func(c echo.Context) error {
		out, err := w.Capacity(c.Request().Context())
		return respondWorker(c, out, err)
	})
	e.GET(worker.PathTasks, func(c echo.Context) error {
		out, err := w.List(c.Request().Context())
		return respondWorker(c, out, err)
	})
	e.GET(worker.PathClock, func(c echo.Context) error {
		out, err := w.Clock(c.Request().Context())
		return respondWorker(c, worker.ClockResponse{Clock: out}, err)
	})
	e.GET(worker.PathUsage, func(c echo.Context) error {
		out, err := w.Usage(c.Request().Context())
		return respondWorker(c, out, err)
	})
	e.POST(worker.PathTasks, bindRequest(func(c echo.Context, in worker.Spec) error {
		return respondWorker(c, nil, w.Start(c.Request().Context(), in))
	}))
	e.POST(worker.PathRenew, bindRequest(func(c echo.Context, in worker.RenewRequest) error {
		return respondWorker(c, nil, w.RenewUntil(c.Request().Context(), in.Refs, in.Lease, in.Until))
	}))
	e.POST(worker.PathThrottle, bindRequest(func(c echo.Context, in worker.ThrottleRequest) error {
		return respondWorker(c, nil, w.Throttle(c.Request().Context(), in.Ref, in.Share))
	}))
	e.POST(worker.PathCheckpoint, bindRequest(func(c echo.Context, in worker.Ref) error {
		checkpoint, err := w.Checkpoint(c.Request().Context(), in)
		return respondWorker(c, worker.CheckpointResponse{Checkpoint: checkpoint}, err)
	}))
	e.POST(worker.PathStop, bindRequest(func(c echo.Context, in worker.Ref) error {
		return respondWorker(c, nil, w.Stop(c.Request().Context(), in))
	}))
	e.POST(worker.PathForget, bindRequest(func(c echo.Context, in worker.Ref) error {
		return respondWorker(c, nil, w.Forget(c.Request().Context(), in))
	}))
	e.GET("/faults/worker", func(c echo.Context) error { return c.JSON(http.StatusOK, w.Faults()) })
	e.PUT("/faults/worker", bindRequest(func(c echo.Context, in WorkerFaults) error {
		w.SetFaults(in)
		return c.NoContent(http.StatusNoContent)
	}))
}

// bindRequest returns a handler that decodes the request into a T and passes the T to handle.
func bindRequest[T any](handle func(echo.Context, T) error) echo.HandlerFunc {
	return func(c echo.Context) error {
		var in T
		if err := c.Bind(&in); err != nil {
			return err
		}
		return handle(c, in)
	}
}

// respondWorker responds with out as JSON, with status 204 if out is nil, or with the status that corresponds to err.
func respondWorker(c echo.Context, out any, err error) error {
	switch {
	case errors.Is(err, worker.ErrUnavailable):
		return c.String(http.StatusServiceUnavailable, err.Error())
	case errors.Is(err, worker.ErrNotFound):
		return c.String(http.StatusNotFound, err.Error())
	case errors.Is(err, worker.ErrRefused):
		return c.String(http.StatusConflict, err.Error())
	case err != nil:
		return err
	case out == nil:
		return c.NoContent(http.StatusNoContent)
	}
	return c.JSON(http.StatusOK, out)
}
