// Package sample is a backend server for demonstrations, load runs and tests. It responds to quick requests after a service
// time that grows with the batch load on its host, and serves long-lived streams.
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
	// Load returns the cores that batch tasks use on the host, by kind; nil: no batch load.
	Load func() map[string]float64
	// Interference is the relative growth of the service time per core used by batch tasks, by kind.
	Interference map[string]float64
	// StreamInterval is the time between two lines of a stream.
	StreamInterval time.Duration
}

// Server is a sample backend server. It counts the runs of each idempotency key.
type Server struct {
	cfg      Config
	inFlight atomic.Int64
	overruns atomic.Int64
	served   atomic.Int64
	slowdown atomic.Uint64 // math.Float64bits of the factor on the service time; 0: no slowdown

	mu   sync.Mutex
	runs map[string]int
}

// New returns a Server with a default StreamInterval of 100 ms.
func New(cfg Config) *Server {
	if cfg.StreamInterval == 0 {
		cfg.StreamInterval = 100 * time.Millisecond
	}
	return &Server{cfg: cfg, runs: map[string]int{}}
}

// Overruns returns the number of requests that arrived while all slots were in use. Behind an agent it must stay 0.
func (s *Server) Overruns() int64 { return s.overruns.Load() }

// Served returns the number of completed quick requests.
func (s *Server) Served() int64 { return s.served.Load() }

// Runs returns how often the request of each idempotency key ran.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, v := range s.runs {
		out[k] = v
	}
	return out
}

// ServeHTTP serves an endless stream at /stream, the number of runs of a key at /_runs?key=, and quick requests at all
// other paths. The response to a quick request repeats its body, so that callers can verify it. The query parameter ms
// overrides the service time.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/stream" {
		s.serveStream(w, r)
		return
	}
	if r.URL.Path == "/_runs" {
		fmt.Fprintln(w, s.Runs()[r.URL.Query().Get("key")])
		return
	}
	if s.inFlight.Add(1) > int64(s.cfg.Slots) {
		s.overruns.Add(1)
	}
	defer s.inFlight.Add(-1)
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

// SetSlowdown multiplies all service times by the factor, to simulate a noisy neighbour.
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

func (s *Server) serveStream(w http.ResponseWriter, r *http.Request) {
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
