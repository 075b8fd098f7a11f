package election

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/caslog"
	"bamboofork/internal/store"
	"bamboofork/internal/store/memstore"
)

// The protocol of ownership is explored with random faults in virtual time: the real key, lease and log, and candidates that take
// over, recover for longer than the lease, append records and confirm holds as the owner of the jobs does. Each candidate has its
// own faults: a store that is away, slow or loses answers, and pauses during which only its clocks go on.

const (
	protocolCandidates = 5
	protocolFaultsFor  = 40 * time.Second
	// maxProtocolRecovery is the longest recovery, three times the lease.
	maxProtocolRecovery = 3 * LeaseTTL
	// holdMarginAfterTakeover is how long after the begin of a term its owner allows for holds that a previous owner still confirms.
	holdMarginAfterTakeover = 2500 * time.Millisecond
	// protocolBound is the time from the end of all faults to an owner that serves: the lease as the store rounds it, the expiry of
	// calls under way, the checks of the candidates and two recoveries.
	protocolBound = 2*time.Second + 4*callTimeout + 2*maxProtocolRecovery + 2*time.Second
)

// faultyProcess is the store as one candidate sees it.
type faultyProcess struct {
	store.Store
	rng *rand.Rand

	mu          sync.Mutex
	away, lossy bool
	delay       time.Duration
	pausedUntil time.Time
}

func (p *faultyProcess) setFaults(away, lossy bool, delay, pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.away, p.lossy, p.delay, p.pausedUntil = away, lossy, delay, time.Now().Add(pause)
}

// step waits while the process is paused.
func (p *faultyProcess) step() {
	p.mu.Lock()
	wait := time.Until(p.pausedUntil)
	p.mu.Unlock()
	time.Sleep(max(0, wait))
}

// call waits for the delay of a call and returns the error of a call that does not reach the store.
func (p *faultyProcess) call(ctx context.Context) error {
	p.step()
	p.mu.Lock()
	away, delay := p.away, p.delay
	p.mu.Unlock()
	select {
	case <-time.After(4*time.Millisecond + delay):
	case <-ctx.Done():
		return store.ErrUnavailable
	}
	if away {
		return store.ErrUnavailable
	}
	return nil
}

// answer loses the answer of a write that was executed.
func (p *faultyProcess) answer(err error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && p.lossy && p.rng.IntN(3) == 0 {
		return store.ErrUncertain
	}
	return err
}

func (p *faultyProcess) Get(ctx context.Context, key string) (store.KV, error) {
	if err := p.call(ctx); err != nil {
		return store.KV{}, err
	}
	return p.Store.Get(ctx, key)
}

func (p *faultyProcess) List(ctx context.Context, from, to string, limit int) ([]store.KV, int64, error) {
	if err := p.call(ctx); err != nil {
		return nil, 0, err
	}
	return p.Store.List(ctx, from, to, limit)
}

func (p *faultyProcess) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, lease store.LeaseID) (store.CASResult, error) {
	if err := p.call(ctx); err != nil {
		return store.CASResult{}, err
	}
	result, err := p.Store.CompareAndSwap(ctx, key, expect, value, lease)
	return result, p.answer(err)
}

func (p *faultyProcess) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	if err := p.call(ctx); err != nil {
		return 0, err
	}
	ttl, err := p.Store.KeepAlive(ctx, id)
	return ttl, p.answer(err)
}

// protocolRun records what the candidates do.
type protocolRun struct {
	mu         sync.Mutex
	termStarts map[int64]time.Time // begin of the term by epoch
	lastRecord time.Time
	violations []string
}

// confirmHold records that the owner of an epoch confirms the hold of a worker, which it may do only until a successor assumes that
// such holds end.
func (r *protocolRun) confirmHold(epoch int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for successor, startedAt := range r.termStarts {
		if successor > epoch && time.Since(startedAt) > holdMarginAfterTakeover {
			r.violations = append(r.violations, fmt.Sprintf("the owner of epoch %d confirms a hold %s after the begin of the term of epoch %d",
				epoch, time.Since(startedAt), successor))
		}
	}
}

