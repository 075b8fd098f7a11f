package jobowner

import (
	"context"
	"errors"
	"hash/fnv"
	"syscall"
	"time"

	"bamboofork/internal/app"
	"bamboofork/internal/boottime"
	"bamboofork/internal/election"
	"bamboofork/internal/events"
	"bamboofork/internal/ownerconn"
	"bamboofork/internal/session"
)

// Candidate takes over ownership of the jobs when there is no live owner.
type Candidate struct {
	Config   Config
	Key      *election.Key
	Self     election.Owner
	Follower *ownerconn.Follower

	// Used by Run only: whether the last read of the owner's key failed, and the boot time at which reads succeeded again (0:
	// reads have not failed yet).
	storeUnavailable bool
	storeRecoveredAt time.Duration
}

const (
	// ownerCheckInterval is how often a candidate checks that an owner is alive.
	ownerCheckInterval = 100 * time.Millisecond
	// ownerSilenceTimeout is how long an owner may send nothing before candidates read the owner's key. A live owner sends a
	// message every 300 ms.
	ownerSilenceTimeout = 1200 * time.Millisecond
	// maxCandidacyDelay bounds the delay before a candidacy. The delay differs between processes, so that candidates do not
	// write the key at the same time.
	maxCandidacyDelay = 200 * time.Millisecond
	// storeRecoveryGrace is how long candidates wait after they reach the store again before they replace an owner that still
	// reports the store as unreachable. The store was probably unavailable to both processes, and the owner's next attempt is
	// faster than a takeover.
	storeRecoveryGrace = 800 * time.Millisecond
	// probeTimeout bounds the probe of the process that the owner's key names.
	probeTimeout = 400 * time.Millisecond
)

// Run acquires ownership whenever there is no live owner, until ctx is done.
func (c *Candidate) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if c.Follower.OwnerHealthy(ownerSilenceTimeout) {
			app.Sleep(ctx, ownerCheckInterval)
			continue
		}
		if revision, evidence, ok := c.mayTakeOver(ctx); ok {
			c.takeOver(ctx, revision, evidence)
		}
		app.Sleep(ctx, ownerCheckInterval)
	}
	return nil
}

// candidacyDelay returns the delay of this process before a candidacy. The delay is derived from the process name, so that it
// differs between processes.
func (c *Candidate) candidacyDelay() time.Duration {
	hash := fnv.New32a()
	hash.Write([]byte(c.Self.Name))
	return time.Duration(hash.Sum32()%uint32(maxCandidacyDelay/time.Millisecond)) * time.Millisecond
}

// mayTakeOver reports whether the owner's key may be replaced. It first waits for candidacyDelay. If the key may be replaced,
// it returns the revision of the key (0: there is no key), the evidence that permits the replacement, and true.
func (c *Candidate) mayTakeOver(ctx context.Context) (int64, string, bool) {
	app.Sleep(ctx, c.candidacyDelay())
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
	switch {
	case err != nil || c.Follower.OwnerHealthy(ownerSilenceTimeout):
		return 0, "", false
	case revision == 0:
		return 0, "no owner in the store", true
	case owner.Name == c.Self.Name:
		return revision, "the key belongs to an earlier incarnation of this process", true
	case c.Follower.OwnerStoreUnreachable(owner.Name) &&
		(c.storeRecoveredAt == 0 || boottime.Now()-c.storeRecoveredAt > storeRecoveryGrace):
		return revision, "the store answers this process and not the owner", true
	}
	if evidence, dead := probeOwner(ctx, owner); dead {
		return revision, evidence, true
	}
	return 0, "", false
}

// probeOwner reports whether the process that the owner's key names has certainly ended, and returns the evidence. The process
// has ended if its port refuses connections or another incarnation responds. A missing response proves nothing; the owner is
// then replaced only after its lease has expired.
func probeOwner(ctx context.Context, owner election.Owner) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	ownerConn, err := session.Dial[session.ToMember, session.FromMember](ctx, owner.Addr)
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

// takeOver writes the owner's key, recovers the jobs and serves as the owner until the term ends.
func (c *Candidate) takeOver(ctx context.Context, revision int64, evidence string) {
	events.Candidacy.Log(&c.Config.Log).Str("evidence", evidence).Int64("revision", revision).Send()
	start := boottime.Now()
	ownership, err := c.Key.Acquire(ctx, c.Self, revision)
	if err != nil {
		events.JobsReleased.Log(&c.Config.Log).AnErr("cause", err).Msg("not elected")
		return
	}
	termCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	owner, err := Recover(termCtx, c.Config, ownership, c.Self.Incarnation)
	if err != nil {
		events.JobsReleased.Log(&c.Config.Log).AnErr("cause", err).Dur("after_ms", boottime.Now()-start).Send()
		return
	}
	stop := context.AfterFunc(ctx, func() {
		owner.Resign()
		cancel()
	})
	defer stop()
	if err := owner.Run(termCtx); err != nil {
		app.Sleep(ctx, ownerSilenceTimeout) // time for the successor to connect to this process
	}
}
