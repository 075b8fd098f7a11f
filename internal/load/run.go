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
	Duration    time.Duration // duration of the measured period, in which arrivals are counted
	Warmup      time.Duration // duration of the period before, in which arrivals are not counted
	Seed        uint64
	MaxInFlight int       // maximum number of requests in flight; arrivals beyond it count as failed, default 6000
	Progress    io.Writer // receives a line each second; nil: none
}

// defaultMaxInFlight is the default maximum number of requests in flight. It keeps a run with an in-process fleet under a limit of
// 20,000 open files, because each request may hold one connection at the caller, the entry and the agent.
const defaultMaxInFlight = 6000

// maxIdleConnsPerEntry is the number of idle connections kept for each entry, so that a burst needs few new connections.
const maxIdleConnsPerEntry = 2048

// runner holds the state of a run in progress.
type runner struct {
	cfg             Config
	client          *http.Client
	measureFrom     time.Time // start of the measured period; earlier arrivals are not counted
	inFlightCount   atomic.Int64
	sentCount       atomic.Int64
	doneCount       atomic.Int64
	recorders       []*recorder
	allRecorder     *recorder      // all classes together, except floods and streams
	pendingRequests sync.WaitGroup // requests in flight
}

// Run generates the load and returns the result when every request has an outcome. If ctx is done before that, Run returns early
// with the result so far and the error of ctx.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	if len(cfg.URLs) == 0 || len(cfg.Classes) == 0 || len(cfg.Classes) > maxClasses {
		return nil, fmt.Errorf("a run needs URLs and 1 to %d classes", maxClasses)
	}
	if cfg.MaxInFlight == 0 {
		cfg.MaxInFlight = defaultMaxInFlight
	}
	transport := &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: maxIdleConnsPerEntry, DisableCompression: true}
	defer transport.CloseIdleConnections()
	r := &runner{cfg: cfg, client: &http.Client{Transport: transport}, measureFrom: time.Now().Add(cfg.Warmup)}
	for _, c := range cfg.Classes {
		if err := c.validate(); err != nil {
			return nil, err
		}
		r.recorders = append(r.recorders, newRecorder(c))
	}
	r.allRecorder = newRecorder(Class{Name: "all"})
	r.runAll(ctx)
	return r.result(), ctx.Err()
}

func (r *runner) runAll(ctx context.Context) {
	progressCtx, stop := context.WithCancel(ctx)
	defer stop()
	go r.reportProgress(progressCtx)
	var arrivals sync.WaitGroup
	for i := range r.recorders {
		arrivals.Go(func() { r.issueArrivals(ctx, i) })
	}
	arrivals.Wait()
	r.pendingRequests.Wait()
}

// issueArrivals issues the requests of one class at the arrival times of a Poisson process. The latency of a request that is
// issued late is still measured from its scheduled time.
func (r *runner) issueArrivals(ctx context.Context, classIndex int) {
	c := &r.cfg.Classes[classIndex]
	rng := rand.New(rand.NewPCG(r.cfg.Seed, uint64(classIndex)))
	scheduledAt := r.measureFrom.Add(-r.cfg.Warmup)
	endAt := r.measureFrom.Add(r.cfg.Duration)
	urls := r.cfg.URLs
	if len(c.DirectURLs) > 0 {
		urls = c.DirectURLs
	}
	for n := 0; ; n++ {
		scheduledAt = scheduledAt.Add(time.Duration(rng.ExpFloat64() / c.Rate * float64(time.Second)))
		if scheduledAt.After(endAt) || ctx.Err() != nil {
			return
		}
		req := &request{
			class: c, id: fmt.Sprintf("%s-%d-%d", c.Name, r.cfg.Seed, n), scheduledAt: scheduledAt,
			callerAddr: c.callerAddress(classIndex, rng.IntN(c.CallerCount)), serviceMs: c.drawServiceMs(rng), baseURL: urls[rng.IntN(len(urls))],
		}
		time.Sleep(time.Until(scheduledAt))
		r.issueRequest(ctx, req, r.recorders[classIndex])
	}
}

func (r *runner) issueRequest(ctx context.Context, req *request, rec *recorder) {
	r.sentCount.Add(1)
	if r.inFlightCount.Add(1) > int64(r.cfg.MaxInFlight) {
		r.inFlightCount.Add(-1)
		r.record(req, rec, Failed, "too many requests in flight in the load generator")
		return
	}
	r.pendingRequests.Go(func() {
		defer r.inFlightCount.Add(-1)
		outcome, detail := r.send(ctx, req)
		if outcome == Done {
			r.doneCount.Add(1)
		}
		r.record(req, rec, outcome, detail)
	})
}

func (r *runner) record(req *request, rec *recorder, outcome Outcome, detail string) {
	latency := time.Since(req.scheduledAt)
	if req.scheduledAt.Before(r.measureFrom) {
		return
	}
	rec.record(latency, outcome, detail)
	if !req.class.IsFlood && req.class.Kind != KindStream {
		r.allRecorder.record(latency, outcome, detail)
	}
}

func (r *runner) send(ctx context.Context, req *request) (Outcome, string) {
	ctx, cancel := context.WithTimeout(ctx, req.class.requestTimeout()+req.class.StreamDuration)
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
	return req.checkResponse(resp)
}

// reportProgress writes a line with the rates of sent and done requests each second until ctx is done.
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
		sent, done := r.sentCount.Load(), r.doneCount.Load()
		fmt.Fprintf(r.cfg.Progress, "%s: %5.0fs  %6d sent/s  %6d done/s  %5d in flight\n", r.cfg.Name,
			time.Since(r.measureFrom).Seconds(), sent-lastSent, done-lastDone, r.inFlightCount.Load())
		lastSent, lastDone = sent, done
	}
}
