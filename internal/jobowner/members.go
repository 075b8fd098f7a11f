package jobowner

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"bamboofork/internal/app"
	"bamboofork/internal/boottime"
	"bamboofork/internal/election"
	"bamboofork/internal/events"
	"bamboofork/internal/jobs"
	"bamboofork/internal/network"
	"bamboofork/internal/ownerconn"
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
	// EndedLifetime is the lifetime of the agent's worker that was over when the worker unregistered; 0: none. The host may leave with
	// its worker while no owner is connected.
	EndedLifetime int64 `json:"ended_lifetime,omitempty"`
	// MaxHoldBesideOwnerMs bounds the hold of the agent's worker while the owner is on the same host; 0: no other bound than for all holds.
	MaxHoldBesideOwnerMs int64 `json:"max_hold_beside_owner_ms,omitempty"`
	// MemoryMB is the memory of the agent's machine, which may own the jobs; 0: not known.
	MemoryMB int64 `json:"memory_mb,omitempty"`
}

type conn = session.Conn[session.ToMember, session.FromMember]

// memberView is the owner's view of one entry or agent.
type memberView struct {
	Member
	addrReplaced chan struct{} // closed when the address is replaced
	conn         *conn
	worker       *session.Worker
	// heardRecorded is true once it is queued for the log that the agent has reported in this term, heardDurable once that is durable.
	heardRecorded, heardDurable bool
	// runsListed is true once the current connection has delivered a complete list of runs.
	runsListed       bool
	lastReportAt     time.Duration // boot time of the last report whose confirmation extends the hold; 0: none in this term
	lastReportSeq    int64         // number of the newest report on this connection, acknowledged to the agent; 0: none yet
	lastSentAt       time.Duration // boot time of the last message sent by sendCommands
	commandSeq       int64         // number of the newest message sent on this connection
	ackLifetime      int64         // worker lifetime to which ackedEndSeq and sentAckSeq refer
	ackedEndSeq      int64         // number of the newest durable run end; the worker may forget the ends up to this number
	sentAckSeq       int64         // newest ackedEndSeq sent on this connection
	lastMoveAtMs     int64         // boot time of the last move of a best-effort run to another worker
	lastPollSeq      int64         // number of the newest worker poll that the interference model has observed
	announcedSilence int64         // number of the newest silence that was announced on this connection
	// announcedDeparture is the number of the newest departure that was announced on this connection.
	announcedDeparture int64
	// announcedDomains is the number of the newest change of the failure domains that was announced on this connection.
	announcedDomains int64
	bestEffortPaused bool // the agent slows best-effort runs; no further ones are placed on its worker
	sentSuspicion    placement.Suspicion
	blockedUntil     time.Duration // boot time before which nothing is placed here, after a refused start
	colocation       colocationSeen

	runList session.RunList // the parts of a list of runs that have arrived on this connection

	// Commands queued for the next messages to the member.
	starts []session.Start
	stops  []session.Stop
	// runResources holds the resources of runs that the agent found on its worker.
	runResources []session.Start
	paces        []session.Pace
	startTasks   []*placedTask // tasks of starts, in the same order
	// unackedStarts are the starts that the agent has not acknowledged on this connection, oldest first.
	unackedStarts []sentStarts
}

// sentStarts are starts that were sent together: the number of the last message with them, and their size in bytes.
type sentStarts struct {
	seq   int64
	bytes int
}

// maxUnackedStartBytes bounds the starts that are on the way to an agent. Over a thin link, what follows them must not wait longer than
// the connection may be idle.
const maxUnackedStartBytes = 512 << 10

// sendableStarts returns the number of queued starts that may be sent now, and their size. One is sent whatever its size if none is on the way.
func (m *memberView) sendableStarts() (count, bytes int) {
	window := maxUnackedStartBytes
	for _, sent := range m.unackedStarts {
		window -= sent.bytes
	}
	count, bytes = session.StartsWithin(m.starts, window)
	if count == 0 && len(m.starts) > 0 && len(m.unackedStarts) == 0 {
		return 1, m.starts[0].Msgsize()
	}
	return count, bytes
}

// handleCommandAck notes that the agent has processed the commands up to the number, and reports whether starts that are queued may be sent.
func (m *memberView) handleCommandAck(seq int64) bool {
	acked := 0
	for acked < len(m.unackedStarts) && m.unackedStarts[acked].seq <= seq {
		acked++
	}
	m.unackedStarts = m.unackedStarts[acked:]
	return acked > 0 && len(m.starts) > 0
}

