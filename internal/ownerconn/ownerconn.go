// Package ownerconn is the member side of the connection between the owner of the jobs and an entry or agent. A Follower
// accepts the owner with the highest epoch and tracks when that owner last confirmed its lease. Announce writes the address of
// the process to the store, so that the owner can connect to the process.
package ownerconn

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bamboofork/internal/app"
	"bamboofork/internal/boottime"
	"bamboofork/internal/domains"
	"bamboofork/internal/events"
	"bamboofork/internal/network"
	"bamboofork/internal/session"
	"bamboofork/internal/store"
)

// Conn is a member's connection to the owner.
type Conn = session.Conn[session.FromMember, session.ToMember]

// Follower holds the connection to the current owner. mu guards the fields below mu and is not held during callbacks.
type Follower struct {
	Name        string
	Incarnation string
	Log         zerolog.Logger
	// OwnerConnected is called with the connection of each new owner, before HandleMessage is called with the first message of
	// that owner. HandleMessage is called with each message.
	OwnerConnected func(conn *Conn)
	HandleMessage  func(conn *Conn, msg *session.ToMember)
	// Domains is the newest state of the failure domains that an owner has sent.
	Domains domains.Current

	mu               sync.Mutex
	ownerEpoch       int64         // highest epoch of any owner so far
	ownerSeenAt      time.Duration // boot time of the first connection of the owner with ownerEpoch
	conn             *Conn
	confirmedAt      time.Duration // boot time of the last message with a confirmed lease
	ownerResigned    bool
	storeUnreachable bool   // the owner cannot reach the store
	ownerName        string // process name of the owner
	agentCount       int    // number of agents that the last owner reported; 0: not reported yet
	// silentSince holds the boot time since which the current owner has heard nothing from an agent, by the number of the silence.
	silentSince map[int64]time.Duration
	earlier     []followedOwner          // the owners before the current one, newest first, at most maxEarlierOwners
	departures  map[string]endedLifetime // by agent
}

// maxEarlierOwners is the number of earlier owners that a Follower remembers.
const maxEarlierOwners = 8

// endedLifetime is a lifetime of a worker that an owner has announced as over.
type endedLifetime struct {
	lifetime int64
	notedAt  time.Duration // boot time
}

// followedOwner is what a Follower has learned from an owner that has been replaced.
type followedOwner struct {
	epoch       int64
	name        string
	seenAt      time.Duration
	silentSince map[int64]time.Duration
}

// Listen accepts connections from owners on the address until ctx is done.
func (f *Follower) Listen(ctx context.Context, on network.Network, addr string) error {
	listener, err := on.Listen(addr)
	if err != nil {
		return eris.Wrapf(err, "listen for owner connections on %s", addr)
	}
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return eris.Wrap(err, "accept owner connection")
		}
		if err != nil { // for instance no free file descriptors
			events.AcceptFailed.Log(&f.Log).Err(err).Send()
			app.Sleep(ctx, acceptRetryDelay)
			continue
		}
		wg.Go(func() { f.serve(ctx, session.New[session.FromMember, session.ToMember](conn)) })
	}
}

// acceptRetryDelay is the delay before connections are accepted again after a failure.
const acceptRetryDelay = 50 * time.Millisecond

// serve passes the messages on a connection to HandleMessage until the connection ends. It closes the connection at once if the
// sender's epoch is lower than the epoch of an earlier owner.
func (f *Follower) serve(ctx context.Context, conn *Conn) {
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	defer conn.Close()
	conn.Send(session.FromMember{Name: f.Name, Incarnation: f.Incarnation, AcceptsBinary: true})
	first, err := conn.Receive()
	if err != nil {
		return
	}
	if !f.acceptOwner(conn, &first) {
		f.rejectOwner(conn)
		return
	}
	if told, ok := f.knowledgeForOwner(); ok {
		conn.Send(told)
	}
	f.OwnerConnected(conn)
	msg := &first
	for {
		f.updateOwnerStatus(conn, msg)
		f.HandleMessage(conn, msg)
		LogOversized(&f.Log, first.Owner, conn)
		next, err := conn.Receive()
		if err != nil {
			f.handleDisconnect(conn, err)
			return
		}
		msg = &next
	}
}

