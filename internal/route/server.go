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
	isLocal bool // in the entry's failure domain
	state   *serverState
}

// serverState holds the estimates of one server and is shared by successive views. Each pick reads the atomics. mu guards
// the fields below it and the updates of serviceTime. mu is locked once or twice per response.
type serverState struct {
	inflight       atomic.Int64 // requests of this entry
	othersLoad     atomic.Int64 // load from other entries in the newest report, in requests
	reportedAt     atomic.Int64 // time of the newest load report, Unix time in nanoseconds
	serviceTime    atomic.Int64 // EWMA of the response time without the time in the queue, in nanoseconds; 0 without samples
	sampledAt      atomic.Int64 // time of the newest sample in serviceTime, Unix time in nanoseconds
	ejectedUntil   atomic.Int64 // end of the ejection, Unix time in nanoseconds
	isOnProbation  atomic.Bool  // set by an ejection, cleared by the first success after the ejection
	firstSeenAt    time.Time    // zero for servers found during the entry's own start, which get no warm-up
	appliedVersion int64        // version of the member record whose load was applied

	mu                  sync.Mutex
	consecutiveFailures int       // since the last success
	ejections           int       // ejections without a success since; sets the duration of the next ejection
	windowStartedAt     time.Time // start of the window of windowOutcomes and windowFailures
	windowOutcomes      int       // outcomes in the window
	windowFailures      int       // failed outcomes in the window
}

// recordLoad applies the load from a response or a membership record.
func (s *serverState) recordLoad(load int, now time.Time) {
	othersLoad := int64(load) - s.inflight.Load()
	s.othersLoad.Store(max(0, othersLoad))
	s.reportedAt.Store(now.UnixNano())
}

// reportHalfLife is the time in which the weight of a load report halves. Requests take tens of milliseconds, so after a
// second without a report the load from other entries is uncertain.
const reportHalfLife = 500 * time.Millisecond

// load estimates the number of requests at the server. The entry's own requests are known. The requests of other entries
// are taken from the newest load report, whose weight decays with reportHalfLife.
func (s *serverState) load(now time.Time) float64 {
	own := float64(s.inflight.Load())
	othersLoad := float64(s.othersLoad.Load())
	if othersLoad == 0 {
		return own
	}
	age := now.UnixNano() - s.reportedAt.Load()
	if age <= 0 {
		return own + othersLoad
	}
	return own + othersLoad*math.Exp2(-float64(age)/float64(reportHalfLife))
}

// serviceTimeConstant is the time constant of the EWMA of service times.
const serviceTimeConstant = 3 * time.Second

// minSampleWeight is the minimum weight of a sample, so that a burst of responses still changes the average.
const minSampleWeight = 0.005

// recordServiceTime adds a sample to the average service time.
func (s *serverState) recordServiceTime(sample time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.serviceTime.Load()
	if old == 0 {
		s.serviceTime.Store(int64(sample))
		s.sampledAt.Store(now.UnixNano())
		return
	}
	weight := max(minSampleWeight, 1-math.Exp(-float64(now.UnixNano()-s.sampledAt.Load())/float64(serviceTimeConstant)))
	s.sampledAt.Store(now.UnixNano())
	s.serviceTime.Store(old + int64(weight*float64(int64(sample)-old)))
}

// serviceTimeHalfLife is the time in which the deviation of a server's average from the pool's mean halves without new
// samples. A server that was slow once is rarely chosen, so without this decay its average would never recover.
const serviceTimeHalfLife = 5 * time.Second

// expectedServiceTime returns the expected service time in nanoseconds, 0 without samples. The server's own average decays
// towards mean, the mean of the pool, with serviceTimeHalfLife.
func (s *serverState) expectedServiceTime(mean time.Duration, now time.Time) float64 {
	own := float64(s.serviceTime.Load())
	age := now.UnixNano() - s.sampledAt.Load()
	if own == 0 || mean == 0 || age <= 0 {
		return own
	}
	return float64(mean) + (own-float64(mean))*math.Exp2(-float64(age)/float64(serviceTimeHalfLife))
}

// warmUpDuration is the time over which a new server's traffic grows from minWarmUpFraction to the full share.
const warmUpDuration = 5 * time.Second

// minWarmUpFraction gives a new server some requests at once, so that its estimates have samples.
const minWarmUpFraction = 0.1

// warmUpFraction returns the fraction of its normal traffic that a server may get now.
func (s *serverState) warmUpFraction(now time.Time) float64 {
	if s.firstSeenAt.IsZero() {
		return 1
	}
	age := now.Sub(s.firstSeenAt)
	if age >= warmUpDuration {
		return 1
	}
	return max(minWarmUpFraction, float64(age)/float64(warmUpDuration))
}

// String returns the member's ID.
func (s *Server) String() string { return s.ID }
