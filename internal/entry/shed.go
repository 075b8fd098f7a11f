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

// shed responds to a request that the limiter refused before its dispatch, and records the refusal in metrics and the log.
func (e *Entry) shed(c echo.Context, req *Request, refusal *limit.Refusal) error {
	status, counter := http.StatusTooManyRequests, "entry_shed_rate"
	if refusal.IsOverload {
		status, counter = http.StatusServiceUnavailable, "entry_shed_overload"
	}
	e.metrics.Counter(counter).Inc(1)
	events.RequestShed.Log(&e.log).Str("request", req.ID).Str("branch", req.Branch.Branch).Str("caller", req.Caller.String()).
		Str("reason", refusal.Reason).Send()
	c.Response().Header().Set(echo.HeaderRetryAfter, retryAfterSeconds(refusal.RetryAfter))
	return writeProblem(c, status, wire.OutcomeNotRun, req.ID, refusal.Reason)
}

// retryAfterSeconds formats d as whole seconds, rounded up and at least 1.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(max(1, int(math.Ceil(d.Seconds()))))
}
