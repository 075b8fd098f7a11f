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

// startSmallFleet starts a small fleet behind relays and waits until the fleet is ready.
func startSmallFleet(t *testing.T) *dev.Fleet {
	p := smallProfile(t)
	p.UseRelays, p.RelaySeed = true, 1
	return startReadyFleet(t, p)
}

// smallProfile returns the profile of a fleet of two entries and three agents.
func smallProfile(t *testing.T) dev.Profile {
	p, err := dev.Workshop()
	qt.Assert(t, err, qt.IsNil)
	p.Entries, p.Agents = 2, 3
	p.ServiceTime = 2 * time.Millisecond
	p.InitialSettings.Branches["workshop/foot-scan"]["deadline"] = "20s"
	p.InitialSettings.Branches["workshop/moulding-orders"]["deadline"] = "20s"
	return p
}

func startReadyFleet(t *testing.T, p dev.Profile) *dev.Fleet {
	f, err := dev.Start(p, zerolog.Nop())
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	qt.Assert(t, f.WaitReady(ctx), qt.IsNil)
	return f
}

type response struct {
	status  int
	outcome string
	header  http.Header
	body    []byte
	err     error
}

func call(method, url, key string, body io.Reader) response {
	return callWith(http.DefaultClient, method, url, key, body)
}

func callWith(client *http.Client, method, url, key string, body io.Reader) response {
	req, err := http.NewRequest(method, url, body)
	if err != nil {
		return response{err: err}
	}
	req.GetBody = nil
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header.Get("Bf-Outcome"), resp.Header, data, err}
}

func post(url, key, body string) response {
	return call(http.MethodPost, url, key, bytes.NewReader([]byte(body)))
}

// runsOfKey returns how often the request with the key ran, summed over all backend servers.
func runsOfKey(f *dev.Fleet, key string) int {
	n := 0
	for i := range f.Profile.Agents {
		n += f.Agent(i).Backend.RunsByKey()[key]
	}
	return n
}

// checkProblem checks that the response is a problem document (RFC 9457) with the status and the outcome.
func checkProblem(t *testing.T, resp response, status int, outcome string) {
	t.Helper()
	qt.Assert(t, resp.err, qt.IsNil)
	qt.Check(t, resp.status, qt.Equals, status, qt.Commentf("%s", resp.body))
	qt.Check(t, resp.outcome, qt.Equals, outcome)
	var p struct {
		Title  string
		Status int
	}
	qt.Check(t, json.Unmarshal(resp.body, &p), qt.IsNil, qt.Commentf("%q", resp.body))
	qt.Check(t, p.Status, qt.Equals, status)
	qt.Check(t, resp.header.Get("Content-Type"), qt.Equals, "application/problem+json")
}