// LogOversized logs once for each connection that messages to the peer were dropped for their size.
func LogOversized(log *zerolog.Logger, peer string, conn interface {
	FirstOversized() bool
	OversizedCount() int64
}) {
	if conn.FirstOversized() {
		events.MessageTooLarge.Log(log).Str("to", peer).Int64("dropped", conn.OversizedCount()).Send()
	}
}

// acceptOwner makes the sender of the message the current owner and closes the connection to the previous owner. It returns
// false if the sender's epoch is lower than the epoch of an earlier owner.
func (f *Follower) acceptOwner(conn *Conn, msg *session.ToMember) bool {
	f.mu.Lock()
	if msg.Epoch < f.ownerEpoch {
		f.mu.Unlock()
		return false
	}
	previousConn := f.conn
	if msg.Epoch != f.ownerEpoch {
		if f.ownerEpoch != 0 {
			replaced := followedOwner{epoch: f.ownerEpoch, name: f.ownerName, seenAt: f.ownerSeenAt, silentSince: f.silentSince}
			f.earlier = slices.Insert(f.earlier[:min(len(f.earlier), maxEarlierOwners-1)], 0, replaced)
		}
		f.ownerSeenAt, f.silentSince = boottime.Now(), nil
	}
	f.conn, f.ownerEpoch, f.ownerName, f.ownerResigned, f.storeUnreachable = conn, msg.Epoch, msg.Owner, false, false
	f.mu.Unlock()
	if previousConn != nil {
		previousConn.Close()
	}
	events.OwnerSeen.Log(&f.Log).Str("owner", msg.Owner).Int64("epoch", msg.Epoch).Str("addr", conn.RemoteAddr()).Send()
	return true
}

// rejectionFlushTimeout bounds the sending of the answer to an owner that has been replaced.
const rejectionFlushTimeout = 300 * time.Millisecond

// rejectOwner tells an owner that it has been replaced. It may have no access to the store, and then learns it from no one else.
func (f *Follower) rejectOwner(conn *Conn) {
	f.mu.Lock()
	newerEpoch := f.ownerEpoch
	f.mu.Unlock()
	conn.Send(session.FromMember{NewerEpoch: newerEpoch})
	conn.Flush(rejectionFlushTimeout)
}

// updateOwnerStatus records the lease, the store access and the resignation that a message of the current owner reports.
func (f *Follower) updateOwnerStatus(conn *Conn, msg *session.ToMember) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn != conn {
		return
	}
	if msg.LeaseValid {
		f.confirmedAt = boottime.Now()
	}
	f.ownerResigned = f.ownerResigned || msg.Resigned
	f.storeUnreachable = msg.StoreUnreachable
	if msg.AgentCount > 0 {
		f.agentCount = msg.AgentCount
	}
	f.noteSilences(msg.Silences)
	f.noteDepartures(msg.Departures)
	if msg.Domains != nil {
		f.Domains.SetIfNewer(msg.Domains.State())
	}
}

// maxSilenceAge is the age from which a silence is forgotten. All holds have expired by then.
const maxSilenceAge = time.Minute

// noteSilences stores since when the owner has not heard from agents. Each message gives a time that is late by its delay, so the
// earliest time counts.
func (f *Follower) noteSilences(silences []session.Silence) {
	if len(silences) == 0 {
		return
	}
	if f.silentSince == nil {
		f.silentSince = map[int64]time.Duration{}
	}
	now := boottime.Now()
	for _, silence := range silences {
		since := now - time.Duration(silence.ForMs)*time.Millisecond
		if earlier, ok := f.silentSince[silence.Number]; !ok || since < earlier {
			f.silentSince[silence.Number] = since
		}
	}
	maps.DeleteFunc(f.silentSince, func(_ int64, since time.Duration) bool { return now-since > maxSilenceAge })
}

// noteDepartures stores the lifetimes of workers that the owner knows to be over, for later owners.
func (f *Follower) noteDepartures(departures []session.Departure) {
	if len(departures) == 0 {
		return
	}
	if f.departures == nil {
		f.departures = map[string]endedLifetime{}
	}
	now := boottime.Now()
	for _, departure := range departures {
		if departure.Lifetime > f.departures[departure.Agent].lifetime {
			f.departures[departure.Agent] = endedLifetime{lifetime: departure.Lifetime, notedAt: now}
		}
	}
	maps.DeleteFunc(f.departures, func(_ string, ended endedLifetime) bool { return now-ended.notedAt > maxSilenceAge })
}

