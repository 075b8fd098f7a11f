package jobowner

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bamboofork/internal/boottime"
	"bamboofork/internal/election"
	"bamboofork/internal/network"
	"bamboofork/internal/session"
	"bamboofork/internal/store"
	"bamboofork/internal/telemetry"
)

// forgetfulStore executes some writes of records without answering them.
type forgetfulStore struct {
	store.Store
	random *rand.Rand
}

func (s *forgetfulStore) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, lease store.LeaseID) (store.CASResult, error) {
	result, err := s.Store.CompareAndSwap(ctx, key, expect, value, lease)
	if strings.Contains(key, "/log/") && s.random.IntN(3) == 0 {
		return store.CASResult{}, store.ErrUncertain
	}
	return result, err
}

// Load: silences of the store of all lengths, lost answers, callers that repeat and cancel what they submitted, and an owner that resigns in
// the midst of it. A job that was refused to all who submitted it is in no record, and one that was accepted is in one.
func TestRefusedJobsAreInNoRecord(t *testing.T) {
	codes := map[session.Code]int{}
	for seed := range uint64(60) {
		inVirtualTime(t, func(t *testing.T, o *Owner, st *gatedStore) {
			random := rand.New(rand.NewPCG(seed, 1))
			st.Store = &forgetfulStore{st.Store, rand.New(rand.NewPCG(seed, 2))}
			o.cfg.SilentStore.MaxHeld, o.cfg.Retention = 6, time.Hour
			ctx, stop := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				for ctx.Err() == nil {
					if _, err := o.commit(ctx); err != nil && !errors.Is(err, context.Canceled) {
						t.Errorf("seed %d: commit: %v", seed, err)
						return
					}
					time.Sleep(10 * time.Millisecond)
				}
			}()
			replies := map[string][]chan session.Reply{}
			for i := range 400 {
				isSilent := i/40%2 == 1
				id := fmt.Sprintf("%016x", random.IntN(60))
				switch random.IntN(6) {
				case 0, 1:
					replies[id] = append(replies[id], submitFor(o, id, time.Duration(random.IntN(3000))*time.Millisecond))
				case 2:
					o.mu.Lock()
					o.cancelJob(&session.Request{Verb: session.VerbCancel, JobID: id}, func(session.Reply) {})
					o.mu.Unlock()
				case 3:
					if isSilent {
						break
					}
					select {
					case st.gate <- struct{}{}:
					default:
					}
				case 4:
					time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
				}
				checkHolds(o)
			}
			if seed%2 == 0 {
				o.releaseHeld()
			}
			for range 200 {
				select {
				case st.gate <- struct{}{}:
				default:
				}
				time.Sleep(100 * time.Millisecond)
			}
			stop()
			<-done
			st.gate = nil
			key := election.NewKey(st.Store, "owner2", boottime.Now)
			ownership, err := key.Acquire(t.Context(), election.Owner{Name: "host-1", Incarnation: "host-1-1"}, 0)
			qt.Assert(t, err, qt.IsNil)
			successor, err := Recover(t.Context(), Config{Name: "host-1", Prefix: "jobs", Log: zerolog.Nop(), Metrics: telemetry.New(), Store: st,
				Network: network.TCP, Retention: time.Hour, MaxHold: 5 * time.Second}, ownership, "host-1-1")
			qt.Assert(t, err, qt.IsNil)
			for id, all := range replies {
				accepted := false
				for _, one := range all {
					got := code(one)
					qt.Check(t, got, qt.Not(qt.Equals), session.Code(""), qt.Commentf("seed %d, job %s: no reply", seed, id))
					accepted = accepted || got == session.CodeOK
					codes[got]++
				}
				qt.Check(t, successor.jobsState.Jobs[id] != nil, qt.Equals, accepted, qt.Commentf("seed %d, job %s", seed, id))
			}
		})
	}
	t.Logf("replies: %v", codes)
	for _, code := range []session.Code{session.CodeOK, session.CodeRejected, session.CodeReleased} {
		qt.Check(t, codes[code] > 0, qt.IsTrue, qt.Commentf("%s", code))
	}
}
