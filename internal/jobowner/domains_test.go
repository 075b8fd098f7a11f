package jobowner

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/boottime"
	"bamboofork/internal/domains"
	"bamboofork/internal/jobs"
	"bamboofork/internal/session"
	"bamboofork/internal/store/memstore"
)

// scriptedDomains returns the results of its script, the last one for ever.
type scriptedDomains struct {
	script []func() (domains.State, error)
	reads  int
}

func (d *scriptedDomains) OutOfService(context.Context) (domains.State, error) {
	next := d.script[min(d.reads, len(d.script)-1)]
	d.reads++
	return next()
}

func answers(revision int64, outOfService ...string) func() (domains.State, error) {
	return func() (domains.State, error) {
		return domains.State{Revision: revision, OutOfService: outOfService}, nil
	}
}

func fails() (domains.State, error) { return domains.State{}, errors.New("no answer") }

// addAgentIn adds a connected agent whose worker of 16 cores is in the failure domain. It returns the agent's end of the connection.
func addAgentIn(t *testing.T, o *Owner, name, domain string) (*memberView, *session.Conn[session.FromMember, session.ToMember]) {
	localEnd, remoteEnd := net.Pipe()
	c := session.New[session.ToMember, session.FromMember](localEnd)
	remote := session.New[session.FromMember, session.ToMember](remoteEnd)
	t.Cleanup(c.Close)
	t.Cleanup(remote.Close)
	member := &memberView{Member: Member{Name: name, Agent: true}, conn: c, runsListed: true, lastReportAt: boottime.Now(),
		worker: &session.Worker{ID: "i-" + name, Lifetime: 7, Service: "s", Zone: domain, CPU: 16_000, MemMB: 100_000}}
	o.members[name] = member
	return member, remote
}

func newDomainsOwner(t *testing.T) *Owner {
	o := newTestOwner(t, memstore.New())
	o.cfg.Domains, o.servingSince = &scriptedDomains{script: []func() (domains.State, error){fails}}, boottime.Now()
	return o
}

func submitSteps(o *Owner, id string, steps ...jobs.Step) {
	o.apply(jobs.Change{Submit: &jobs.Job{ID: id, Queue: jobs.Queue{Service: "s"}, Spec: jobs.Spec{Steps: steps}, AcceptedMs: wallTimeMs()}})
	o.activeJobs[id] = o.jobsState.Jobs[id]
}

// Guards against an owner that starts tasks in a failure domain out of service because it has not read the state yet, and against one that
// starts nothing at all because this one read fails.
func TestNewOwnerReadsTheDomainsBeforeItPlaces(t *testing.T) {
	o := newDomainsOwner(t)
	addAgentIn(t, o, "host-1", "z0")
	addAgentIn(t, o, "host-2", "z1")
	submitSteps(o, "aaaaaaaaaaaaaaaa", jobs.Step{Count: 20, CPU: 1000, EstimateMs: 1000})
	o.plan()
	qt.Check(t, len(o.placedByAgent["host-1"])+len(o.placedByAgent["host-2"]), qt.Equals, 0)
	o.domains.hasRead = true
	o.setDomains(domains.State{Revision: 5, OutOfService: []string{"z0"}})
	o.plan()
	qt.Check(t, o.placedByAgent["host-1"], qt.HasLen, 0)
	qt.Check(t, o.placedByAgent["host-2"], qt.HasLen, 16)

	unread := newDomainsOwner(t)
	member, _ := addAgentIn(t, unread, "host-1", "z0")
	addAgentIn(t, unread, "host-2", "z1")
	submitSteps(unread, "aaaaaaaaaaaaaaaa", jobs.Step{Count: 20, CPU: 1000, EstimateMs: 1000})
	unread.handleMessage(member, &session.FromMember{Domains: &session.Domains{Revision: 5, OutOfService: []string{"z0"}}})
	unread.plan()
	qt.Check(t, unread.placedByAgent["host-2"], qt.HasLen, 0)
	unread.servingSince -= maxDomainsWait
	unread.plan()
	qt.Check(t, unread.placedByAgent["host-1"], qt.HasLen, 0, qt.Commentf("a member knows that the domain is out of service"))
	qt.Check(t, unread.placedByAgent["host-2"], qt.HasLen, 16)
}

