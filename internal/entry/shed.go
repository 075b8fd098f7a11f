package entry

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"bamboofork/internal/events"
	"bamboofork/internal/limit"
	"bamboofork/internal/wire"
)

// shed responds to a request that was refused by a limit before it was dispatched.
func (e *Entry) shed(c echo.Context, req *Request, r *limit.Refusal) error {
	status, counter := http.StatusTooManyRequests, "entry_shed_rate"
	if r.Overload {
		status, counter = http.StatusServiceUnavailable, "entry_shed_overload"
	}
	e.metrics.Counter(counter).Inc(1)
	events.RequestShed.Log(&e.log).Str("request", req.ID).Str("branch", req.Branch.Branch).Str("caller", req.Caller.String()).
		Str("reason", r.Reason).Send()
	c.Response().Header().Set(echo.HeaderRetryAfter, retryAfterSeconds(r.RetryAfter))
	return writeProblem(c, status, wire.OutcomeNotRun, req.ID, r.Reason)
}

// retryAfterSeconds formats d as whole seconds, rounded up and at least 1.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(max(1, int(math.Ceil(d.Seconds()))))
}
