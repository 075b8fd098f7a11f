package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"bamboofork/internal/events"
	"bamboofork/internal/ledger"
	"bamboofork/internal/settings"
	"bamboofork/internal/wire"
	"bamboofork/internal/worker"
)

// Paths of the caller API.
const (
	PathRun  = "/v1/run/"
	PathJobs = "/v1/jobs"
	// pathSplit separates the branch from the path at the backend server.
	pathSplit = "/-/"
)

// Problem is the JSON body of an answer that is not a backend server's.
type Problem struct {
	Title     string       `json:"title"`
	Status    int          `json:"status"`
	Detail    string       `json:"detail,omitempty"`
	Outcome   wire.Outcome `json:"outcome,omitempty"`
	RequestID string       `json:"request_id,omitempty"`
}

// Register adds the caller API to e.
func (e *Entry) Register(r *echo.Echo) {
	r.HTTPErrorHandler = httpError
	r.Use(e.closeWhenLeaving)
	r.Any(PathRun+"*", e.handleRun)
	r.POST(PathJobs, e.handleSubmit)
	r.GET(PathJobs, e.handleJobs)
	r.GET(PathJobs+"/:id", e.handleJob)
	r.DELETE(PathJobs+"/:id", e.handleCancel)
	r.GET(PathDecisions+":id", e.handleDecisions)
	r.GET(PathJobs+"/:id/tasks/:index/decisions", e.handleTaskDecisions)
}

// httpError answers what no handler took with a problem body.
func httpError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status, detail := http.StatusInternalServerError, ""
	var he *echo.HTTPError
	if errors.As(err, &he) {
		status = he.Code
	}
	if errors.Is(err, echo.ErrNotFound) || errors.Is(err, echo.ErrMethodNotAllowed) {
		detail = "see " + PathRun + "{branch}" + pathSplit + "{path} and " + PathJobs
	}
	outcome := wire.OutcomeNotRun
	if status >= http.StatusInternalServerError {
		outcome = wire.OutcomeUnknown
	}
	problem(c, status, outcome, "", detail) //nolint:errcheck // the caller is gone if this fails
}

// closeWhenLeaving closes callers' connections with their next answer once the entry leaves.
func (e *Entry) closeWhenLeaving(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if e.isLeaving() {
			c.Response().Header().Set(echo.HeaderConnection, "close")
		}
		return next(c)
	}
}

// retryAfterSpread is the number of seconds over which refused callers come back, without a better estimate.
const retryAfterSpread = 4

func problem(c echo.Context, status int, outcome wire.Outcome, id, detail string) error {
	h := c.Response().Header()
	h.Set(echo.HeaderContentType, "application/problem+json")
	h.Set(wire.HeaderOutcome, string(outcome))
	h.Set(wire.HeaderRequestID, id)
	again := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusConflict
	if again && h.Get(echo.HeaderRetryAfter) == "" {
		h.Set(echo.HeaderRetryAfter, strconv.Itoa(1+rand.IntN(retryAfterSpread)))
	}
	return c.JSON(status, Problem{Title: http.StatusText(status), Status: status, Detail: detail, Outcome: outcome, RequestID: id})
}

