package gate_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bamboofork/internal/gate"
)

func flow(branch string, weight int, prefix, caller string) []gate.Share {
	return []gate.Share{{Key: branch, Weight: weight}, {Key: ".", Weight: weight}, {Key: prefix, Weight: 1}, {Key: caller, Weight: 1}}
}

func request(branch string, weight int, prefix, caller string) gate.Request {
	return gate.Request{Flow: flow(branch, weight, prefix, caller), Branch: 1, Timeout: 500 * time.Millisecond}
}

// load offers requests at a fixed gap and counts those that ran; it returns when all have ended.
type load struct {
	request func(i int) gate.Request
	gap     time.Duration
	hold    time.Duration
	ran     int
}

// offer runs the loads against one gate for a time, in virtual time.
func offer(g *gate.Gate, d time.Duration, loads ...*load) {
	ctx := context.Background()
	results := make(chan *load)
	pending := 0
	for _, l := range loads {
		pending += int(d / l.gap)
		go func() {
			for i := range int(d / l.gap) {
				go func() {
					release, err := g.AcquireSlot(ctx, l.request(i))
					if err != nil {
						results <- nil
						return
					}
					time.Sleep(l.hold)
					release()
					results <- l
				}()
				time.Sleep(l.gap)
			}
		}()
	}
	for range pending {
		if l := <-results; l != nil {
			l.ran++
		}
	}
}

const hold = 20 * time.Millisecond

// Guards against a flood, by one caller or by many addresses, that takes the slots of another branch or another prefix.
func TestFloodKeepsShares(t *testing.T) {
	floods := map[string]func(i int) gate.Request{
		"one caller": func(int) gate.Request { return request("urgent", 60, "198.51.100.0/24", "198.51.100.1") },
		"ten thousand addresses": func(i int) gate.Request {
			n := i % 10_000
			return request("urgent", 60, fmt.Sprintf("10.0.%d.0/24", n/200), fmt.Sprintf("10.0.%d.%d", n/200, n%200))
		},
	}
	for name, flood := range floods {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gate.New(gate.Config{Slots: 4, Conns: 16, MaxQueue: 64})
				// The capacity is 200 requests/s; the other branch asks for 50, its share by weight is 57.
				other := &load{request: func(int) gate.Request { return request("other", 24, "192.0.2.0/24", "192.0.2.1") }, gap: 20 * time.Millisecond, hold: hold}
				attack := &load{request: flood, gap: time.Millisecond, hold: hold}
				offer(g, 20*time.Second, other, attack)
				qt.Check(t, other.ran >= 950, qt.IsTrue, qt.Commentf("other branch ran %d of 1000", other.ran))
				qt.Check(t, other.ran+attack.ran >= 3900, qt.IsTrue, qt.Commentf("ran %d of 4000", other.ran+attack.ran))
			})
		})
	}
}

// Guards against a caller that shuts out the other callers of its own branch, in its own prefix and in others.
func TestOneCallerDoesNotStarveItsBranch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gate.New(gate.Config{Slots: 4, Conns: 16, MaxQueue: 64})
		quiet := func(prefix, caller string) *load {
			return &load{request: func(int) gate.Request { return request("b", 10, prefix, caller) }, gap: 40 * time.Millisecond, hold: hold}
		}
		same, far := quiet("198.51.100.0/24", "198.51.100.2"), quiet("192.0.2.0/24", "192.0.2.1")
		attack := &load{request: func(int) gate.Request { return request("b", 10, "198.51.100.0/24", "198.51.100.1") }, gap: time.Millisecond, hold: hold}
		offer(g, 20*time.Second, same, far, attack)
		qt.Check(t, same.ran >= 475, qt.IsTrue, qt.Commentf("same prefix ran %d of 500", same.ran))
		qt.Check(t, far.ran >= 475, qt.IsTrue, qt.Commentf("other prefix ran %d of 500", far.ran))
	})
}

// Guards against a branch that gets more than its share by requests that hold their slots longer.
func TestLongRequestsAreChargedForTheirTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gate.New(gate.Config{Slots: 4, Conns: 16, MaxQueue: 64})
		short := &load{request: func(int) gate.Request { return request("short", 10, "p", "a") }, gap: 5 * time.Millisecond, hold: 20 * time.Millisecond}
		long := &load{request: func(int) gate.Request { return request("long", 10, "p", "b") }, gap: 5 * time.Millisecond, hold: 100 * time.Millisecond}
		offer(g, 20*time.Second, short, long)
		shortTime, longTime := 20*short.ran, 100*long.ran
		qt.Check(t, 10*shortTime >= 9*longTime, qt.IsTrue, qt.Commentf("%d ms of short and %d ms of long requests", shortTime, longTime))
	})
}

