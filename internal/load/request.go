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

// Verdict is what a caller knows after a request.
type Verdict int

// Verdicts.
const (
	Done    Verdict = iota // complete answer to this request
	Refused                // not run, with the reason and a Retry-After
	Unknown                // the system says that the outcome is not known
	Failed                 // no answer: broken connection or patience at its end
	Wrong                  // an answer that does not fit the request; must never happen
	verdicts
)

var verdictNames = [verdicts]string{"done", "refused", "unknown", "failed", "wrong"}

// shot is one request that is due.
type shot struct {
	class  *Class
	mark   string // unique; the answer must repeat it
	caller string // address
	ms     float64
	url    string
	due    time.Time
}

func (s *shot) request(ctx context.Context) (*http.Request, error) {
	method, url, body := http.MethodPost, s.target(), s.body()
	if s.class.Kind == KindStream {
		method, body = http.MethodGet, nil
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("X-Forwarded-For", s.caller)
	switch s.class.Kind {
	case KindKeyed:
		req.Header.Set(wire.HeaderKey, s.mark)
	case KindJob:
		req.Header.Set(wire.HeaderKey, s.mark)
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

func (s *shot) path() string {
	if s.class.Kind == KindStream {
		return "/stream"
	}
	return "/" + s.mark
}

func (s *shot) target() string {
	if s.class.Kind == KindJob {
		return s.url + "/v1/jobs"
	}
	path := s.path()
	if len(s.class.Direct) == 0 {
		path = "/v1/run/" + s.class.Branch + "/-" + path
	}
	if s.ms > 0 {
		path += "?ms=" + strconv.FormatFloat(s.ms, 'f', 3, 64)
	}
	return s.url + path
}

func (s *shot) body() []byte {
	if s.class.Kind == KindJob {
		return fmt.Appendf(nil, `{"branch":%q,"tasks":1,"need":{"cores":0.1,"memory_mb":64},"run_ms":200}`, s.class.Branch)
	}
	body := make([]byte, max(s.class.Body, len(s.mark)))
	copy(body, s.mark)
	for i := len(s.mark); i < len(body); i++ {
		body[i] = 'x'
	}
	return body
}

// judge reads an answer to its end and compares it with the request. detail explains what is not Done.
func (s *shot) judge(resp *http.Response) (v Verdict, detail string) {
	if s.class.Kind == KindStream && resp.StatusCode == http.StatusOK {
		return s.judgeStream(resp)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Failed, "answer cut off"
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusAccepted:
		return s.judgeBody(resp.StatusCode, body)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return judgeRefusal(resp, body)
	case http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusConflict:
		return Unknown, strconv.Itoa(resp.StatusCode) + " " + reason(body)
	}
	return Wrong, "status " + resp.Status
}

func (s *shot) judgeBody(status int, body []byte) (Verdict, string) {
	if s.class.Kind == KindJob {
		var reply struct {
			ID string `json:"id"`
		}
		if status != http.StatusAccepted || json.Unmarshal(body, &reply) != nil || reply.ID == "" {
			return Wrong, "job without an id"
		}
		return Done, ""
	}
	_, rest, _ := strings.Cut(string(body), " ") // the server's name comes first
	want := s.path() + " " + string(s.body()) + "\n"
	if rest != want {
		return Wrong, "answer of another request"
	}
	return Done, ""
}

// judgeRefusal requires that a refusal says that the request was not run, why, and when to come back.
func judgeRefusal(resp *http.Response, body []byte) (Verdict, string) {
	why := reason(body)
	if resp.Header.Get(wire.HeaderOutcome) != string(wire.OutcomeNotRun) || resp.Header.Get("Retry-After") == "" || why == "" {
		return Wrong, "refusal without outcome, reason or Retry-After"
	}
	return Refused, why
}

// maxReason bounds what is kept of a reason; details after it name single requests.
const maxReason = 48

func reason(body []byte) string {
	var p struct {
		Detail string `json:"detail"`
	}
	if json.Unmarshal(body, &p) != nil {
		return ""
	}
	return p.Detail[:min(maxReason, len(p.Detail))]
}

// judgeStream reads lines for the class's hold time; none may be missing.
func (s *shot) judgeStream(resp *http.Response) (Verdict, string) {
	ends := time.Now().Add(s.class.Hold)
	lines := bufio.NewScanner(resp.Body)
	for n := 0; time.Now().Before(ends); n++ {
		if !lines.Scan() {
			return Failed, "stream cut off"
		}
		if !strings.HasSuffix(lines.Text(), fmt.Sprintf(" line %d", n)) {
			return Wrong, "stream with a gap"
		}
	}
	return Done, ""
}