func (e *Entry) handleRun(c echo.Context) error {
	r := c.Request()
	id := NewID()
	branchPath, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, PathRun), pathSplit)
	branch, ok := e.live.Current().Branch(branchPath)
	if !ok || branch.Backend == "" {
		return problem(c, http.StatusNotFound, wire.OutcomeNotRun, id, "unknown branch "+strconv.Quote(branchPath))
	}
	key := r.Header.Get(wire.HeaderKey)
	if !branch.Idempotent && key == "" {
		return problem(c, http.StatusBadRequest, wire.OutcomeNotRun, id, "the branch is not idempotent; send an Idempotency-Key")
	}
	if len(key) > maxKeyBytes || strings.ContainsFunc(key, notVisible) {
		return problem(c, http.StatusBadRequest, wire.OutcomeNotRun, id, "an Idempotency-Key has up to 255 visible ASCII characters")
	}
	if e.isLeaving() && branch.Class == settings.ClassStream {
		return problem(c, http.StatusServiceUnavailable, wire.OutcomeNotRun, id, "this entry is leaving; open the stream again")
	}
	caller := e.trusted.Address(r)
	if refusal := e.limiter.Rate(branch, caller, time.Now()); refusal != nil {
		return e.shed(c, &Request{ID: id, Branch: branch, Caller: caller}, refusal)
	}
	body, err := e.receive(c, branch)
	if err != nil {
		closeAfterReply(c)
		out := bodyAnswer(err)
		return problem(c, out.Status, out.Outcome, id, out.Reason)
	}
	defer body.Release()
	req := &Request{
		ID: id, Branch: branch, Method: r.Method, Path: "/" + rest, Query: r.URL.RawQuery,
		Header: callerHeader(r.Header), Body: body, Deadline: time.Now().Add(branch.Deadline),
		Caller: caller,
	}
	return e.answer(c, req, key)
}

// maxKeyBytes bounds an idempotency key.
const maxKeyBytes = 255

func notVisible(r rune) bool { return r < 0x20 || r > 0x7e }

// receive reads the head of the body. A caller that sends it slower than the branch's deadline is cut off.
func (e *Entry) receive(c echo.Context, branch *settings.Effective) (*Body, error) {
	rc := http.NewResponseController(c.Response().Writer)
	bounded := branch.Class != settings.ClassStream && rc.SetReadDeadline(time.Now().Add(branch.Deadline)) == nil
	body, err := newBody(c.Request().Body, c.Request().ContentLength, branch.BodyLimit, &e.buffers)
	if bounded && err == nil {
		rc.SetReadDeadline(time.Time{}) //nolint:errcheck // a closed connection fails at its next use
	}
	return body, err
}

// closeAfterReply closes the connection with the answer. Otherwise net/http reads the rest of the body before it answers,
// and a caller that sends nothing more would hold the connection and never see the answer.
func closeAfterReply(c echo.Context) {
	if c.Request().ProtoMajor == 1 {
		c.Response().Header().Set(echo.HeaderConnection, "close")
	}
}

// callerHeader drops what a caller must not set and what belongs to one hop.
func callerHeader(h http.Header) http.Header {
	out := http.Header{}
	for name, values := range h {
		if strings.HasPrefix(name, "Bf-") || name == "Connection" || name == "Upgrade" || name == "Transfer-Encoding" || name == "Keep-Alive" || name == "Te" {
			continue
		}
		out[name] = values
	}
	return out
}

func (e *Entry) answer(c echo.Context, req *Request, key string) error {
	ctx, cancel := e.requestContext(c.Request().Context(), req)
	defer cancel()
	started := time.Now()
	permit, refusal := e.limiter.Admit(req.Branch, req.Caller, started)
	if refusal != nil {
		return e.shed(c, req, refusal)
	}
	out := &Answer{Waited: waitUnknown}
	defer func() { permit.Done(out.Waited, out.Overload, time.Now()) }()
	if req.Branch.Idempotent {
		out = e.Send(ctx, req)
	} else {
		out = e.SendKeyed(ctx, req, key)
	}
	e.metrics.Counter("entry_outcome_" + string(out.Outcome)).Inc(1)
	e.decisions.add(decisionRecord{id: req.ID, branch: req.Branch.Branch, outcome: out.Outcome, reason: out.Reason})
	c.Response().Header().Set(wire.HeaderEntry, e.ID)
	if out.Response == nil {
		return problem(c, out.Status, out.Outcome, req.ID, out.Reason)
	}
	err := passOn(c, req, out)
	out.Close(err != nil)
	if err != nil {
		events.AnswerCut.Log(&e.log).Str("request", req.ID).Err(err).Send()
		panic(http.ErrAbortHandler) // the caller must see that the answer is cut off
	}
	e.metrics.Histogram("entry_latency_us").Update(time.Since(started).Microseconds())
	return nil
}