// Checks that reads which fail are repeated soon, that a change takes effect with the first read that succeeds, that an older state never
// comes back, and that the state stays while the store does not answer.
func TestDomainsAreReadAgainAfterFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newTestOwner(t, memstore.New())
		reader := &scriptedDomains{script: []func() (domains.State, error){fails, fails, answers(5), answers(9, "z0"), answers(8), fails, fails, fails,
			answers(12, "z0", "no-such-domain"), answers(15)}}
		o.cfg.Domains, o.cfg.DomainsApply = reader, 5*time.Second
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go o.domainsLoop(ctx)
		known := func(after time.Duration) (bool, []string) {
			time.Sleep(after)
			synctest.Wait()
			o.mu.Lock()
			defer o.mu.Unlock()
			return o.domains.hasRead, o.domains.state.OutOfService
		}
		check := func(after time.Duration, read bool, want ...string) {
			hasRead, outOfService := known(after)
			qt.Check(t, hasRead, qt.Equals, read)
			qt.Check(t, len(outOfService), qt.Equals, len(want), qt.Commentf("%v", outOfService))
		}
		check(10*time.Millisecond, false)
		check(300*time.Millisecond, true)
		check(500*time.Millisecond, true, "z0")
		check(500*time.Millisecond, true, "z0") // an older state
		check(900*time.Millisecond, true, "z0") // no answer
		check(700*time.Millisecond, true, "z0", "no-such-domain")
		check(500*time.Millisecond, true)
		qt.Check(t, o.cfg.Metrics.Values()["owner_domains_out_of_service"], qt.Equals, int64(0))
	})
}

// Guards against starts that are sent into a failure domain after it was taken out of service, and against members of a gang that start
// without the others. A run whose start was sent goes on.
func TestStartsThatWereNotSentAreDroppedWhenTheDomainCloses(t *testing.T) {
	o := newDomainsOwner(t)
	o.domains.hasRead = true
	o.setDomains(domains.State{Revision: 5})
	addAgentIn(t, o, "host-1", "z0")
	addAgentIn(t, o, "host-2", "z1")
	submitSteps(o, "aaaaaaaaaaaaaaaa", jobs.Step{Count: 2, CPU: 1000, EstimateMs: 1000})
	o.plan()
	sent := o.placedByAgent["host-1"]["aaaaaaaaaaaaaaaa.0.0.0"]
	if sent == nil {
		sent = o.placedByAgent["host-1"]["aaaaaaaaaaaaaaaa.0.0.1"]
	}
	qt.Assert(t, sent, qt.IsNotNil)
	sent.task.StartMaybeSent, o.pendingEffects = true, nil
	submitSteps(o, "bbbbbbbbbbbbbbbb", jobs.Step{Count: 6, CPU: 4000, EstimateMs: 1000, Gang: true})
	submitSteps(o, "cccccccccccccccc", jobs.Step{Count: 2, CPU: 1000, EstimateMs: 1000})
	o.plan()
	qt.Assert(t, len(o.placedByAgent["host-1"])+len(o.placedByAgent["host-2"]), qt.Equals, 10)
	before := len(o.placedByAgent["host-2"])
	gangThere := 0
	for _, placed := range o.placedByAgent["host-2"] {
		if placed.step.Gang {
			gangThere++
		}
	}
	qt.Assert(t, gangThere > 0 && gangThere < 6, qt.IsTrue)
	o.setDomains(domains.State{Revision: 9, OutOfService: []string{"z0"}})
	qt.Check(t, o.placedByAgent["host-1"], qt.HasLen, 1)
	qt.Check(t, o.placedByAgent["host-2"], qt.HasLen, before-gangThere)
	qt.Check(t, sent.task.State, qt.Equals, jobs.TaskPlaced)
	qt.Check(t, sent.task.Stopping, qt.IsFalse)
	qt.Check(t, o.cfg.Metrics.Values()["owner_runs_out_of_service"], qt.Equals, int64(1))
	qt.Check(t, o.cfg.Metrics.Values()["owner_domains_out_of_service"], qt.Equals, int64(1))
	runEffects(o.pendingEffects)
	qt.Check(t, o.members["host-1"].starts, qt.HasLen, 0)
}