// close closes the connection to the member, if there is one. The caller holds Owner.mu.
func (m *memberView) close() {
	if m.conn != nil {
		m.conn.Close()
		m.conn = nil
	}
}

// isReady reports whether the member is connected and has sent a complete list of its runs on this connection.
func (m *memberView) isReady() bool { return m.conn != nil && m.runsListed }

const (
	// minRedialDelay and maxRedialDelay bound the delay between two attempts to connect to a member.
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = time.Second
	// relistInterval is how often the announcements of the members are listed again, in case a watch missed a change.
	relistInterval = 5 * time.Second
	// heartbeatInterval is how often the owner sends a message to every member. Several intervals fit into session.IdleTimeout.
	heartbeatInterval = 300 * time.Millisecond
	// heartbeatSkipAge is the age up to which the last message to a member replaces a heartbeat: every message carries the same
	// confirmations.
	heartbeatSkipAge = 150 * time.Millisecond
)

// membersLoop watches the announcements in the store and keeps a connection to each member until ctx is done.
func (o *Owner) membersLoop(ctx context.Context, wg *sync.WaitGroup) {
	storeUnavailable := false
	for ctx.Err() == nil {
		revision, err := o.listMembers(ctx, wg)
		if err != nil {
			if !storeUnavailable {
				storeUnavailable = true
				events.StoreUnavailable.Log(&o.cfg.Log).Str("for", "members").Int("known", o.memberCount()).Err(err).Send()
			}
			app.Sleep(ctx, retryDelay)
			continue
		}
		if storeUnavailable {
			storeUnavailable = false
			events.StoreRecovered.Log(&o.cfg.Log).Str("for", "members").Int64("revision", revision).Send()
		}
		o.watchMembers(ctx, wg, revision)
	}
}

func (o *Owner) memberCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.members)
}

// listMembers lists the announcements and connects to new members. It returns the store revision of the list.
func (o *Owner) listMembers(ctx context.Context, wg *sync.WaitGroup) (int64, error) {
	callCtx, cancel := context.WithTimeout(ctx, bulkCallTimeout)
	defer cancel()
	kvs, revision, err := o.cfg.Store.List(callCtx, MemberPrefix, store.PrefixEnd(MemberPrefix), 0)
	for _, kv := range kvs {
		o.updateMember(ctx, wg, kv)
	}
	return revision, err
}

// watchMembers processes the announcements that are written after the revision. It returns when relistInterval has passed or
// the watch fails.
func (o *Owner) watchMembers(ctx context.Context, wg *sync.WaitGroup, revision int64) {
	watchCtx, cancel := context.WithTimeout(ctx, relistInterval)
	defer cancel()
	batches, err := o.cfg.Store.Watch(watchCtx, MemberPrefix, revision+1)
	if err != nil {
		app.Sleep(ctx, retryDelay)
		return
	}
	for batch := range batches {
		for _, ev := range batch.Events {
			if !ev.Deleted {
				o.updateMember(ctx, wg, ev.KV)
			}
		}
		if batch.Err != nil {
			return
		}
	}
}