// requestContext ends at the request's deadline. Streams have none; they end when the entry leaves.
func (e *Entry) requestContext(parent context.Context, req *Request) (context.Context, context.CancelFunc) {
	if req.Branch.Class == settings.ClassStream {
		return e.streamContext(parent)
	}
	return context.WithDeadline(parent, req.Deadline)
}

// callerWriteTimeout bounds one write to a caller that does not read.
const callerWriteTimeout = 30 * time.Second

// deadlineWriter gives each write to a caller its own deadline.
type deadlineWriter struct {
	http.ResponseWriter
	rc *http.ResponseController
}

// Write implements io.Writer.
func (w *deadlineWriter) Write(p []byte) (int, error) {
	if err := w.rc.SetWriteDeadline(time.Now().Add(callerWriteTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return 0, err
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *deadlineWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func passOn(c echo.Context, req *Request, out *Answer) error {
	h := c.Response().Header()
	for name, values := range out.Response.Header {
		if !strings.HasPrefix(name, "Bf-") || name == "Bf-Replayed" || name == "Bf-Body" {
			h[name] = values
		}
	}
	h.Set(wire.HeaderRequestID, req.ID)
	h.Set(wire.HeaderOutcome, string(out.Outcome))
	c.Response().WriteHeader(out.Response.StatusCode)
	w := &deadlineWriter{ResponseWriter: c.Response().Writer, rc: http.NewResponseController(c.Response().Writer)}
	defer w.rc.SetWriteDeadline(time.Time{}) //nolint:errcheck // a closed connection fails at its next use
	return wire.CopyBody(w, out.Response)
}

// JobRequest is the body of a job submission. Durations are in milliseconds.
type JobRequest struct {
	Branch     string           `json:"branch"`
	Tasks      int              `json:"tasks"`
	Need       worker.Resources `json:"need"`
	RunMs      int64            `json:"run_ms"`
	DeadlineMs int64            `json:"deadline_ms,omitempty"`
	Gang       bool             `json:"gang,omitempty"`
	Payload    []byte           `json:"payload,omitempty"`
}

// Limits of a submission.
const (
	maxJobTasks = 1000
	maxJobBody  = 256 << 10 // bytes
)

func (r JobRequest) check(live *settings.Snapshot) (*settings.Effective, string) {
	branch, ok := live.Branch(r.Branch)
	switch {
	case !ok:
		return nil, "unknown branch " + strconv.Quote(r.Branch)
	case branch.Class != settings.ClassBatch:
		return nil, "branch " + strconv.Quote(r.Branch) + " does not take batch work"
	case r.Tasks < 1 || r.Tasks > maxJobTasks:
		return nil, "tasks must be 1 to " + strconv.Itoa(maxJobTasks)
	case r.Need.Cores <= 0 || r.Need.MemoryMB < 0 || r.Need.Accelerators < 0:
		return nil, "need.cores must be positive, the others not negative"
	case r.RunMs < 1:
		return nil, "run_ms must be positive"
	}
	return branch, ""
}

// DecodeJob reads a submission. On an error the status is 400, or 413 beyond maxJobBody.
func DecodeJob(r io.Reader) (in JobRequest, status int, err error) {
	data, err := io.ReadAll(io.LimitReader(r, maxJobBody+1))
	if err != nil {
		return in, http.StatusBadRequest, err
	}
	if len(data) > maxJobBody {
		return in, http.StatusRequestEntityTooLarge, errJobTooLarge
	}
	if err := json.Unmarshal(data, &in); err != nil {
		return in, http.StatusBadRequest, err
	}
	return in, http.StatusOK, nil
}

var errJobTooLarge = errors.New("more than " + strconv.Itoa(maxJobBody) + " bytes")

func (e *Entry) handleSubmit(c echo.Context) error {
	id := NewID()
	in, status, err := DecodeJob(c.Request().Body)
	if err != nil {
		return problem(c, status, wire.OutcomeNotRun, id, "malformed job: "+err.Error())
	}
	branch, fault := in.check(e.live.Current())
	if fault != "" {
		return problem(c, http.StatusBadRequest, wire.OutcomeNotRun, id, fault)
	}
	key := c.Request().Header.Get(wire.HeaderKey)
	if !branch.Idempotent && key == "" {
		return problem(c, http.StatusBadRequest, wire.OutcomeNotRun, id, "the branch is not idempotent; send an Idempotency-Key")
	}
	if key != "" {
		key = branch.Branch + "\x00" + key
	}
	res := e.Submit(c.Request().Context(), newJob(id, key, branch, in))
	switch res.Code {
	case wire.CodeOK:
		return c.JSON(http.StatusAccepted, map[string]string{"id": res.JobID})
	case wire.CodeNoStore, wire.CodeNotOwner:
		return problem(c, http.StatusServiceUnavailable, wire.OutcomeNotRun, id, "not accepted: "+res.Reason)
	}
	return problem(c, http.StatusGatewayTimeout, wire.OutcomeUnknown, id, "not known whether it was accepted; repeat with the same Idempotency-Key")
}

func newJob(id, key string, branch *settings.Effective, in JobRequest) ledger.Job {
	tasks := make([]ledger.Task, in.Tasks)
	for i := range tasks {
		tasks[i].State = ledger.TaskPending
	}
	return ledger.Job{
		ID: id, Key: key, Branch: branch.Branch, Team: branch.Team, Kind: branch.Kind, Idempotent: branch.Idempotent,
		Need: in.Need, Run: time.Duration(in.RunMs) * time.Millisecond, Deadline: jobDeadline(time.Duration(in.DeadlineMs) * time.Millisecond),
		Priority: branch.Priority, Gang: in.Gang, Payload: in.Payload, Hold: branch.Hold, Submitted: time.Now(), Tasks: tasks,
	}
}

// JobView is a job as callers see it.
type JobView struct {
	ledger.Job
	Explain []string `json:"explain,omitempty"`
}

func (e *Entry) handleJob(c echo.Context) error {
	waitMs, err := strconv.ParseInt(c.QueryParam("wait_ms"), 10, 64)
	if c.QueryParam("wait_ms") != "" && (err != nil || waitMs < 0) {
		return problem(c, http.StatusBadRequest, wire.OutcomeNotRun, "", "wait_ms must be a number of milliseconds")
	}
	res := e.WaitJob(c.Request().Context(), c.Param("id"), time.Duration(waitMs)*time.Millisecond)
	if res.Code != wire.CodeOK {
		return jobProblem(c, res)
	}
	return c.JSON(http.StatusOK, JobView{Job: res.Job, Explain: res.Explain})
}

func jobProblem(c echo.Context, res JobResult) error {
	switch res.Code {
	case wire.CodeUnknown:
		return problem(c, http.StatusNotFound, "", "", "unknown job")
	case wire.CodeStale:
		return problem(c, http.StatusConflict, "", "", "the job has ended or is cancelled already")
	case wire.CodeNoStore, wire.CodeNotOwner:
		return problem(c, http.StatusServiceUnavailable, wire.OutcomeNotRun, "", "no owner answers: "+res.Reason)
	}
	return problem(c, http.StatusGatewayTimeout, wire.OutcomeUnknown, "", res.Reason)
}

// listLimit is the number of jobs in a listing.
const listLimit = 200

func (e *Entry) handleJobs(c echo.Context) error {
	jobs, missing := e.Jobs(c.Request().Context(), listLimit)
	return c.JSON(http.StatusOK, map[string]any{"jobs": jobs, "partitions_missing": missing})
}

func (e *Entry) handleCancel(c echo.Context) error {
	res := e.Cancel(c.Request().Context(), c.Param("id"))
	if res.Code != wire.CodeOK {
		return jobProblem(c, res)
	}
	return c.NoContent(http.StatusNoContent)
}
