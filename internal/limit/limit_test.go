package limit_test

import (
	"encoding/binary"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/limit"
	"bamboofork/internal/settings"
)

func address(i int) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], uint32(10<<24+i))
	return netip.AddrFrom4(b)
}

var branch = &settings.Effective{Branch: "b", CallerRate: 20, QueueTimeout: 500 * time.Millisecond}

// Guards against a caller that exceeds its rate limit. Also guards against a caller over its rate that uses up the tokens of
// other callers in the same prefix.
func TestCallerRateIsEnforcedPerCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := limit.New()
		floodAdmitted, quietAdmitted := 0, 0
		for i := range 10_000 {
			if limiter.CheckRate(branch, address(1), time.Now()) == nil {
				floodAdmitted++
			}
			if i%100 == 0 && limiter.CheckRate(branch, address(2), time.Now()) == nil {
				quietAdmitted++
			}
			time.Sleep(time.Millisecond)
		}
		qt.Check(t, floodAdmitted >= 200 && floodAdmitted <= 222, qt.IsTrue, qt.Commentf("%d in 10 s", floodAdmitted))
		qt.Check(t, quietAdmitted, qt.Equals, 100)
	})
}

// Guards against a caller that multiplies its rate by using many addresses of one prefix.
func TestPrefixRateBoundsAddressRotation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := limit.New()
		admittedCount := 0
		for i := range 20_000 {
			if limiter.CheckRate(branch, address(i%250), time.Now()) == nil {
				admittedCount++
			}
			time.Sleep(time.Millisecond / 2)
		}
		qt.Check(t, admittedCount <= 16*20*11+16, qt.IsTrue, qt.Commentf("%d in 10 s", admittedCount))
	})
}

// Guards against a caller that regains its full burst: a flood of new addresses evicts the caller's bucket from the rate table.
func TestAddressFloodKeepsBucketOfCallerOverRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := limit.New()
		admittedCount := 0
		for i := range 100_000 {
			limiter.CheckRate(branch, address(1<<16+i*256), time.Now())
			if i%10 == 0 && limiter.CheckRate(branch, address(1), time.Now()) == nil {
				admittedCount++
			}
			if i%100 == 0 {
				time.Sleep(10 * time.Millisecond)
			}
		}
		qt.Check(t, admittedCount <= 300, qt.IsTrue, qt.Commentf("%d in 10 s", admittedCount))
	})
}

// Guards against a concurrency limit that does not decrease while requests wait at the gate. Also guards against a limit that
// does not grow again after the waits became short.
func TestConcurrencyLimitFollowsGateWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := limit.New()
		limitAfterWaits := func(wait time.Duration) float64 {
			for range 300 {
				var permits []*limit.Permit
				for i := range 200 {
					if permit, refusal := limiter.Admit(branch, address(i*256), time.Now()); refusal == nil {
						permits = append(permits, permit)
					}
				}
				time.Sleep(20 * time.Millisecond)
				for _, permit := range permits {
					permit.Done(wait, false, time.Now())
				}
			}
			return limiter.ConcurrencyLimits()["b"]
		}
		limitAfterLongWaits := limitAfterWaits(200 * time.Millisecond)
		limitAfterShortWaits := limitAfterWaits(time.Millisecond)
		qt.Check(t, limitAfterLongWaits, qt.Equals, 4.0)
		qt.Check(t, limitAfterShortWaits > 40, qt.IsTrue, qt.Commentf("limit %v", limitAfterShortWaits))
	})
}

// Guards against a flooding caller that uses up the concurrency limit of its branch at an entry.
func TestFloodingCallerDoesNotBlockOtherCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := limit.New()
		for range 1000 {
			limiter.Admit(branch, address(1), time.Now())
		}
		_, refusal := limiter.Admit(branch, address(1), time.Now())
		qt.Assert(t, refusal, qt.IsNotNil)
		qt.Check(t, refusal.IsOverload, qt.IsTrue)
		for range 30 {
			_, refusal := limiter.Admit(branch, address(1<<16), time.Now())
			qt.Assert(t, refusal, qt.IsNil)
		}
	})
}