// Guards against a branch under its share whose requests wait behind a flood when a few arrive together, and against a
// burst that lets a branch exceed its share for good.
func TestBranchBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gate.New(gate.Config{Slots: 4, Conns: 16, MaxQueue: 64})
		burst := func(r gate.Request) gate.Request {
			r.Flow[0].Burst = 4
			return r
		}
		attack := &load{request: func(int) gate.Request { return burst(request("flood", 90, "p", "a")) }, gap: time.Millisecond, hold: hold}
		greedy := &load{request: func(int) gate.Request { return burst(request("greedy", 10, "p", "b")) }, gap: 5 * time.Millisecond, hold: hold}
		go func() {
			time.Sleep(100 * time.Millisecond)
			for range 20 {
				started := time.Now()
				var all sync.WaitGroup
				for range 3 {
					all.Go(func() {
						release, err := g.AcquireSlot(context.Background(), burst(request("quiet", 10, "p", "c")))
						if err != nil {
							t.Errorf("a burst of three was refused: %v", err)
							return
						}
						time.Sleep(hold)
						release()
					})
				}
				all.Wait()
				qt.Check(t, time.Since(started) <= 3*hold, qt.IsTrue, qt.Commentf("a burst of three took %s", time.Since(started)))
				time.Sleep(700 * time.Millisecond)
			}
		}()
		offer(g, 20*time.Second, attack, greedy)
		// The greedy branch asks for all of the capacity; its share of 4000 is at least a tenth, with the flood's.
		qt.Check(t, greedy.ran >= 360 && greedy.ran <= 440, qt.IsTrue, qt.Commentf("greedy branch ran %d of 4000", greedy.ran))
	})
}

// Guards against a slot that goes to a request whose deadline has passed.
func TestExpiredIsNotGranted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gate.New(gate.Config{Slots: 1, Conns: 2, MaxQueue: 8})
		release, err := g.AcquireSlot(context.Background(), request("b", 1, "p", "c"))
		qt.Assert(t, err, qt.IsNil)
		r := request("b", 1, "p", "c")
		r.Deadline = time.Now().Add(10 * time.Millisecond)
		started := time.Now()
		_, err = g.AcquireSlot(context.Background(), r)
		qt.Check(t, err, qt.Equals, gate.ErrExpired)
		qt.Check(t, time.Since(started), qt.Equals, 10*time.Millisecond)
		release()
		_, err = g.AcquireSlot(context.Background(), r)
		qt.Check(t, err, qt.Equals, gate.ErrExpired)
		qt.Check(t, g.Usage().Busy, qt.Equals, 0)
	})
}

// Guards against state that grows with the number of callers: after a million addresses little remains.
func TestStateIsBounded(t *testing.T) {
	g := gate.New(gate.Config{Slots: 2, Conns: 4, MaxQueue: 16})
	for i := range 50_000 {
		release, err := g.AcquireSlot(context.Background(), request("b", 1, fmt.Sprint(i/100), fmt.Sprint(i)))
		qt.Assert(t, err, qt.IsNil)
		release()
	}
	qt.Check(t, gate.Nodes(g) <= 5000, qt.IsTrue, qt.Commentf("%d nodes", gate.Nodes(g)))
}

// Guards against lost or doubled grants, idle slots while requests wait, and inconsistent order under any mix of
// arrivals, expiries and cancellations. The invariants inside the gate are evaluated at every step.
func TestRandomisedGate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			slots := rapid.IntRange(1, 4).Draw(rt, "slots")
			g := gate.New(gate.Config{Slots: slots, Conns: slots + 1, MaxQueue: rapid.IntRange(1, 5).Draw(rt, "queue")})
			n := rapid.IntRange(1, 80).Draw(rt, "requests")
			done := make(chan bool, n)
			granted := 0
			for range n {
				r := request(rapid.SampledFrom([]string{"x", "y"}).Draw(rt, "branch"), rapid.IntRange(1, 50).Draw(rt, "weight"),
					rapid.SampledFrom([]string{"p", "q"}).Draw(rt, "prefix"), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "caller"))
				r.Timeout = time.Duration(rapid.IntRange(0, 50).Draw(rt, "timeout")) * time.Millisecond
				use := time.Duration(rapid.IntRange(0, 30).Draw(rt, "use")) * time.Millisecond
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rapid.IntRange(1, 60).Draw(rt, "patience"))*time.Millisecond)
				go func() {
					defer cancel()
					release, err := g.AcquireSlot(ctx, r)
					if err == nil {
						time.Sleep(use)
						release()
						release() // a second release must have no effect
					}
					done <- err == nil
				}()
				time.Sleep(time.Duration(rapid.IntRange(0, 5).Draw(rt, "gap")) * time.Millisecond)
			}
			for range n {
				if <-done {
					granted++
				}
			}
			u := g.Usage()
			qt.Check(t, u.Busy+u.Queued, qt.Equals, 0)
			qt.Check(t, granted > 0, qt.IsTrue)
			qt.Check(t, g.Drain(context.Background()), qt.IsNil)
		})
	})
}

// Guards against a charge for requests that expire in the instant in which their turn comes: a branch whose queue is
// always full of them got 350 of its 390 requests, depending on the order of events of one instant.
func TestExpiredRequestsAreNotCharged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gate.New(gate.Config{Slots: 1, Conns: 2, MaxQueue: 64})
		attack := &load{request: func(int) gate.Request { return request("flood", 90, "p", "a") }, gap: 2 * time.Millisecond, hold: hold}
		expiring := &load{request: func(int) gate.Request {
			r := request("patient", 10, "p", "b")
			r.Timeout = 500 * time.Millisecond
			return r
		}, gap: 20 * time.Millisecond, hold: hold}
		offer(g, 40*time.Second, attack, expiring)
		qt.Check(t, expiring.ran >= 195, qt.IsTrue, qt.Commentf("ran %d of 200", expiring.ran))
	})
}