// updateMember processes an announcement. If the announcement is new or has changed, updateMember starts a goroutine that
// connects to the member.
func (o *Owner) updateMember(ctx context.Context, wg *sync.WaitGroup, kv store.KV) {
	announced, ok := o.readAnnouncement(kv)
	if !ok {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	member := o.members[announced.Name]
	if member != nil && member.Addr == announced.Addr && member.Agent == announced.Agent {
		member.MaxHoldBesideOwnerMs = announced.MaxHoldBesideOwnerMs
		o.noteDeparture(announced.Name, announced.EndedLifetime)
		return
	}
	if member == nil {
		member = &memberView{}
		o.members[announced.Name] = member
		if announced.Agent {
			o.agentCount++
		}
	} else {
		close(member.addrReplaced)
		member.close()
	}
	o.noteDeparture(announced.Name, announced.EndedLifetime)
	member.Member, member.addrReplaced = announced, make(chan struct{})
	addrReplaced := member.addrReplaced
	wg.Go(func() { o.keepConnected(ctx, member, announced.Addr, addrReplaced) })
}

// keepConnected keeps a connection to the member until its address is replaced or ctx is done.
func (o *Owner) keepConnected(ctx context.Context, member *memberView, addr string, addrReplaced <-chan struct{}) {
	delay, failureLogged := minRedialDelay, false
	for ctx.Err() == nil {
		select {
		case <-addrReplaced:
			return
		default:
		}
		c, err := dialMember(ctx, o.cfg.Network, member.Name, addr)
		if err == nil {
			delay, failureLogged = minRedialDelay, false
			o.serveMember(ctx, member, c)
		} else if !failureLogged && ctx.Err() == nil {
			failureLogged = true
			events.MemberLost.Log(&o.cfg.Log).Str("member", member.Name).Str("addr", addr).Err(err).Msg("could not connect to the member")
		}
		app.Sleep(ctx, delay)
		delay = min(2*delay, maxRedialDelay)
	}
}

// dialMember connects to the member with the name. It fails if another process answers at the address, and then sends that process
// nothing: a new host may have the address of a removed one, and would take the connection for the one to its own name.
func dialMember(ctx context.Context, through network.Network, name, addr string) (*conn, error) {
	c, err := session.Dial[session.ToMember, session.FromMember](ctx, through, addr)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	hello, err := c.Receive()
	if err == nil && hello.Name != name {
		err = eris.Errorf("%s identifies itself as %s", addr, hello.Name)
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// serveMember makes c the connection to the member and processes the messages on c until the connection ends.
func (o *Owner) serveMember(ctx context.Context, member *memberView, c *conn) {
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	o.mu.Lock()
	member.close()
	member.conn, member.runsListed, member.commandSeq, member.sentAckSeq, member.lastPollSeq = c, false, 0, 0, 0
	member.announcedSilence, member.announcedDeparture, member.announcedDomains, member.sentSuspicion = 0, 0, 0, placement.Suspicion{}
	member.runList, member.unackedStarts = session.RunList{}, nil
	member.lastReportSeq = 0 // another process of the agent may use the same numbers
	for _, placed := range o.placedByAgent[member.Name] {
		placed.task.CommandSeq = 0 // the first list of runs on this connection reflects all earlier commands
	}
	c.Send(session.ToMember{Epoch: o.epoch, Owner: o.cfg.Name, AcceptsBinary: true, AcceptsParts: true, LeaseValid: o.ownership.LeaseValid()})
	o.mu.Unlock()
	events.MemberReached.Log(&o.cfg.Log).Str("member", member.Name).Str("addr", member.Addr).Send()
	var err error
	for {
		var msg session.FromMember
		if msg, err = c.Receive(); err != nil {
			break
		}
		o.mu.Lock()
		if member.conn == c {
			o.handleMessage(member, &msg)
		}
		o.mu.Unlock()
	}
	c.Close()
	o.mu.Lock()
	defer o.mu.Unlock()
	if member.conn == c {
		member.conn, member.runsListed = nil, false
	}
	events.MemberLost.Log(&o.cfg.Log).Str("member", member.Name).AnErr("cause", err).Send()
}

// handleMessage processes a message from a member: the report of an agent, or the requests of an entry.
func (o *Owner) handleMessage(member *memberView, msg *session.FromMember) {
	if msg.NewerEpoch > o.epoch {
		// Another owner has fenced the log. An owner without access to the store learns this only from the members.
		o.endTerm(election.ErrTaken)
		return
	}
	if msg.Previous != nil {
		o.learnFromMember(msg.Previous)
	}
	for i := range msg.Earlier {
		o.learnFromMember(&msg.Earlier[i])
	}
	for _, told := range msg.Departures {
		o.noteDeparture(told.Agent, told.Lifetime)
	}
	if msg.Domains != nil {
		o.learnDomains(member, msg.Domains)
	}
	if msg.ReportSeq > 0 {
		member.lastReportAt = boottime.Now()
		o.endSilence(member.Name)
		o.noteHeard(member)
	}
	member.lastReportSeq = max(member.lastReportSeq, msg.ReportSeq)
	if member.Agent {
		mayStart := member.handleCommandAck(msg.AckSeq)
		o.handleReport(member, msg)
		if mayStart {
			o.sendCommands(member, false)
		}
	}
	for i := range msg.Requests {
		o.handleRequest(member, &msg.Requests[i])
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
		now := boottime.Now()
		for _, member := range o.members {
			o.sendCommands(member, now > member.lastSentAt+heartbeatSkipAge)
		}
	})
}

// sendQueuedCommands sends every member the commands that the last record made durable.
func (o *Owner) sendQueuedCommands() {
	for _, member := range o.members {
		o.sendCommands(member, false)
	}
}

// sendCommands sends the commands, acknowledgements and silences queued for the member. If nothing is queued, it sends a message only
// if evenIfEmpty is set. The runs of start commands that cannot be sent end as lost.
func (o *Owner) sendCommands(member *memberView, evenIfEmpty bool) {
	silences, departures := o.unannouncedSilences(member), o.unannouncedDepartures(member)
	if !evenIfEmpty && len(silences)+len(departures)+len(member.starts) == 0 && !member.hasQueuedCommands() {
		return
	}
	leaseValid := o.ownership.LeaseValid()
	if member.conn == nil || !leaseValid {
		o.endUnsentStarts(member)
	}
	if member.conn == nil {
		member.stops = nil
		return
	}
	o.dropObsoleteStarts(member)
	startCount, startBytes := member.sendableStarts()
	if !evenIfEmpty && len(silences)+len(departures)+startCount == 0 && !member.hasQueuedCommands() {
		return // the queued starts wait for the agent to acknowledge earlier ones
	}
	ownerconn.LogOversized(&o.cfg.Log, member.Name, member.conn)
	msg := session.ToMember{LeaseValid: leaseValid, StoreUnreachable: o.storeStalled(), Starts: member.starts[:startCount], Stops: member.stops,
		RunResources: member.runResources, Paces: member.paces, Silences: silences, Departures: departures, AckLifetime: member.ackLifetime, AckEndSeq: member.ackedEndSeq}
	startTasks := member.startTasks[:startCount]
	member.starts, member.startTasks = member.starts[startCount:], member.startTasks[startCount:]
	msg.Suspicion, msg.Domains = o.changedSuspicion(member), o.unannouncedDomains(member)
	if evenIfEmpty {
		msg.AgentCount = o.agentCount
	}
	if o.isCurrent() && o.silences[member.Name] == nil && member.heardDurable {
		// An acknowledged report extends the holds on the worker, which must not outlast the time at which a successor assumes that
		// they have expired.
		msg.AckReportSeq = member.lastReportSeq
	}
	member.stops, member.runResources, member.paces = nil, nil, nil
	member.sentAckSeq, member.announcedSilence, member.lastSentAt = member.ackedEndSeq, o.durableSilence, boottime.Now()
	member.announcedDeparture, member.announcedDomains = o.departureCount, o.domains.changes
	parts := msg.Parts()
	for i := range parts {
		part := &parts[i]
		member.commandSeq++
		part.Seq = member.commandSeq
		for _, placed := range startTasks[:len(part.Starts)] {
			placed.task.StartMaybeSent, placed.task.CommandSeq = true, member.commandSeq
		}
		startTasks = startTasks[len(part.Starts):]
		part.AckNow = i == len(parts)-1 && len(member.starts) > 0
		member.conn.Send(*part)
	}
	if startCount > 0 { // the last part has starts, because they come last
		member.unackedStarts = append(member.unackedStarts, sentStarts{seq: member.commandSeq, bytes: startBytes})
	}
}

// dropObsoleteStarts ends the runs whose start is queued although they are to be stopped. Their tasks need no start and no stop.
func (o *Owner) dropObsoleteStarts(member *memberView) {
	kept := 0
	for i, placed := range member.startTasks {
		isQueued := o.placedByAgent[member.Name][placed.id.String()] == placed && placed.task.Run == member.starts[i].Run
		if isQueued && placed.task.Stopping && !placed.task.StartMaybeSent {
			o.endRun(placed, jobs.EndLost, "", "stopped before the start command was sent")
			isQueued = false
		}
		if isQueued {
			member.starts[kept], member.startTasks[kept] = member.starts[i], placed
			kept++
		}
	}
	member.starts, member.startTasks = member.starts[:kept], member.startTasks[:kept]
}

// hasQueuedCommands reports whether commands other than starts, or acknowledgements, are queued for the member.
func (m *memberView) hasQueuedCommands() bool {
	return len(m.stops) > 0 || len(m.runResources) > 0 || len(m.paces) > 0 || m.ackedEndSeq > m.sentAckSeq
}

// rackOf returns the last of a worker's labels, which names its rack, or "" if the worker has no labels.
func rackOf(labels []string) string {
	if len(labels) == 0 {
		return ""
	}
	return labels[len(labels)-1]
}

func capacityOf(worker *session.Worker) placement.Resources {
	return placement.Resources{CPU: worker.CPU, MemMB: worker.MemMB, GPU: worker.GPU}
}
