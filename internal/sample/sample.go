// Package sample is a backend server for demonstrations, load runs and tests. It
// answers quick requests after a service time that grows with the batch load on its
// host, and serves long-lived streams.
package sample

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Config configures a Server.
type Config struct {
	Name  string
	Slots int
	// Service is the service time of a quick request on an idle host.
	Service time.Duration
	// Load returns the batch cores in use on the host by kind; nil means none.
	Load func() map[string]float64
	// Interference is the growth of the service time per batch core in use, by kind.
	Interference map[string]float64
	// StreamInterval is the time between two lines of a stream.
	StreamInterval time.Duration
}

// Server is a sample backend server. It counts how often each idempotency key ran.
type Server struct {
	cfg      Config
	inflight atomic.Int64
	over     atomic.Int64
	served   atomic.Int64
	slowdown atomic.Uint64 // bits of the factor on the service time, 0: none

	mu   sync.Mutex
	runs map[string]int
}

// New returns a server.
func New(cfg Config) *Server {
	if cfg.StreamInterval == 0 {
		cfg.StreamInterval = 100 * time.Millisecond
	}
	return &Server{cfg: cfg, runs: map[string]int{}}
}

// Overruns is the number of requests that found all slots in use; it must stay 0 behind an agent.
func (s *Server) Overruns() int64 { return s.over.Load() }

// Served is the number of quick requests that ran.
func (s *Server) Served() int64 { return s.served.Load() }

// Runs returns how often each idempotency key ran.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, v := range s.runs {
		out[k] = v
	}
	return out
}

// ServeHTTP answers /stream with an endless stream, /_runs?key= with the number of runs of a key, and everything else as a quick request. The answer repeats the
// request's body, so that callers can check it. The query parameter ms overrides the service time.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/stream" {
		s.stream(w, r)
		return
	}
	if r.URL.Path == "/_runs" {
		fmt.Fprintln(w, s.Runs()[r.URL.Query().Get("key")])
		return
	}
	if s.inflight.Add(1) > int64(s.cfg.Slots) {
		s.over.Add(1)
	}
	defer s.inflight.Add(-1)
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		s.mu.Lock()
		s.runs[key]++
		s.mu.Unlock()
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(s.serviceTime(r))
	s.served.Add(1)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Bf-Request-Id", r.Header.Get("Bf-Request-Id"))
	fmt.Fprintf(w, "%s %s %s\n", s.cfg.Name, r.URL.Path, body)
}

// SetSlowdown multiplies all service times by the factor, as a noisy neighbour would.
func (s *Server) SetSlowdown(factor float64) { s.slowdown.Store(math.Float64bits(factor)) }

func (s *Server) serviceTime(r *http.Request) time.Duration {
	base := s.cfg.Service
	if ms, err := strconv.ParseFloat(r.URL.Query().Get("ms"), 64); err == nil {
		base = time.Duration(ms * float64(time.Millisecond))
	}
	if bits := s.slowdown.Load(); bits != 0 {
		base = time.Duration(float64(base) * math.Float64frombits(bits))
	}
	if s.cfg.Load == nil {
		return base
	}
	factor := 1.0
	for kind, cores := range s.cfg.Load() {
		factor += cores * s.cfg.Interference[kind]
	}
	return time.Duration(float64(base) * factor)
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/plain")
	rc := http.NewResponseController(w)
	ticker := time.NewTicker(s.cfg.StreamInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		if _, err := fmt.Fprintf(w, "%s line %d\n", s.cfg.Name, i); err != nil {
			return
		}
		if err := rc.Flush(); err != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-ticker.C:
		}
	}
}
