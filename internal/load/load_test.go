package load_test

import (
	"bytes"
	"context"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/dev"
	"bamboofork/internal/load"
)

// echoServer starts a server that responds like a sample backend server behind an entry, and returns the server's base URL.
// The function override, if not nil, is called with the number n of each request, counted from 1. If override returns true, it
// has written the response.
func echoServer(t *testing.T, override func(n int64, w http.ResponseWriter, body string) bool) string {
	var requestCount atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || override != nil && override(requestCount.Add(1), w, string(body)) {
			return
		}
		_, path, _ := strings.Cut(r.URL.Path, "/-")
		fmt.Fprintf(w, "server %s %s\n", path, body)
	}))
	t.Cleanup(s.Close)
	return s.URL
}

func singleClassConfig(url string, rate float64, d time.Duration) load.Config {
	return load.Config{Name: "test", URLs: []string{url}, Duration: d, Seed: 1, Classes: []load.Class{
		{Name: "c", Kind: load.KindQuick, Branch: "b", Rate: rate, CallerCount: 4, BodyBytes: 64},
	}}
}

// Guards against the response to another request being counted as done. Also guards against a response with status 503 being
// counted as refused although it does not say that the request was not run.
func TestResponsesAreCheckedAgainstRequests(t *testing.T) {
	url := echoServer(t, func(n int64, w http.ResponseWriter, body string) bool {
		switch n % 4 {
		case 0:
			fmt.Fprintf(w, "server /x %s\n", body)
			return true
		case 1:
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		case 2:
			w.Header().Set("Bf-Outcome", "not_run")
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprint(w, `{"detail":"full"}`)
			return true
		}
		return false
	})
	r, err := load.Run(context.Background(), singleClassConfig(url, 400, time.Second))
	qt.Assert(t, err, qt.IsNil)
	c := r.Classes[0]
	qt.Check(t, c.Arrived >= 300, qt.IsTrue)
	for outcome, divisor := range map[string]int64{"done": 4, "refused": 4, "wrong": 2} {
		got, want := c.CountByOutcome[outcome], c.Arrived/divisor
		qt.Check(t, got >= want-2 && got <= want+2, qt.IsTrue, qt.Commentf("%d of %d %s", got, c.Arrived, outcome))
	}
}

// Guards against coordinated omission. A stall of the server must raise the measured latency of all requests that are scheduled
// during the stall, although the server responds to each of them at once after the stall.
func TestStallRaisesTailLatency(t *testing.T) {
	const stallDuration = 500 * time.Millisecond
	var stallEndNs atomic.Int64
	url := echoServer(t, func(n int64, _ http.ResponseWriter, _ string) bool {
		if n == 100 {
			stallEndNs.Store(time.Now().Add(stallDuration).UnixNano())
		}
		time.Sleep(time.Duration(stallEndNs.Load() - time.Now().UnixNano()))
		return false
	})
	cfg := singleClassConfig(url, 400, time.Second)
	cfg.MaxInFlight = 1000
	r, err := load.Run(context.Background(), cfg)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, r.All.LatencyAt(75) > stallDuration/4, qt.IsTrue, qt.Commentf("p75 %s", r.All.LatencyAt(75)))
	qt.Check(t, r.All.LatencyAt(100) > stallDuration*8/10, qt.IsTrue, qt.Commentf("max %s", r.All.LatencyAt(100)))
}

// Guards against a result that changes when it is written to a file and read again. Also guards against a plot that is not
// well-formed XML.
func TestResultFileRoundTripAndPlotXML(t *testing.T) {
	r, err := load.Run(context.Background(), singleClassConfig(echoServer(t, nil), 200, 200*time.Millisecond))
	qt.Assert(t, err, qt.IsNil)
	file := filepath.Join(t.TempDir(), "r.json")
	qt.Assert(t, r.Write(file), qt.IsNil)
	resultRead, err := load.Read(file)
	qt.Assert(t, err, qt.IsNil)
	var b bytes.Buffer
	qt.Assert(t, load.Compare(&b, r, resultRead), qt.IsNil)
	qt.Check(t, b.String(), qt.Contains, "1.000")
	b.Reset()
	qt.Assert(t, load.Plot(&b, "a < b", r, resultRead), qt.IsNil)
	d := xml.NewDecoder(&b)
	for err == nil {
		_, err = d.Token()
	}
	qt.Check(t, errors.Is(err, io.EOF), qt.IsTrue, qt.Commentf("%v", err))
}

