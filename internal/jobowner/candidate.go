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
	"bamboofork/internal/follow"
	"bamboofork/internal/session"
)

// Candidate is a process that becomes the owner when there is none.
type Candidate struct {
	Config   Config
	Key      *election.Key
	Me       election.Owner
	Follower *follow.Follower

	// Used by Run only: the last read of the key failed, and when reads began to succeed again.
	storeLost bool
	storeBack time.Duration
}

const (
	// lookEvery is how often a candidate judges whether it hears from an owner.
	lookEvery = 100 * time.Millisecond
	// patience is how long an owner may be silent before candidates look at its key; it sends every 300 ms.
	patience = 1200 * time.Millisecond
	// spread is the longest delay by which candidates let each other go first, so that few of them write at once.
	spread = 200 * time.Millisecond
	// returnGrace is how long an owner without the store keeps its turn after the store answers this process again: it was
	// away for both, and a takeover takes longer than the owner's next attempt.
	returnGrace = 800 * time.Millisecond
	// probeTimeout bounds the question to the process that the key names.
	probeTimeout = 400 * time.Millisecond
)

// Run serves terms of ownership until ctx ends.
func (c *Candidate) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if c.Follower.Served(patience) {
			app.Sleep(ctx, lookEvery)
			continue
		}
		if revision, evidence, ok := c.vacant(ctx); ok {
			c.stand(ctx, revision, evidence)
		}
		app.Sleep(ctx, lookEvery)
	}
	return nil
}

// delay is this candidate's turn, which differs between processes.
func (c *Candidate) delay() time.Duration {
	h := fnv.New32a()
	h.Write([]byte(c.Me.Name))
	return time.Duration(h.Sum32()%uint32(spread/time.Millisecond)) * time.Millisecond
}

// vacant reports whether the owner's key may be replaced at the revision, and why.
func (c *Candidate) vacant(ctx context.Context) (int64, string, bool) {
	app.Sleep(ctx, c.delay())
	owner, revision, err := c.Key.Read(ctx)
	if (err != nil) != c.storeLost {
		c.storeLost = err != nil
		if err != nil {
			events.StoreUnavailable.Log(&c.Config.Log).Str("for", "owner's key").Err(err).Send()
		} else {
			c.storeBack = boottime.Now()
			events.StoreRecovered.Log(&c.Config.Log).Str("for", "owner's key").Int64("revision", revision).Send()
		}
	}
	switch {
	case err != nil || c.Follower.Served(patience):
		return 0, "", false
	case revision == 0:
		return 0, "no owner in the store", true
	case owner.Name == c.Me.Name:
		return revision, "own former life", true
	case c.Follower.Unsure(owner.Name) && (c.storeBack == 0 || boottime.Now()-c.storeBack > returnGrace):
		return revision, "the store answers this process and not the owner", true
	}
	if why, dead := isDead(ctx, owner); dead {
		return revision, why, true
	}
	return 0, "", false
}

// isDead reports whether the process that owns the key has certainly ended: its port refuses connections or another
// incarnation answers. Silence proves nothing; the lease decides then.
func isDead(ctx context.Context, owner election.Owner) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := session.Dial[session.ToMember, session.FromMember](ctx, owner.Addr)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return "the owner's port is closed", true
	}
	if err != nil {
		return "", false
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	hello, err := c.Receive()
	if err != nil {
		return "", false
	}
	return "the owner's process was replaced", hello.Incarnation != owner.Incarnation
}

// stand takes the key and serves one term.
func (c *Candidate) stand(ctx context.Context, revision int64, evidence string) {
	events.Candidacy.Log(&c.Config.Log).Str("evidence", evidence).Int64("revision", revision).Send()
	began := boottime.Now()
	tenure, err := c.Key.Take(ctx, c.Me, revision)
	if err != nil {
		events.JobsReleased.Log(&c.Config.Log).AnErr("cause", err).Msg("not elected")
		return
	}
	termCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	owner, err := Recover(termCtx, c.Config, tenure, c.Me.Incarnation)
	if err != nil {
		events.JobsReleased.Log(&c.Config.Log).AnErr("cause", err).Dur("after_ms", boottime.Now()-began).Send()
		return
	}
	stop := context.AfterFunc(ctx, func() {
		owner.Resign()
		cancel()
	})
	defer stop()
	if err := owner.Run(termCtx); err != nil {
		app.Sleep(ctx, patience) // the successor introduces itself
	}
}
