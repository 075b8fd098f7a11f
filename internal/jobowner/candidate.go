package jobowner

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"bamboofork/internal/app"
	"bamboofork/internal/boottime"
	"bamboofork/internal/election"
	"bamboofork/internal/events"
	"bamboofork/internal/network"
	"bamboofork/internal/ownerconn"
	"bamboofork/internal/session"
)

// Candidate takes over ownership of the jobs when there is no live owner.
type Candidate struct {
	Config   Config
	Key      *election.Key
	Self     election.Owner
	Follower *ownerconn.Follower

	// Used by Run only: whether the last read of the owner's key failed, the boot time at which reads succeeded again (0:
	// reads have not failed yet), and the delay before the next check of the key.
	storeUnavailable bool
	storeRecoveredAt time.Duration
	checkBackoff     checkBackoff
}

const (
	// ownerCheckInterval is how often a candidate checks that an owner is alive.
	ownerCheckInterval = 100 * time.Millisecond
	// ownerSilenceTimeout is how long an owner may send nothing before candidates read the owner's key. A live owner sends a
	// message every 300 ms.
	ownerSilenceTimeout = 1200 * time.Millisecond
	// storeRecoveryGrace is how long candidates wait after they reach the store again before they replace an owner that is still
	// connected. The store was probably unavailable to both processes, and the owner's next attempt is faster than a takeover.
	storeRecoveryGrace = 800 * time.Millisecond
	// probeTimeout bounds the probe of the process that the owner's key names.
	probeTimeout = 400 * time.Millisecond
	// maxRecoveryDuration is how long a new owner may take to recover the jobs. It then releases the key, so that another process
	// can try.
	maxRecoveryDuration = 20 * time.Second
)

// errRecoveryTooSlow ends a term whose recovery exceeds maxRecoveryDuration.
var errRecoveryTooSlow = errors.New("the jobs were not recovered in time")

// Run acquires ownership whenever there is no live owner, until ctx is done.
func (c *Candidate) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if c.Follower.OwnerHealthy(ownerSilenceTimeout) {
			c.checkBackoff.reset()
			app.Sleep(ctx, ownerCheckInterval)
			continue
		}
		app.Sleep(ctx, c.checkBackoff.next(c.Follower.AgentCount()))
		if c.Follower.OwnerHealthy(ownerSilenceTimeout) {
			continue
		}
		if revision, evidence, ok := c.mayTakeOver(ctx); ok {
			c.takeOver(ctx, revision, evidence)
		}
	}
	return nil
}

// mayTakeOver reports whether the owner's key may be replaced. If it may, mayTakeOver returns the revision of the key (0: there
// is no key), the evidence that permits the replacement, and true.
func (c *Candidate) mayTakeOver(ctx context.Context) (int64, string, bool) {
	owner, revision, err := c.Key.Read(ctx)
	if (err != nil) != c.storeUnavailable {
		c.storeUnavailable = err != nil
		if err != nil {
			events.StoreUnavailable.Log(&c.Config.Log).Str("for", "owner's key").Err(err).Send()
		} else {
			c.storeRecoveredAt = boottime.Now()
			events.StoreRecovered.Log(&c.Config.Log).Str("for", "owner's key").Int64("revision", revision).Send()
		}
	}
	inStoreGrace := c.storeRecoveredAt != 0 && boottime.Now()-c.storeRecoveredAt < storeRecoveryGrace
	switch {
	case err != nil || c.Follower.OwnerHealthy(ownerSilenceTimeout):
		return 0, "", false
	case inStoreGrace && c.Follower.Conn() != nil:
		return 0, "", false // the connected owner renews its lease or writes the key again
	case revision == 0:
		return 0, "no owner in the store", true
	case !owner.NamesProcess():
		return revision, "the owner's key names no process", true
	case owner.Name == c.Self.Name:
		return revision, "the key belongs to an earlier incarnation of this process", true
	case c.Follower.OwnerStoreUnreachable(owner.Name):
		return revision, "the store answers this process and not the owner", true
	}
	if evidence, dead := probeOwner(ctx, c.Config.Network, owner); dead {
		return revision, evidence, true
	}
	return 0, "", false
}

// probeOwner reports whether the process that the owner's key names has certainly ended, and returns the evidence. The process
// has ended if its port refuses connections or another incarnation responds. A missing response proves nothing; the owner is
// then replaced only after its lease has expired.
func probeOwner(ctx context.Context, through network.Network, owner election.Owner) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	ownerConn, err := session.Dial[session.ToMember, session.FromMember](ctx, through, owner.Addr)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return "the owner's port is closed", true
	}
	if err != nil {
		return "", false
	}
	defer ownerConn.Close()
	stop := context.AfterFunc(ctx, ownerConn.Close)
	defer stop()
	hello, err := ownerConn.Receive()
	if err != nil {
		return "", false
	}
	return "the owner's process was replaced", hello.Incarnation != owner.Incarnation
}

// takeOver writes the owner's key, recovers the jobs and serves as the owner until the term ends. The lease is renewed from the
// start, so that a recovery that takes longer than the lease keeps the key.
func (c *Candidate) takeOver(ctx context.Context, revision int64, evidence string) {
	events.Candidacy.Log(&c.Config.Log).Str("evidence", evidence).Int64("revision", revision).Send()
	start := boottime.Now()
	ownership, err := c.Key.Acquire(ctx, c.Self, revision)
	if err != nil {
		events.JobsReleased.Log(&c.Config.Log).AnErr("cause", err).Msg("not elected")
		return
	}
	termCtx, endTerm := context.WithCancelCause(context.WithoutCancel(ctx))
	var renewal sync.WaitGroup
	defer renewal.Wait()
	defer endTerm(nil)
	renewal.Go(func() {
		if err := ownership.KeepAlive(termCtx); err != nil {
			endTerm(err)
		}
	})
	stopOnShutdown := context.AfterFunc(ctx, func() { endTerm(nil) })
	tooSlow := time.AfterFunc(maxRecoveryDuration, func() { endTerm(errRecoveryTooSlow) })
	owner, err := Recover(termCtx, c.Config, ownership, c.Self.Incarnation)
	tooSlow.Stop()
	if err != nil {
		events.JobsReleased.Log(&c.Config.Log).AnErr("cause", err).Dur("after_ms", boottime.Now()-start).Send()
		c.release(ownership, err)
		return
	}
	if !stopOnShutdown() { // the process stops already
		owner.Resign()
		return
	}
	stopOnShutdown = context.AfterFunc(ctx, func() {
		owner.Resign()
		endTerm(nil)
	})
	defer stopOnShutdown()
	if err := owner.Run(termCtx); err != nil {
		app.Sleep(ctx, ownerSilenceTimeout) // time for the successor to connect to this process
	}
}

// release gives up the key after a recovery that was not completed, unless another process is the owner already.
func (c *Candidate) release(ownership *election.Ownership, cause error) {
	if errors.Is(cause, election.ErrTaken) {
		return
	}
	endLease(ownership, &c.Config.Log)
}
