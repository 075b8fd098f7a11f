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

// Outcome is how a request ended, as its caller sees it.
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

// request is a request to send at its scheduled time.
type request struct {
	class     *Class
	id        string  // unique; the response must repeat it
	caller    string  // IP address
	serviceMs float64 // 0: the server's default
	url       string
	due       time.Time // scheduled arrival
}

func (r *request) httpRequest(ctx context.Context) (*http.Request, error) {
	method, url, body := http.MethodPost, r.target(), r.body()
	if r.class.Kind == KindStream {
		method, body = http.MethodGet, nil
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("X-Forwarded-For", r.caller)
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

func (r *request) target() string {
	if r.class.Kind == KindJob {
		return r.url + "/v1/jobs"
	}
	path := r.path()
	if len(r.class.DirectURLs) == 0 {
		path = "/v1/run/" + r.class.Branch + "/-" + path
	}
	if r.serviceMs > 0 {
		path += "?ms=" + strconv.FormatFloat(r.serviceMs, 'f', 3, 64)
	}
	return r.url + path
}

func (r *request) body() []byte {
	if r.class.Kind == KindJob {
		return fmt.Appendf(nil, `{"branch":%q,"tasks":1,"need":{"cores":0.1,"memory_mb":64},"run_ms":200}`, r.class.Branch)
	}
	body := make([]byte, max(r.class.Body, len(r.id)))
	copy(body, r.id)
	for i := len(r.id); i < len(body); i++ {
		body[i] = 'x'
	}
	return body
}

// check reads a response to its end and compares it with the request. detail is the reason if the outcome is not Done.
func (r *request) check(resp *http.Response) (outcome Outcome, detail string) {
	if r.class.Kind == KindStream && resp.StatusCode == http.StatusOK {
		return r.checkStream(resp)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Failed, "answer cut off"
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusAccepted:
		return r.checkBody(resp.StatusCode, body)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return checkRefusal(resp, body)
	case http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusConflict:
		return Unknown, strconv.Itoa(resp.StatusCode) + " " + reasonOf(body)
	}
	return Wrong, "status " + resp.Status
}

func (r *request) checkBody(status int, body []byte) (Outcome, string) {
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

// checkRefusal requires that a refusal says that the request was not run, why not, and when to retry.
func checkRefusal(resp *http.Response, body []byte) (Outcome, string) {
	detail := reasonOf(body)
	if resp.Header.Get(wire.HeaderOutcome) != string(wire.OutcomeNotRun) || resp.Header.Get("Retry-After") == "" || detail == "" {
		return Wrong, "refusal without outcome, reason or Retry-After"
	}
	return Refused, detail
}

// maxReasonBytes bounds the part of a reason that results keep, so that reasons which go on to name a request are counted together.
const maxReasonBytes = 48

// reasonOf returns the detail of a problem response.
func reasonOf(body []byte) string {
	var p struct {
		Detail string `json:"detail"`
	}
	if json.Unmarshal(body, &p) != nil {
		return ""
	}
	return p.Detail[:min(maxReasonBytes, len(p.Detail))]
}

// checkStream reads numbered lines for the class's StreamDuration; none may be missing.
func (r *request) checkStream(resp *http.Response) (Outcome, string) {
	end := time.Now().Add(r.class.StreamDuration)
	lines := bufio.NewScanner(resp.Body)
	for n := 0; time.Now().Before(end); n++ {
		if !lines.Scan() {
			return Failed, "stream cut off"
		}
		if !strings.HasSuffix(lines.Text(), fmt.Sprintf(" line %d", n)) {
			return Wrong, "stream with a gap"
		}
	}
	return Done, ""
}
