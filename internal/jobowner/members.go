package jobowner

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"bamboofork/internal/app"
	"bamboofork/internal/boottime"
	"bamboofork/internal/events"
	"bamboofork/internal/placement"
	"bamboofork/internal/session"
	"bamboofork/internal/store"
)

// MemberPrefix is the store key prefix under which entries and agents announce the address at which the owner can reach them.
const MemberPrefix = "member/"

// Member is the value of an announcement key under MemberPrefix.
type Member struct {
	Name  string `json:"name"`
	Addr  string `json:"addr"`
	Agent bool   `json:"agent"`
}

type conn = session.Conn[session.ToMember, session.FromMember]

// member is the owner's view of one entry or agent.
type member struct {
	Member
	addrReplaced chan struct{} // closed when the address is replaced
	conn         *conn
	worker       *session.Worker
	// synced is set once the current connection has delivered a complete list of runs.
	synced           bool
	lastMessageAt    time.Duration // boot time of the last message; start of the term if there was none
	lastReportSeq    int64         // number of the newest report, acknowledged to the agent
	commandSeq       int64         // number of the newest message sent on this connection
	ackLifetime      int64         // worker lifetime that ackEnds belongs to
	ackEnds          int64         // newest durable run end; the worker may forget its ends up to this number
	ackSent          int64         // newest ackEnds sent on this connection
	lastMoveMs       int64         // boot time of the last move of a best-effort run to another worker
	lastPoll         int64         // newest worker poll that the interference model has observed
	bestEffortPaused bool          // the agent slows best-effort runs; no further ones are placed on its worker
	blockedUntil     time.Duration // boot time before which nothing is placed here, after a refused start

	starts []session.Start
	stops  []session.Stop
	// runResources holds the resources of runs that the agent found on its worker.
	runResources []session.Start
	paces        []session.Pace
	startTasks   []*placedTask // tasks of starts, in the same order
}

func (m *member) close() {
	if m.conn != nil {
		m.conn.Close()
		m.conn = nil
	}
}

func (m *member) live() bool { return m.conn != nil && m.synced }

const (
	// minRedialDelay and maxRedialDelay bound the delay between attempts to connect to a member.
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = time.Second
	// relistInterval is how often the members are listed again, in case a watch missed a change.
	relistInterval = 5 * time.Second
	// heartbeatInterval is how often the owner sends a message to every member; several intervals fit into session.IdleTimeout.
	heartbeatInterval = 300 * time.Millisecond
)

// membersLoop watches the announcements in the store and keeps a connection to each member.
func (o *Owner) membersLoop(ctx context.Context, wg *sync.WaitGroup) {
	unavailable := false
	for ctx.Err() == nil {
		rev, err := o.listMembers(ctx, wg)
		if err != nil {
			if !unavailable {
				unavailable = true
				events.StoreUnavailable.Log(&o.cfg.Log).Str("for", "members").Int("known", o.memberCount()).Err(err).Send()
			}
			app.Sleep(ctx, retryDelay)
			continue
		}
		if unavailable {
			unavailable = false
			events.StoreRecovered.Log(&o.cfg.Log).Str("for", "members").Int64("revision", rev).Send()
		}
		o.watchMembers(ctx, wg, rev)
	}
}

func (o *Owner) memberCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.members)
}

func (o *Owner) listMembers(ctx context.Context, wg *sync.WaitGroup) (int64, error) {
	callCtx, cancel := context.WithTimeout(ctx, recoverTimeout)
	defer cancel()
	kvs, rev, err := o.cfg.Store.List(callCtx, MemberPrefix, store.PrefixEnd(MemberPrefix), 0)
	for _, kv := range kvs {
		o.updateMember(ctx, wg, kv.Value)
	}
	return rev, err
}

func (o *Owner) watchMembers(ctx context.Context, wg *sync.WaitGroup, rev int64) {
	watchCtx, cancel := context.WithTimeout(ctx, relistInterval)
	defer cancel()
	ch, err := o.cfg.Store.Watch(watchCtx, MemberPrefix, rev+1)
	if err != nil {
		app.Sleep(ctx, retryDelay)
		return
	}
	for batch := range ch {
		for _, ev := range batch.Events {
			if !ev.Deleted {
				o.updateMember(ctx, wg, ev.KV.Value)
			}
		}
		if batch.Err != nil {
			return
		}
	}
}

