package route

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"bamboofork/internal/membership"
)

// Server is a backend server in a view: its member record and this entry's estimates.
type Server struct {
	membership.Member
	local bool // in the entry's failure domain
	state *server
}

// server holds the estimates of one server across views. The atomics are read by every pick; mu guards the rest and
// is taken once per answer.
type server struct {
	inflight atomic.Int64 // requests of this entry
	others   atomic.Int64 // load of other entries at the newest report, in requests
	reported atomic.Int64 // time of that report, in nanoseconds since 1970
	service  atomic.Int64 // EWMA of the time to answer without the wait at the gate, in nanoseconds; 0: none yet
	sampled  atomic.Int64 // time of the newest sample in service, in nanoseconds since 1970
	until    atomic.Int64 // ejected until, in nanoseconds since 1970
	probing  atomic.Bool  // an ejection has ended and the first success is awaited
	first    time.Time    // first seen
	version  int64        // member record whose load was taken over

	mu          sync.Mutex
	consecutive int       // failures without a success between them
	ejections   int       // in a row, for the backoff
	windowStart time.Time // of the failure rate
	total       int       // outcomes in the window
	failures    int       // failed outcomes in the window
}

// report takes over the load that the agent sent with an answer or a membership record.
func (s *server) report(load int, now time.Time) {
	others := int64(load) - s.inflight.Load()
	s.others.Store(max(0, others))
	s.reported.Store(now.UnixNano())
}

// reportHalfLife is the time in which a report loses half of its say. Requests take tens of milliseconds, so after a
// second without news the load of the others is a guess.
const reportHalfLife = 500 * time.Millisecond

// load estimates the requests at the server: this entry's own, which it knows, and the others' by the last report.
func (s *server) load(now time.Time) float64 {
	own := float64(s.inflight.Load())
	others := float64(s.others.Load())
	if others == 0 {
		return own
	}
	age := now.UnixNano() - s.reported.Load()
	if age <= 0 {
		return own + others
	}
	return own + others*math.Exp2(-float64(age)/float64(reportHalfLife))
}

// serviceDecay is the time constant of the service time's average.
const serviceDecay = 3 * time.Second

// minSampleShare keeps a burst of answers from leaving the average unmoved: each answer counts at least this much.
const minSampleShare = 0.005

// observe takes in one service time.
func (s *server) observe(took time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.service.Load()
	if old == 0 {
		s.service.Store(int64(took))
		s.sampled.Store(now.UnixNano())
		return
	}
	share := max(minSampleShare, 1-math.Exp(-float64(now.UnixNano()-s.sampled.Load())/float64(serviceDecay)))
	s.sampled.Store(now.UnixNano())
	s.service.Store(old + int64(share*float64(int64(took)-old)))
}

// serviceHalfLife is the time in which an average without new samples loses half of its distance from the pool's
// mean. A server that was slow once is chosen rarely, so without this its average would never be corrected.
const serviceHalfLife = 5 * time.Second

// expected returns the service time to expect, 0 without any sample.
func (s *server) expected(mean time.Duration, now time.Time) float64 {
	own := float64(s.service.Load())
	age := now.UnixNano() - s.sampled.Load()
	if own == 0 || mean == 0 || age <= 0 {
		return own
	}
	return float64(mean) + (own-float64(mean))*math.Exp2(-float64(age)/float64(serviceHalfLife))
}

// warmUp is the time over which a new server's share grows from a tenth to its full size.
const warmUp = 5 * time.Second

// minWarmShare lets a new server take some requests at once, so that it has estimates.
const minWarmShare = 0.1

// warmShare returns the share of its normal traffic that a server gets now.
func (s *server) warmShare(now time.Time) float64 {
	if s.first.IsZero() {
		return 1
	}
	age := now.Sub(s.first)
	if age >= warmUp {
		return 1
	}
	return max(minWarmShare, float64(age)/float64(warmUp))
}

// String returns the member's id.
func (s *Server) String() string { return s.ID }
