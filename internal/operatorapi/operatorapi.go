// Package operatorapi serves the health, readiness, metrics and status endpoints of one process.
package operatorapi

import (
	"net/http"
	"sync/atomic"

	"github.com/labstack/echo/v4"

	"bamboofork/internal/app"
	"bamboofork/internal/membership"
	"bamboofork/internal/settings"
	"bamboofork/internal/telemetry"
)

// Status is the response of the status endpoint. Self describes the process that responds; Members holds what this process knows
// of the other members. OwnedPartitions lists the partitions that the process owns.
type Status struct {
	Self             membership.Member   `json:"self"`
	Version          string              `json:"version"`
	SettingsRevision int64               `json:"settings_revision"`
	Members          []membership.Status `json:"members"`
	OwnedPartitions  []int               `json:"partitions_owned"`
}

// API holds the state that the operator endpoints of one process report.
type API struct {
	Table           *membership.Table
	LiveSettings    *settings.ActiveSnapshot
	Metrics         *telemetry.Registry
	OwnedPartitions func() []int // partitions that the process owns; nil: none
	// IsReady is set while the process serves. The process reports that it is ready once it has settings as well, because a process
	// without settings knows no branches.
	IsReady atomic.Bool
}

// Register adds the endpoints /healthz, /readyz, /metrics and /v1/status to e.
func (a *API) Register(e *echo.Echo) {
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", func(c echo.Context) error {
		if !a.IsReady.Load() || a.LiveSettings.Current().Revision == 0 {
			return c.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	e.GET("/metrics", func(c echo.Context) error {
		c.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4")
		return a.Metrics.WriteText(c.Response())
	})
	e.GET("/v1/status", func(c echo.Context) error { return c.JSON(http.StatusOK, a.currentStatus()) })
}

func (a *API) currentStatus() Status {
	s := Status{Self: a.Table.Self(), Version: app.Version, SettingsRevision: a.LiveSettings.Current().Revision, Members: a.Table.Members()}
	if a.OwnedPartitions != nil {
		s.OwnedPartitions = a.OwnedPartitions()
	}
	return s
}
