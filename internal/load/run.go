package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Config describes a run.
type Config struct {
	Name        string
	URLs        []string // base URLs of entries; each request picks one at random
	Classes     []Class
	Duration    time.Duration // of the arrivals that are counted
	Warmup      time.Duration // of the arrivals before those, which are not counted
	Seed        uint64
	MaxInFlight int       // maximum number of requests in flight; arrivals beyond it count as failed, default 6000
	Progress    io.Writer // receives a line each second; nil: none
}

// defaultMaxInFlight keeps a run with an in-process fleet under a limit of 20,000 open files: each request may hold one
// connection at the caller, the entry and the agent.
const defaultMaxInFlight = 6000

// maxIdleConnsPerEntry is the number of idle connections kept for each entry, so that a burst needs few new connections.
const maxIdleConnsPerEntry = 2048

// runner is a run in progress.
type runner struct {
	cfg      Config
	client   *http.Client
	start    time.Time // of the arrivals that are counted
	inFlight atomic.Int64
	sent     atomic.Int64
	done     atomic.Int64
	classes  []*recorder
	all      *recorder      // all classes together, except floods and streams
	requests sync.WaitGroup // in flight
}

// Run generates the load and returns when every request has an outcome. It stops early when ctx is done.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	if len(cfg.URLs) == 0 || len(cfg.Classes) == 0 || len(cfg.Classes) > maxClasses {
		return nil, fmt.Errorf("a run needs URLs and 1 to %d classes", maxClasses)
	}
	if cfg.MaxInFlight == 0 {
		cfg.MaxInFlight = defaultMaxInFlight
	}
	transport := &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: maxIdleConnsPerEntry, DisableCompression: true}
	defer transport.CloseIdleConnections()
	r := &runner{cfg: cfg, client: &http.Client{Transport: transport}, start: time.Now().Add(cfg.Warmup)}
	for _, c := range cfg.Classes {
		if err := c.validate(); err != nil {
			return nil, err
		}
		r.classes = append(r.classes, newRecorder(c))
	}
	r.all = newRecorder(Class{Name: "all"})
	r.runAll(ctx)
	return r.result(), ctx.Err()
}

func (r *runner) runAll(ctx context.Context) {
	progressCtx, stop := context.WithCancel(ctx)
	defer stop()
	go r.reportProgress(progressCtx)
	var arrivals sync.WaitGroup
	for i := range r.classes {
		arrivals.Go(func() { r.arrivals(ctx, i) })
	}
	arrivals.Wait()
	r.requests.Wait()
}

// arrivals issues the requests of one class at the arrival times of a Poisson process. A request that is issued late
// keeps its scheduled time, from which its latency is measured.
func (r *runner) arrivals(ctx context.Context, index int) {
	c := &r.cfg.Classes[index]
	rng := rand.New(rand.NewPCG(r.cfg.Seed, uint64(index)))
	due := r.start.Add(-r.cfg.Warmup)
	end := r.start.Add(r.cfg.Duration)
	urls := r.cfg.URLs
	if len(c.DirectURLs) > 0 {
		urls = c.DirectURLs
	}
	for n := 0; ; n++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / c.Rate * float64(time.Second)))
		if due.After(end) || ctx.Err() != nil {
			return
		}
		req := &request{
			class: c, id: fmt.Sprintf("%s-%d-%d", c.Name, r.cfg.Seed, n), due: due,
			caller: c.address(index, rng.IntN(c.Callers)), serviceMs: c.serviceTime(rng), url: urls[rng.IntN(len(urls))],
		}
		time.Sleep(time.Until(due))
		r.issue(ctx, req, r.classes[index])
	}
}

func (r *runner) issue(ctx context.Context, req *request, rec *recorder) {
	r.sent.Add(1)
	if r.inFlight.Add(1) > int64(r.cfg.MaxInFlight) {
		r.inFlight.Add(-1)
		r.record(req, rec, Failed, "too many requests in flight in the load generator")
		return
	}
	r.requests.Go(func() {
		defer r.inFlight.Add(-1)
		outcome, detail := r.send(ctx, req)
		if outcome == Done {
			r.done.Add(1)
		}
		r.record(req, rec, outcome, detail)
	})
}

func (r *runner) record(req *request, rec *recorder, outcome Outcome, detail string) {
	latency := time.Since(req.due)
	if req.due.Before(r.start) {
		return
	}
	rec.record(latency, outcome, detail)
	if !req.class.Flood && req.class.Kind != KindStream {
		r.all.record(latency, outcome, detail)
	}
}

func (r *runner) send(ctx context.Context, req *request) (Outcome, string) {
	ctx, cancel := context.WithTimeout(ctx, req.class.timeout()+req.class.StreamDuration)
	defer cancel()
	httpReq, err := req.httpRequest(ctx)
	if err != nil {
		return Failed, err.Error()
	}
	resp, err := r.client.Do(httpReq)
	if err != nil {
		return Failed, "no answer"
	}
	defer resp.Body.Close()
	return req.check(resp)
}

// reportProgress writes a line each second until ctx is done.
func (r *runner) reportProgress(ctx context.Context) {
	if r.cfg.Progress == nil {
		return
	}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	lastSent, lastDone := int64(0), int64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		sent, done := r.sent.Load(), r.done.Load()
		fmt.Fprintf(r.cfg.Progress, "%s: %5.0fs  %6d sent/s  %6d done/s  %5d in flight\n", r.cfg.Name,
			time.Since(r.start).Seconds(), sent-lastSent, done-lastDone, r.inFlight.Load())
		lastSent, lastDone = sent, done
	}
}