// IsOwnerLocal reports whether the owner is a process on this host.
func (f *Follower) IsOwnerLocal() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ownerName == f.Name
}

// knowledgeForOwner returns a message with what this process has learned from earlier owners, and false if it has learned nothing.
func (f *Follower) knowledgeForOwner() (session.FromMember, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var told session.FromMember
	for i := range f.earlier {
		if owner := f.earlier[i].told(boottime.Now()); i == 0 {
			told.Previous = &owner
		} else {
			told.Earlier = append(told.Earlier, owner)
		}
	}
	for agent, ended := range f.departures {
		told.Departures = append(told.Departures, session.Departure{Agent: agent, Lifetime: ended.lifetime})
	}
	told.Domains = session.DomainsOf(f.Domains.Get())
	return told, told.Previous != nil || len(told.Departures) > 0 || told.Domains != nil
}

// told returns what is passed on about the owner. now is a boot time.
func (o *followedOwner) told(now time.Duration) session.PreviousOwner {
	told := session.PreviousOwner{Epoch: o.epoch, Name: o.name, SeenMs: (now - o.seenAt).Milliseconds()}
	for number, since := range o.silentSince {
		told.Silences = append(told.Silences, session.Silence{Number: number, ForMs: (now - since).Milliseconds()})
	}
	return told
}

// AgentCount returns the number of agents that the last owner reported, or 0 if this process has heard from no owner yet.
func (f *Follower) AgentCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.agentCount
}

// OwnerEpoch returns the epoch of the newest owner that has connected to this process, or 0 if there was none yet.
func (f *Follower) OwnerEpoch() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ownerEpoch
}

// handleDisconnect clears the connection to the owner, unless another connection has replaced it.
func (f *Follower) handleDisconnect(conn *Conn, cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn != conn {
		return
	}
	f.conn, f.storeUnreachable = nil, false // the next process of this name has not said so
	events.OwnerGone.Log(&f.Log).Int64("epoch", f.ownerEpoch).AnErr("cause", cause).
		Int64("confirmed_ms_ago", (boottime.Now() - f.confirmedAt).Milliseconds()).Send()
}

// Conn returns the connection to the owner, or nil if there is none or the owner has resigned.
func (f *Follower) Conn() *Conn {
	conn, _ := f.ConnEpoch()
	return conn
}

// ConnEpoch returns what Conn returns, and the epoch of that owner.
func (f *Follower) ConnEpoch() (*Conn, int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ownerResigned {
		return nil, f.ownerEpoch
	}
	return f.conn, f.ownerEpoch
}

// OwnerHealthy reports whether this process is connected to an owner that confirmed its lease at most maxConfirmationAge ago,
// can reach the store and has not resigned.
func (f *Follower) OwnerHealthy(maxConfirmationAge time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conn != nil && !f.ownerResigned && !f.storeUnreachable && boottime.Now()-f.confirmedAt < maxConfirmationAge
}

// OwnerStoreUnreachable reports whether the named process is the current owner, is connected, and its latest message said that the
// owner cannot reach the store.
func (f *Follower) OwnerStoreUnreachable(owner string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeUnreachable && f.ownerName == owner
}

// announceRetryDelay is the delay between two attempts to announce the process. The delay is short because a process gets no
// work before it is announced.
const announceRetryDelay = 250 * time.Millisecond

// announceTimeout bounds one attempt to announce the process.
const announceTimeout = 800 * time.Millisecond

// Announce writes an announcement as JSON under the key and retries until it is stored or ctx is done. announcement returns the value
// that replaces the stored one, which is empty if there is none.
func Announce[T any](ctx context.Context, st store.Store, log *zerolog.Logger, key string, announcement func(stored []byte) T) {
	for ctx.Err() == nil {
		err := announceOnce(ctx, st, key, announcement)
		if err == nil {
			return
		}
		events.AnnouncementFailed.Log(log).Str("key", key).Err(err).Send()
		app.Sleep(ctx, announceRetryDelay)
	}
}

// announceOnce makes one attempt to store the announcement. It writes nothing if the key already has the value.
func announceOnce[T any](ctx context.Context, st store.Store, key string, announcement func(stored []byte) T) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	kv, err := st.Get(ctx, key)
	if err != nil {
		return err
	}
	value, err := json.Marshal(announcement(kv.Value))
	if err != nil {
		return eris.Wrap(err, "encode announcement")
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
