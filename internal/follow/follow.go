// Package follow is the side of an entry or agent that the owner of the jobs connects to. It accepts the owner with the
// highest epoch, remembers when that owner was last sure of its lease, and announces the process in the store.
package follow

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

// Conn is the connection to the owner.
type Conn = session.Conn[session.FromMember, session.ToMember]

// Follower holds the connection to the present owner. mu guards the fields below it; the callbacks run without it.
type Follower struct {
	Name        string
	Incarnation string
	Log         zerolog.Logger
	// Adopted is called with each new owner's connection before its messages; Message with each message.
	Adopted func(c *Conn)
	Message func(c *Conn, m *session.ToMember)

	mu        sync.Mutex
	epoch     int64
	conn      *Conn
	confirmed time.Duration // boot time of the last message from an owner that was sure of its lease
	resigned  bool
	unsure    bool   // the store does not answer the owner
	owner     string // name of the owner's process
}

// Listen accepts owners on the address until ctx ends.
func (f *Follower) Listen(ctx context.Context, addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrapf(err, "listen for the owner on %s", addr)
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
			return eris.Wrap(err, "accept an owner")
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
	if err != nil || !f.adopt(c, &first) {
		return
	}
	f.Adopted(c)
	m := &first
	for {
		f.note(c, m)
		f.Message(c, m)
		next, err := c.Receive()
		if err != nil {
			f.gone(c, err)
			return
		}
		m = &next
	}
}

func (f *Follower) adopt(c *Conn, m *session.ToMember) bool {
	f.mu.Lock()
	if m.Epoch < f.epoch {
		f.mu.Unlock()
		return false
	}
	old := f.conn
	f.conn, f.epoch, f.owner, f.resigned, f.unsure = c, m.Epoch, m.Owner, false, false
	f.mu.Unlock()
	if old != nil {
		old.Close()
	}
	events.OwnerSeen.Log(&f.Log).Str("owner", m.Owner).Int64("epoch", m.Epoch).Str("addr", c.Remote()).Send()
	return true
}

func (f *Follower) note(c *Conn, m *session.ToMember) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn != c {
		return
	}
	if m.Confirmed {
		f.confirmed = boottime.Now()
	}
	f.resigned = f.resigned || m.Resigned
	f.unsure = m.Unsure
}

func (f *Follower) gone(c *Conn, cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn != c {
		return
	}
	f.conn = nil
	events.OwnerGone.Log(&f.Log).Int64("epoch", f.epoch).AnErr("cause", cause).
		Int64("confirmed_ms_ago", (boottime.Now() - f.confirmed).Milliseconds()).Send()
}

// Conn returns the connection to the owner, or nil.
func (f *Follower) Conn() *Conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.resigned {
		return nil
	}
	return f.conn
}

// Served reports whether a connected owner was sure of its lease within the time.
func (f *Follower) Served(within time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conn != nil && !f.resigned && !f.unsure && boottime.Now()-f.confirmed < within
}

// Unsure reports whether the process is the present owner and has said that the store does not answer it.
func (f *Follower) Unsure(owner string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unsure && f.owner == owner
}

// announceRetry is the pause between attempts to announce; the process is of no use before.
const announceRetry = 250 * time.Millisecond

// announceTimeout bounds one attempt.
const announceTimeout = 800 * time.Millisecond

// Announce writes the value under the key until it is stored.
func Announce(ctx context.Context, st store.Store, log *zerolog.Logger, key string, v any) error {
	value, err := json.Marshal(v)
	if err != nil {
		return eris.Wrap(err, "encode announcement")
	}
	for ctx.Err() == nil {
		if err := announceOnce(ctx, st, key, value); err == nil {
			return nil
		} else {
			events.AnnouncementTried.Log(log).Str("key", key).Err(err).Send()
		}
		app.Sleep(ctx, announceRetry)
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