// Guards against mixes that name branches which the example settings trees do not have.
func TestMixBranchesExistInExampleTrees(t *testing.T) {
	for _, name := range load.MixNames() {
		p, err := dev.ProfileByName(strings.TrimSuffix(name, "-quick"))
		qt.Assert(t, err, qt.IsNil)
		classes, err := load.Mix(name, load.FleetSize{Capacity: 100}, 1)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, load.CheckBranches(p.InitialSettings, classes), qt.IsNil)
	}
}

// Guards against a fleet that, under a mix of all kinds of requests, serves no request of a latency-critical class, returns a
// wrong response, or reports a request as done that no backend server has run. Also guards against a caller limit that is not
// enforced or that affects another caller, and against more concurrent requests at a backend server than it has slots.
func TestFleetRespondsCorrectlyUnderMix(t *testing.T) {
	cfg := load.FleetConfig{Profile: "workshop", AgentCount: 4, SlotsPerAgent: 4, MeanService: 20 * time.Millisecond}
	f, err := cfg.Start(context.Background())
	qt.Assert(t, err, qt.IsNil)
	classes, err := load.Mix("workshop", load.SizeOf(f), 0.2)
	qt.Assert(t, err, qt.IsNil)
	r, err := load.Run(context.Background(), load.Config{Name: "mix", URLs: load.EntryURLs(f), Classes: classes, Duration: 2 * time.Second, Seed: 1})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, r.WrongCount(), qt.Equals, int64(0))
	servedCount := int64(0)
	for _, h := range f.Agents {
		servedCount += h.Backend.Served()
	}
	doneCount := int64(0)
	for _, c := range r.Classes {
		switch c.Class.Kind {
		case load.KindQuick:
			qt.Check(t, c.CountByOutcome["done"] > 0, qt.IsTrue, qt.Commentf("%s: %v", c.Class.Name, c.CountByReason))
			doneCount += c.CountByOutcome["done"]
		case load.KindKeyed: // refused until its partition has an owner
			doneCount += c.CountByOutcome["done"]
		}
	}
	qt.Check(t, doneCount <= servedCount, qt.IsTrue, qt.Commentf("%d done, %d ran", doneCount, servedCount))
	checkCallerRate(t, load.EntryURLs(f)[:1])
	for _, h := range f.Agents {
		qt.Check(t, h.Backend.Overruns(), qt.Equals, int64(0))
	}
	qt.Check(t, f.Stop(), qt.IsNil)
}

// checkCallerRate sends 100 requests/s from one caller of a branch with a limit of 20 requests/s per caller. It checks that this
// caller is limited and that another caller is not. A refusal without an outcome, a reason or Retry-After would count as wrong.
// The maximum number of done requests is computed from the time that the run took.
func checkCallerRate(t *testing.T, urls []string) {
	limitedCaller := load.Class{Name: "one", Kind: load.KindQuick, Branch: "workshop/foot-scan/clients-abroad", Rate: 100, CallerCount: 1, BodyBytes: 64}
	otherCaller := limitedCaller
	otherCaller.Name, otherCaller.Rate = "other", 5
	startedAt := time.Now()
	r, err := load.Run(context.Background(), load.Config{Name: "rate", URLs: urls, Classes: []load.Class{limitedCaller, otherCaller}, Duration: 2 * time.Second, Seed: 1})
	qt.Assert(t, err, qt.IsNil)
	maxDone := 21 + int64(20*time.Since(startedAt).Seconds())
	qt.Check(t, r.WrongCount(), qt.Equals, int64(0))
	qt.Check(t, r.Classes[0].CountByOutcome["done"] <= maxDone, qt.IsTrue, qt.Commentf("%v, %d allowed", r.Classes[0].CountByOutcome,
		maxDone))
	const overRateReason = "refused: the caller is over its rate"
	qt.Check(t, r.Classes[0].Arrived <= maxDone || r.Classes[0].CountByReason[overRateReason] > 0, qt.IsTrue, qt.Commentf("%v", r.Classes[0].CountByReason))
	qt.Check(t, r.Classes[1].CountByReason[overRateReason], qt.Equals, int64(0))
}
