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
	Name     string
	URLs     []string // base URLs of entries; requests take them in turn
	Classes  []Class
	Duration time.Duration // of arrivals that count
	Warmup   time.Duration // of arrivals before it that do not count
	Seed     uint64
	MaxOpen  int       // requests in flight; arrivals beyond it count as failed, default 6000
	Progress io.Writer // a line each second; nil: none
}

// defaultMaxOpen keeps a run with an in-process fleet under a limit of 20,000 open files: each request may hold one
// connection at the caller, the entry and the agent.
const defaultMaxOpen = 6000

// idleConns is the number of idle connections kept for each entry, so that a burst does not dial anew.
const idleConns = 2048

// runner is a run in progress.
type runner struct {
	cfg     Config
	client  *http.Client
	start   time.Time // of the arrivals that count
	open    atomic.Int64
	sent    atomic.Int64
	done    atomic.Int64
	classes []*recorder
	all     *recorder // every class without Flood and without a stream
	flying  sync.WaitGroup
}

// Run offers the load and returns when every request has its outcome. It stops early when ctx ends.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	if len(cfg.URLs) == 0 || len(cfg.Classes) == 0 || len(cfg.Classes) > maxClasses {
		return nil, fmt.Errorf("a run needs URLs and 1 to %d classes", maxClasses)
	}
	if cfg.MaxOpen == 0 {
		cfg.MaxOpen = defaultMaxOpen
	}
	transport := &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: idleConns, DisableCompression: true}
	defer transport.CloseIdleConnections()
	r := &runner{cfg: cfg, client: &http.Client{Transport: transport}, start: time.Now().Add(cfg.Warmup)}
	for _, c := range cfg.Classes {
		if err := c.check(); err != nil {
			return nil, err
		}
		r.classes = append(r.classes, newRecorder(c))
	}
	r.all = newRecorder(Class{Name: "all"})
	r.runAll(ctx)
	return r.result(), ctx.Err()
}

func (r *runner) runAll(ctx context.Context) {
	progress, stop := context.WithCancel(ctx)
	defer stop()
	go r.progress(progress)
	var arrivals sync.WaitGroup
	for i := range r.classes {
		arrivals.Go(func() { r.arrivals(ctx, i) })
	}
	arrivals.Wait()
	r.flying.Wait()
}

// arrivals issues the requests of one class at times drawn from a Poisson process. A late request is sent at once and
// keeps the time at which it was due.
func (r *runner) arrivals(ctx context.Context, index int) {
	c := &r.cfg.Classes[index]
	rnd := rand.New(rand.NewPCG(r.cfg.Seed, uint64(index)))
	due := r.start.Add(-r.cfg.Warmup)
	end := r.start.Add(r.cfg.Duration)
	urls := r.cfg.URLs
	if len(c.Direct) > 0 {
		urls = c.Direct
	}
	for n := 0; ; n++ {
		due = due.Add(time.Duration(rnd.ExpFloat64() / c.Rate * float64(time.Second)))
		if due.After(end) || ctx.Err() != nil {
			return
		}
		s := &shot{
			class: c, mark: fmt.Sprintf("%s-%d-%d", c.Name, r.cfg.Seed, n), due: due,
			caller: c.address(index, rnd.IntN(c.Callers)), ms: c.serviceTime(rnd), url: urls[rnd.IntN(len(urls))],
		}
		time.Sleep(time.Until(due))
		r.launch(ctx, s, r.classes[index])
	}
}

func (r *runner) launch(ctx context.Context, s *shot, rec *recorder) {
	r.sent.Add(1)
	if r.open.Add(1) > int64(r.cfg.MaxOpen) {
		r.open.Add(-1)
		r.record(s, rec, Failed, "too many requests in flight in the load generator")
		return
	}
	r.flying.Go(func() {
		defer r.open.Add(-1)
		v, detail := r.send(ctx, s)
		if v == Done {
			r.done.Add(1)
		}
		r.record(s, rec, v, detail)
	})
}

func (r *runner) record(s *shot, rec *recorder, v Verdict, detail string) {
	took := time.Since(s.due)
	if s.due.Before(r.start) {
		return
	}
	rec.record(took, v, detail)
	if !s.class.Flood && s.class.Kind != KindStream {
		r.all.record(took, v, detail)
	}
}

func (r *runner) send(ctx context.Context, s *shot) (Verdict, string) {
	ctx, cancel := context.WithTimeout(ctx, s.class.patience()+s.class.Hold)
	defer cancel()
	req, err := s.request(ctx)
	if err != nil {
		return Failed, err.Error()
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return Failed, "no answer"
	}
	defer resp.Body.Close()
	return s.judge(resp)
}

// progress writes a line each second until ctx ends.
func (r *runner) progress(ctx context.Context) {
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
		fmt.Fprintf(r.cfg.Progress, "%s: %5.0fs  %6d sent/s  %6d done/s  %5d open\n", r.cfg.Name,
			time.Since(r.start).Seconds(), sent-lastSent, done-lastDone, r.open.Load())
		lastSent, lastDone = sent, done
	}
}
