package jobowner

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a crowd of candidates after the loss of an owner. At any size of the fleet the first check comes early, and all
// candidates together check the key at a bounded rate.
func TestCandidatesCheckTheKeyAtABoundedRate(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, agents := range []int{14, 30, 100, 300, 1000, 31_000} {
		firstCheck, checksInFirstSecond := time.Hour, 0
		for range agents {
			var backoff checkBackoff
			for at := time.Duration(0); at < time.Second; {
				at += time.Duration(rng.Int64N(int64(backoff.window(agents))))
				backoff.checks++
				firstCheck = min(firstCheck, at)
				if at < time.Second {
					checksInFirstSecond++
				}
			}
		}
		qt.Check(t, firstCheck < 150*time.Millisecond, qt.IsTrue, qt.Commentf("%d agents: first check after %s", agents, firstCheck))
		qt.Check(t, checksInFirstSecond <= 3*fleetChecksPerSecond/2, qt.IsTrue, qt.Commentf("%d agents: %d checks", agents, checksInFirstSecond))
	}
}

func TestCheckBackoffStartsOverWhenTheOwnerIsHealthy(t *testing.T) {
	var backoff checkBackoff
	first := backoff.window(0)
	backoff.next(0)
	qt.Check(t, backoff.window(0), qt.Equals, 2*first)
	backoff.reset()
	qt.Check(t, backoff.window(0), qt.Equals, first)
}
