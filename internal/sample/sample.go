// Package sample is a backend server for demonstrations, load runs and tests. The server responds to latency-critical requests after
// a service time that grows with the number of cores that batch tasks use on its host. It also serves long-lived streams.
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
	// Name is the first word of each response.
	Name string
	// Slots is the number of requests that the server may receive concurrently. A request beyond this number counts as an overrun.
	Slots int
	// ServiceTime is the service time of a latency-critical request on an idle host.
	ServiceTime time.Duration
	// BatchLoad returns the cores that batch tasks use on the host, by kind; nil: no batch load.
	BatchLoad func() map[string]float64
	// Interference is the relative growth of the service time per core used by batch tasks, by kind.
	Interference map[string]float64
	// StreamInterval is the time between two lines of a stream.
	StreamInterval time.Duration
}

// Server is a sample backend server. It counts the runs of the request with each idempotency key. mu guards runs.
type Server struct {
	cfg          Config
	inFlight     atomic.Int64
	overruns     atomic.Int64
	served       atomic.Int64
	slowdownBits atomic.Uint64 // math.Float64bits of the factor by which service times are multiplied; 0: no slowdown

	mu   sync.Mutex
	runs map[string]int // number of runs by idempotency key
}

// New returns a Server. If cfg.StreamInterval is 0, the server uses 100 ms.
func New(cfg Config) *Server {
	if cfg.StreamInterval == 0 {
		cfg.StreamInterval = 100 * time.Millisecond
	}
	return &Server{cfg: cfg, runs: map[string]int{}}
}

// Overruns returns the number of requests that arrived while all slots were in use. An agent never sends
// more requests than there are slots, so that behind an agent the number must stay 0.
func (s *Server) Overruns() int64 { return s.overruns.Load() }

// Served returns the number of completed latency-critical requests.
func (s *Server) Served() int64 { return s.served.Load() }

// RunsByKey returns the number of runs of each request by idempotency key.
func (s *Server) RunsByKey() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, v := range s.runs {
		out[k] = v
	}
	return out
}

// ServeHTTP serves an endless stream at /stream, the number of runs of an idempotency key at /_runs?key=, and latency-critical
// requests at all other paths. The response to a latency-critical request repeats the body of the request, so that callers can verify
// the response. The query parameter ms overrides the service time, in milliseconds.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/stream" {
		s.serveStream(w, r)
		return
	}
	if r.URL.Path == "/_runs" {
		fmt.Fprintln(w, s.RunsByKey()[r.URL.Query().Get("key")])
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

// SetSlowdown sets a factor by which all service times are multiplied, to simulate a noisy neighbour.
func (s *Server) SetSlowdown(factor float64) { s.slowdownBits.Store(math.Float64bits(factor)) }

func (s *Server) serviceTime(r *http.Request) time.Duration {
	base := s.cfg.ServiceTime
	if ms, err := strconv.ParseFloat(r.URL.Query().Get("ms"), 64); err == nil {
		base = time.Duration(ms * float64(time.Millisecond))
	}
	if bits := s.slowdownBits.Load(); bits != 0 {
		base = time.Duration(float64(base) * math.Float64frombits(bits))
	}
	if s.cfg.BatchLoad == nil {
		return base
	}
	factor := 1.0
	for kind, cores := range s.cfg.BatchLoad() {
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
