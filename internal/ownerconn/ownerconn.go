// Package ownerconn is the member side of the connection between the owner of the jobs and an entry or agent. It accepts
// the owner with the highest epoch, tracks when that owner last confirmed its lease, and announces the process in the store.
package ownerconn

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bamboofork/internal/app"
	"bamboofork/internal/boottime"
	"bamboofork/internal/events"
	"bamboofork/internal/session"
	"bamboofork/internal/store"
)

// Conn is a member's connection to the owner.
type Conn = session.Conn[session.FromMember, session.ToMember]

// Follower holds the connection to the current owner. mu guards the fields below it and is not held during callbacks.
type Follower struct {
	Name        string
	Incarnation string
	Log         zerolog.Logger
	// OwnerConnected is called with the connection of each new owner, before its messages. HandleMessage is called with each message.
	OwnerConnected func(c *Conn)
	HandleMessage  func(c *Conn, m *session.ToMember)

	mu               sync.Mutex
	epoch            int64
	conn             *Conn
	confirmedAt      time.Duration // boot time of the last message with a confirmed lease
	resigned         bool
	storeUnreachable bool   // the owner cannot reach the store
	owner            string // process name of the owner
}

// Listen accepts connections from owners on the address until ctx is done.
func (f *Follower) Listen(ctx context.Context, addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrapf(err, "listen for owner connections on %s", addr)
	}
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "accept owner connection")
		}
		wg.Go(func() { f.serve(ctx, session.New[session.FromMember, session.ToMember](c)) })
	}
}

func (f *Follower) serve(ctx context.Context, c *Conn) {
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	defer c.Close()
	c.Send(session.FromMember{Name: f.Name, Incarnation: f.Incarnation})
	first, err := c.Receive()
	if err != nil || !f.acceptOwner(c, &first) {
		return
	}
	f.OwnerConnected(c)
	m := &first
	for {
		f.updateStatus(c, m)
		f.HandleMessage(c, m)
		next, err := c.Receive()
		if err != nil {
			f.disconnected(c, err)
			return
		}
		m = &next
	}
}

func (f *Follower) acceptOwner(c *Conn, m *session.ToMember) bool {
	f.mu.Lock()
	if m.Epoch < f.epoch {
		f.mu.Unlock()
		return false
	}
	old := f.conn
	f.conn, f.epoch, f.owner, f.resigned, f.storeUnreachable = c, m.Epoch, m.Owner, false, false
	f.mu.Unlock()
	if old != nil {
		old.Close()
	}
	events.OwnerSeen.Log(&f.Log).Str("owner", m.Owner).Int64("epoch", m.Epoch).Str("addr", c.Remote()).Send()
	return true
}

func (f *Follower) updateStatus(c *Conn, m *session.ToMember) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn != c {
		return
	}
	if m.LeaseValid {
		f.confirmedAt = boottime.Now()
	}
	f.resigned = f.resigned || m.Resigned
	f.storeUnreachable = m.StoreUnreachable
}

func (f *Follower) disconnected(c *Conn, cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn != c {
		return
	}
	f.conn = nil
	events.OwnerGone.Log(&f.Log).Int64("epoch", f.epoch).AnErr("cause", cause).
		Int64("confirmed_ms_ago", (boottime.Now() - f.confirmedAt).Milliseconds()).Send()
}

// Conn returns the connection to the owner, or nil if there is none or the owner has resigned.
func (f *Follower) Conn() *Conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.resigned {
		return nil
	}
	return f.conn
}

// OwnerHealthy reports whether a connected owner confirmed its lease within the given time, can reach the store and has not
// resigned.
func (f *Follower) OwnerHealthy(within time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conn != nil && !f.resigned && !f.storeUnreachable && boottime.Now()-f.confirmedAt < within
}

// StoreUnreachable reports whether the named process is the current owner and has reported that it cannot reach the store.
func (f *Follower) StoreUnreachable(owner string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeUnreachable && f.owner == owner
}

// announceRetryDelay is the delay between attempts. It is short because the process gets no work before it is announced.
const announceRetryDelay = 250 * time.Millisecond

// announceTimeout bounds one attempt.
const announceTimeout = 800 * time.Millisecond

// Announce retries writing the value under the key until it is stored or ctx is done.
func Announce(ctx context.Context, st store.Store, log *zerolog.Logger, key string, v any) error {
	value, err := json.Marshal(v)
	if err != nil {
		return eris.Wrap(err, "encode announcement")
	}
	for ctx.Err() == nil {
		if err := announceOnce(ctx, st, key, value); err == nil {
			return nil
		} else {
			events.AnnouncementFailed.Log(log).Str("key", key).Err(err).Send()
		}
		app.Sleep(ctx, announceRetryDelay)
	}
	return nil
}

func announceOnce(ctx context.Context, st store.Store, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	kv, err := st.Get(ctx, key)
	if err != nil {
		return err
	}
	if kv.ModRevision != 0 && string(kv.Value) == string(value) {
		return nil
	}
	res, err := st.CompareAndSwap(ctx, key, kv.ModRevision, value, 0)
	if err == nil && !res.Swapped {
		return eris.New("announcement raced with another writer")
	}
	return err
}
