package dev_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bamboofork/internal/dev"
)

const (
	scanPath  = "/v1/run/workshop/foot-scan/fitting-desk/-/scan"
	orderPath = "/v1/run/workshop/moulding-orders/-/order"
	watchPath = "/v1/run/workshop/liner-heating/-/stream"
)

// smallFleet starts a fleet of two entries and three agents behind relays.
func smallFleet(t *testing.T) *dev.Fleet {
	p, err := dev.Workshop()
	qt.Assert(t, err, qt.IsNil)
	p.Entries, p.Agents, p.UseRelays, p.RelaySeed = 2, 3, true, 1
	p.Service = 2 * time.Millisecond
	p.Tree.Branches["workshop/foot-scan"]["deadline"] = "20s"
	p.Tree.Branches["workshop/moulding-orders"]["deadline"] = "20s"
	f, err := dev.Start(p, zerolog.Nop())
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	qt.Assert(t, f.WaitReady(ctx), qt.IsNil)
	return f
}

type answer struct {
	status  int
	outcome string
	header  http.Header
	body    []byte
	err     error
}

func call(method, url, key string, body io.Reader) answer {
	req, err := http.NewRequest(method, url, body)
	if err != nil {
		return answer{err: err}
	}
	req.GetBody = nil
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header.Get("Bf-Outcome"), resp.Header, data, err}
}

func post(url, key, body string) answer {
	return call(http.MethodPost, url, key, bytes.NewReader([]byte(body)))
}

// runsOfKey returns how often the key ran on all backend servers.
func runsOfKey(f *dev.Fleet, key string) int {
	n := 0
	for i := range f.Profile.Agents {
		n += f.Agent(i).Backend.Runs()[key]
	}
	return n
}

// checkProblem checks that the response is a problem document (RFC 9457) with the status and the outcome.
func checkProblem(t *testing.T, a answer, status int, outcome string) {
	t.Helper()
	qt.Assert(t, a.err, qt.IsNil)
	qt.Check(t, a.status, qt.Equals, status, qt.Commentf("%s", a.body))
	qt.Check(t, a.outcome, qt.Equals, outcome)
	var p struct {
		Title  string
		Status int
	}
	qt.Check(t, json.Unmarshal(a.body, &p), qt.IsNil, qt.Commentf("%q", a.body))
	qt.Check(t, p.Status, qt.Equals, status)
	qt.Check(t, a.header.Get("Content-Type"), qt.Equals, "application/problem+json")
}