// candidate takes over whenever the key is absent or, with some probability, when the key's owner has faults: other candidates then
// have evidence that the owner cannot reach the store.
func (r *protocolRun) candidate(ctx context.Context, name string, p *faultyProcess, hasFaults func(owner string) bool, recovery func() time.Duration) {
	key := NewKey(p, "owner", func() time.Duration { return time.Duration(time.Now().UnixNano()) })
	for term := 0; ctx.Err() == nil; {
		time.Sleep(time.Duration(p.rng.Int64N(int64(300 * time.Millisecond))))
		p.step()
		owner, revision, err := key.Read(ctx)
		if err != nil || (revision != 0 && (owner.Name == name || !hasFaults(owner.Name))) {
			continue
		}
		term++
		r.serve(ctx, key, p, Owner{Name: name, Incarnation: fmt.Sprintf("%s-%d", name, term)}, revision, recovery())
	}
}

// serve is one term: it recovers for the given time, fences the log, and then appends records and confirms holds.
func (r *protocolRun) serve(ctx context.Context, key *Key, p *faultyProcess, self Owner, revision int64, recovery time.Duration) {
	ownership, err := key.Acquire(ctx, self, revision)
	if err != nil {
		return
	}
	startedAt := time.Now()
	ctx, endTerm := context.WithCancelCause(ctx)
	defer endTerm(nil)
	go func() {
		if err := ownership.KeepAlive(ctx); err != nil {
			endTerm(err)
		}
	}()
	time.Sleep(recovery)
	log := caslog.New(p, "log", self.Incarnation)
	state, err := log.Load(ctx)
	if err != nil {
		return
	}
	record := caslog.Record{Seq: state.LastSeq() + 1, Epoch: state.LastSeq() + 1}
	epoch := int64(0)
	for ctx.Err() == nil {
		p.step()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		written, err := log.Append(callCtx, record)
		cancel()
		switch {
		case errors.Is(err, caslog.ErrConflict):
			return
		case err != nil:
			record = written
			time.Sleep(60 * time.Millisecond)
			continue
		}
		r.mu.Lock()
		if epoch == 0 {
			epoch = written.Epoch
			r.termStarts[epoch] = startedAt
		}
		r.lastRecord = time.Now()
		r.mu.Unlock()
		record = caslog.Record{Seq: written.Seq + 1, Epoch: epoch}
		for range 5 { // holds are confirmed more often than records are written
			p.step()
			if ownership.LeaseValid() {
				r.confirmHold(epoch)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// Guards against two owners whose permissions overlap, and against ownership that never comes to rest although the faults have ended.
func TestOwnershipIsSafeAndLiveUnderRandomFaults(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playProtocol(t, seed) })
		})
	}
}

func playProtocol(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 11))
	engine := memstore.New()
	run := &protocolRun{termStarts: map[int64]time.Time{}}
	ctx, cancel := context.WithCancel(t.Context())
	processes := map[string]*faultyProcess{}
	var names []string
	for i := range protocolCandidates {
		name := fmt.Sprint("host-", i)
		names = append(names, name)
		processes[name] = &faultyProcess{Store: engine, rng: rand.New(rand.NewPCG(seed, uint64(i)+100))}
	}
	hasFaults := func(owner string) bool {
		p := processes[owner]
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.away || p.lossy
	}
	var wg sync.WaitGroup
	for _, name := range names {
		p := processes[name]
		wg.Go(func() {
			run.candidate(ctx, name, p, hasFaults, func() time.Duration { return time.Duration(p.rng.Int64N(int64(maxProtocolRecovery))) })
		})
	}
	for start := time.Now(); time.Since(start) < protocolFaultsFor; {
		p := processes[names[rng.IntN(len(names))]]
		p.setFaults(rng.IntN(3) == 0, rng.IntN(3) == 0, time.Duration(rng.Int64N(int64(400*time.Millisecond))),
			time.Duration(rng.IntN(3))*time.Duration(rng.Int64N(int64(3*time.Second))))
		time.Sleep(time.Duration(rng.Int64N(int64(2 * time.Second))))
	}
	for _, p := range processes {
		p.setFaults(false, false, 0, 0)
	}
	time.Sleep(protocolBound)
	run.mu.Lock()
	terms := len(run.termStarts)
	run.mu.Unlock()
	time.Sleep(10 * time.Second)
	run.mu.Lock()
	qt.Check(t, run.violations, qt.HasLen, 0)
	qt.Check(t, len(run.termStarts), qt.Equals, terms, qt.Commentf("ownership still changes %s after the last fault", protocolBound))
	qt.Check(t, time.Since(run.lastRecord) < 2*time.Second, qt.IsTrue, qt.Commentf("nobody serves; last record %s ago", time.Since(run.lastRecord)))
	run.mu.Unlock()
	cancel()
	wg.Wait()
}