// Guards against an agent that refuses starts for ever, because it was told of an evacuation that the next owner does not know: owner
// and member take the state with the higher revision, whichever of them has it.
func TestOwnerAndMemberAgreeOnTheNewestDomains(t *testing.T) {
	o := newDomainsOwner(t)
	member, remote := addAgentIn(t, o, "host-1", "z0")
	receive := func() *session.Domains {
		for {
			msg, err := remote.Receive()
			qt.Assert(t, err, qt.IsNil)
			if msg.Domains != nil {
				return msg.Domains
			}
		}
	}
	o.setDomains(domains.State{Revision: 5})
	qt.Check(t, receive().Revision, qt.Equals, int64(5))
	o.setDomains(domains.State{Revision: 12}) // no change, so that the member is not told
	o.handleMessage(member, &session.FromMember{Domains: &session.Domains{Revision: 9, OutOfService: []string{"z0"}}})
	qt.Check(t, o.isOutOfService(member), qt.IsFalse)
	o.sendCommands(member, true)
	qt.Check(t, receive(), qt.DeepEquals, &session.Domains{Revision: 12})

	o.handleMessage(member, &session.FromMember{Domains: &session.Domains{Revision: 20, OutOfService: []string{"z0"}}})
	qt.Check(t, o.isOutOfService(member), qt.IsTrue)
	qt.Check(t, receive().Revision, qt.Equals, int64(20))
	o.setDomains(domains.State{Revision: 25})
	qt.Check(t, o.isOutOfService(member), qt.IsFalse)
	qt.Check(t, receive(), qt.DeepEquals, &session.Domains{Revision: 25})
	member.worker = &session.Worker{Zone: "z1"}
	o.setDomains(domains.State{Revision: 30, OutOfService: []string{"z1"}})
	qt.Check(t, o.isOutOfService(member), qt.IsTrue, qt.Commentf("the worker has come back in another domain"))
}

// Guards against a failure domain that stays closed for ever under an owner that does not read the state, because a member knows it from
// an owner that did.
func TestOwnerWithoutEvacuationIgnoresWhatMembersKnow(t *testing.T) {
	o := newTestOwner(t, memstore.New())
	member, _ := addAgentIn(t, o, "host-1", "z0")
	o.handleMessage(member, &session.FromMember{Domains: &session.Domains{Revision: 9, OutOfService: []string{"z0"}}})
	qt.Check(t, o.isOutOfService(member), qt.IsFalse)
}

// Guards against asking for advice about workers on which nothing may start, and against waiting for the end of tickets that are all for
// such workers.
func TestAdviceIsAskedForOpenWorkersOnly(t *testing.T) {
	o := newDomainsOwner(t)
	o.cfg.Adviser = struct{ Adviser }{}
	addAgentIn(t, o, "host-1", "z0")
	addAgentIn(t, o, "host-2", "z1")
	o.setDomains(domains.State{Revision: 5, OutOfService: []string{"z0"}})
	advice := &stepAdvice{queriedWorkerIDs: map[string]bool{}}
	qt.Check(t, o.workersNotQueried(advice, "s"), qt.DeepEquals, []string{"i-host-2"})
	job := &jobs.Job{ID: "aaaaaaaaaaaaaaaa", Queue: jobs.Queue{Service: "s", AdviceMs: 5}}
	o.adviceByStep[stepKey(job.ID, 0, 0)] = &stepAdvice{queriedWorkerIDs: map[string]bool{"i-host-1": true}, ticketByWorkerID: map[string]string{"i-host-1": "t"},
		expiresAt: boottime.Now() + time.Minute}
	o.agentsWithTickets(job, 0, 0)
	qt.Check(t, (<-o.adviceRequests).workerIDs, qt.DeepEquals, []string{"i-host-2"})
}
