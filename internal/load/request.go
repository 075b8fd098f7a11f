package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bamboofork/internal/wire"
)

// Outcome says how a request ended, as its caller sees it.
type Outcome int

// Outcomes.
const (
	Done    Outcome = iota // complete response to this request
	Refused                // not run; the response has the reason and a Retry-After
	Unknown                // the response says that the outcome is unknown
	Failed                 // no complete response: the connection broke or the timeout expired
	Wrong                  // a response that does not match the request; must never happen
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"done", "refused", "unknown", "failed", "wrong"}

// request is a request that the load generator sends at its scheduled arrival time.
type request struct {
	class       *Class
	id          string  // unique; the response must contain this ID
	callerAddr  string  // IP address
	serviceMs   float64 // 0: the server's default
	baseURL     string
	scheduledAt time.Time // scheduled arrival
}

func (r *request) httpRequest(ctx context.Context) (*http.Request, error) {
	method, url, body := http.MethodPost, r.requestURL(), r.body()
	if r.class.Kind == KindStream {
		method, body = http.MethodGet, nil
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("X-Forwarded-For", r.callerAddr)
	switch r.class.Kind {
	case KindKeyed:
		req.Header.Set(wire.HeaderKey, r.id)
	case KindJob:
		req.Header.Set(wire.HeaderKey, r.id)
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

func (r *request) path() string {
	if r.class.Kind == KindStream {
		return "/stream"
	}
	return "/" + r.id
}

func (r *request) requestURL() string {
	if r.class.Kind == KindJob {
		return r.baseURL + "/v1/jobs"
	}
	path := r.path()
	if len(r.class.DirectURLs) == 0 {
		path = "/v1/run/" + r.class.Branch + "/-" + path
	}
	if r.serviceMs > 0 {
		path += "?ms=" + strconv.FormatFloat(r.serviceMs, 'f', 3, 64)
	}
	return r.baseURL + path
}

func (r *request) body() []byte {
	if r.class.Kind == KindJob {
		return fmt.Appendf(nil, `{"branch":%q,"tasks":1,"need":{"cores":0.1,"memory_mb":64},"run_ms":200}`, r.class.Branch)
	}
	body := make([]byte, max(r.class.BodyBytes, len(r.id)))
	copy(body, r.id)
	for i := len(r.id); i < len(body); i++ {
		body[i] = 'x'
	}
	return body
}

// checkResponse reads a response to its end and compares the response with the request. If the outcome is not Done, detail is the
// reason, otherwise it is empty.
func (r *request) checkResponse(resp *http.Response) (outcome Outcome, detail string) {
	if r.class.Kind == KindStream && resp.StatusCode == http.StatusOK {
		return r.checkStream(resp)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Failed, "answer cut off"
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusAccepted:
		return r.checkSuccess(resp.StatusCode, body)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return checkRefusal(resp, body)
	case http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusConflict:
		return Unknown, strconv.Itoa(resp.StatusCode) + " " + reasonIn(body)
	}
	return Wrong, "status " + resp.Status
}

func (r *request) checkSuccess(status int, body []byte) (Outcome, string) {
	if r.class.Kind == KindJob {
		var reply struct {
			ID string `json:"id"`
		}
		if status != http.StatusAccepted || json.Unmarshal(body, &reply) != nil || reply.ID == "" {
			return Wrong, "job without an id"
		}
		return Done, ""
	}
	_, rest, _ := strings.Cut(string(body), " ") // the server's name comes first
	want := r.path() + " " + string(r.body()) + "\n"
	if rest != want {
		return Wrong, "answer of another request"
	}
	return Done, ""
}

// checkRefusal checks that a refusal says that the request was not run, for which reason, and when the caller may retry. It returns
// Refused and the reason, or Wrong if the refusal lacks one of these.
func checkRefusal(resp *http.Response, body []byte) (Outcome, string) {
	detail := reasonIn(body)
	if resp.Header.Get(wire.HeaderOutcome) != string(wire.OutcomeNotRun) || resp.Header.Get("Retry-After") == "" || detail == "" {
		return Wrong, "refusal without outcome, reason or Retry-After"
	}
	return Refused, detail
}

// maxReasonBytes is the maximum length of a reason in the results. Some reasons end with the name of a request; truncated, these
// reasons are counted together.
const maxReasonBytes = 48

// reasonIn returns the detail of a problem response, truncated to maxReasonBytes. It returns an empty string if the body is not JSON
// or has no detail.
func reasonIn(body []byte) string {
	var p struct {
		Detail string `json:"detail"`
	}
	if json.Unmarshal(body, &p) != nil {
		return ""
	}
	return p.Detail[:min(maxReasonBytes, len(p.Detail))]
}

// checkStream reads numbered lines for the class's StreamDuration. The outcome is Wrong if a line is missing, and Failed if the
// stream ends early. The string is the reason if the outcome is not Done.
func (r *request) checkStream(resp *http.Response) (Outcome, string) {
	endAt := time.Now().Add(r.class.StreamDuration)
	lines := bufio.NewScanner(resp.Body)
	for n := 0; time.Now().Before(endAt); n++ {
		if !lines.Scan() {
			return Failed, "stream cut off"
		}
		if !strings.HasSuffix(lines.Text(), fmt.Sprintf(" line %d", n)) {
			return Wrong, "stream with a gap"
		}
	}
	return Done, ""
}