func (o *Owner) updateMember(ctx context.Context, wg *sync.WaitGroup, value []byte) {
	var announced Member
	if err := json.Unmarshal(value, &announced); err != nil || announced.Name == "" {
		events.MemberUnreadable.Log(&o.cfg.Log).AnErr("cause", err).Send()
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	m := o.members[announced.Name]
	if m != nil && m.Member == announced {
		return
	}
	if m == nil {
		m = &member{lastMessageAt: o.startedAt}
		o.members[announced.Name] = m
	} else {
		close(m.addrReplaced)
		m.close()
	}
	m.Member, m.addrReplaced = announced, make(chan struct{})
	addrReplaced := m.addrReplaced
	wg.Go(func() { o.keepConnected(ctx, m, announced.Addr, addrReplaced) })
}

// keepConnected keeps a connection to the member until its address is replaced or ctx is done.
func (o *Owner) keepConnected(ctx context.Context, m *member, addr string, addrReplaced <-chan struct{}) {
	delay, logged := minRedialDelay, false
	for ctx.Err() == nil {
		select {
		case <-addrReplaced:
			return
		default:
		}
		c, err := session.Dial[session.ToMember, session.FromMember](ctx, addr)
		if err == nil {
			delay, logged = minRedialDelay, false
			o.serveMember(ctx, m, c)
		} else if !logged && ctx.Err() == nil {
			logged = true
			events.MemberLost.Log(&o.cfg.Log).Str("member", m.Name).Str("addr", addr).Err(err).Msg("could not connect to the member")
		}
		app.Sleep(ctx, delay)
		delay = min(2*delay, maxRedialDelay)
	}
}

func (o *Owner) serveMember(ctx context.Context, m *member, c *conn) {
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	o.mu.Lock()
	m.close()
	m.conn, m.synced, m.commandSeq, m.ackSent, m.lastPoll = c, false, 0, 0, 0
	for _, p := range o.placed[m.Name] {
		p.task.CommandSeq = 0 // the first list of runs on this connection reflects all earlier commands
	}
	c.Send(session.ToMember{Epoch: o.epoch, Owner: o.cfg.Name, LeaseValid: o.ownership.LeaseValid()})
	o.mu.Unlock()
	events.MemberReached.Log(&o.cfg.Log).Str("member", m.Name).Str("addr", m.Addr).Send()
	var err error
	for {
		var msg session.FromMember
		if msg, err = c.Receive(); err != nil {
			break
		}
		o.mu.Lock()
		if m.conn == c {
			o.handleMessage(m, &msg)
		}
		o.mu.Unlock()
		if msg.Name != "" && msg.Name != m.Name {
			err = eris.Errorf("%s identifies itself as %s", m.Addr, msg.Name)
			break
		}
	}
	c.Close()
	o.mu.Lock()
	defer o.mu.Unlock()
	if m.conn == c {
		m.conn, m.synced = nil, false
	}
	events.MemberLost.Log(&o.cfg.Log).Str("member", m.Name).AnErr("cause", err).Send()
}

func (o *Owner) handleMessage(m *member, msg *session.FromMember) {
	m.lastMessageAt = boottime.Now()
	if msg.ReportSeq > m.lastReportSeq || !m.synced {
		m.lastReportSeq = msg.ReportSeq
	}
	if m.Agent {
		o.handleReport(m, msg)
	}
	for i := range msg.Requests {
		o.handleRequest(m, &msg.Requests[i])
	}
}

// heartbeatLoop sends a message to every member at the heartbeat interval.
func (o *Owner) heartbeatLoop(ctx context.Context) {
	app.Every(ctx, heartbeatInterval, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.storeStalled() {
			o.rejectUncommitted()
		}
		for _, m := range o.members {
			o.sendCommands(m, true)
		}
	})
}

// sendQueuedCommands sends every member the commands that the last record made durable.
func (o *Owner) sendQueuedCommands() {
	for _, m := range o.members {
		o.sendCommands(m, false)
	}
}

// sendCommands sends the commands and acknowledgements queued for the member. With always set it sends a message even if there
// are none.
func (o *Owner) sendCommands(m *member, always bool) {
	starts, stops, startTasks := m.starts, m.stops, m.startTasks
	m.starts, m.stops, m.startTasks = nil, nil, nil
	leaseValid := o.ownership.LeaseValid()
	if m.conn == nil || (len(starts) > 0 && !leaseValid) {
		o.endUnsentStarts(m, startTasks)
		starts = nil
	}
	if m.conn == nil {
		return
	}
	newAcks := m.ackEnds > m.ackSent
	if len(starts) == 0 && len(m.runResources) == 0 && len(m.paces) == 0 && len(stops) == 0 && !newAcks && !always {
		return
	}
	msg := session.ToMember{LeaseValid: leaseValid, StoreUnreachable: o.storeStalled(), Starts: starts, Stops: stops,
		RunResources: m.runResources, Paces: m.paces, AckLifetime: m.ackLifetime, AckEnds: m.ackEnds}
	if leaseValid && !msg.StoreUnreachable {
		// A successor may already have taken over while the old lease is still renewed. Holds must not be extended beyond
		// the end that the successor assumes.
		msg.AckReport = m.lastReportSeq
	}
	m.runResources, m.paces = nil, nil
	m.commandSeq++
	msg.Seq = m.commandSeq
	for _, p := range startTasks {
		p.task.Sent, p.task.CommandSeq = true, m.commandSeq
	}
	m.ackSent = m.ackEnds
	m.conn.Send(msg)
}

func rackOf(labels []string) string {
	if len(labels) == 0 {
		return ""
	}
	return labels[len(labels)-1]
}

func capacityOf(w *session.Worker) placement.Resources {
	return placement.Resources{CPU: w.CPU, MemMB: w.MemMB, GPU: w.GPU}
}
