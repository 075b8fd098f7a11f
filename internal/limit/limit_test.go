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

// Guards against a caller that exceeds its rate, and against a caller that uses up the rate of others in its prefix.
func TestCallerRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := limit.New()
		flood, quiet := 0, 0
		for i := range 10_000 {
			if l.CheckRate(branch, address(1), time.Now()) == nil {
				flood++
			}
			if i%100 == 0 && l.CheckRate(branch, address(2), time.Now()) == nil {
				quiet++
			}
			time.Sleep(time.Millisecond)
		}
		qt.Check(t, flood >= 200 && flood <= 222, qt.IsTrue, qt.Commentf("%d in 10 s", flood))
		qt.Check(t, quiet, qt.Equals, 100)
	})
}

// Guards against a caller that multiplies its rate by using many addresses of one prefix.
func TestPrefixRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := limit.New()
		passed := 0
		for i := range 20_000 {
			if l.CheckRate(branch, address(i%250), time.Now()) == nil {
				passed++
			}
			time.Sleep(time.Millisecond / 2)
		}
		qt.Check(t, passed <= 16*20*11+16, qt.IsTrue, qt.Commentf("%d in 10 s", passed))
	})
}

// Guards against a flood of new addresses that evicts the bucket of a caller over its rate from the table.
func TestRateSurvivesManyAddresses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := limit.New()
		passed := 0
		for i := range 100_000 {
			l.CheckRate(branch, address(1<<16+i*256), time.Now())
			if i%10 == 0 && l.CheckRate(branch, address(1), time.Now()) == nil {
				passed++
			}
			if i%100 == 0 {
				time.Sleep(10 * time.Millisecond)
			}
		}
		qt.Check(t, passed <= 300, qt.IsTrue, qt.Commentf("%d in 10 s", passed))
	})
}

// Guards against a limit that does not decrease when requests wait, or does not recover.
func TestConcurrencyFollowsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := limit.New()
		simulate := func(wait time.Duration) float64 {
			for range 300 {
				var open []*limit.Permit
				for i := range 200 {
					if p, refusal := l.Admit(branch, address(i*256), time.Now()); refusal == nil {
						open = append(open, p)
					}
				}
				time.Sleep(20 * time.Millisecond)
				for _, p := range open {
					p.Done(wait, false, time.Now())
				}
			}
			return l.Limits()["b"]
		}
		low := simulate(200 * time.Millisecond)
		high := simulate(time.Millisecond)
		qt.Check(t, low, qt.Equals, 4.0)
		qt.Check(t, high > 40, qt.IsTrue, qt.Commentf("limit %v", high))
	})
}

// Guards against a flooding caller that uses up the concurrency limit of its branch at an entry.
func TestConcurrencyIsSharedByCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := limit.New()
		for range 1000 {
			l.Admit(branch, address(1), time.Now())
		}
		_, refusal := l.Admit(branch, address(1), time.Now())
		qt.Assert(t, refusal, qt.IsNotNil)
		qt.Check(t, refusal.Overload, qt.IsTrue)
		for range 30 {
			_, refusal := l.Admit(branch, address(1<<16), time.Now())
			qt.Assert(t, refusal, qt.IsNil)
		}
	})
}
