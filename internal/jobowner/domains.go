package jobowner

import (
	"context"
	"time"

	"bamboofork/internal/app"
	"bamboofork/internal/boottime"
	"bamboofork/internal/domains"
	"bamboofork/internal/events"
	"bamboofork/internal/jobs"
	"bamboofork/internal/session"
)

// DomainReader reads which failure domains operators have taken out of service.
type DomainReader interface {
	// OutOfService returns the state with the revision of the store at which it was read. It fails if the store does not answer.
	OutOfService(ctx context.Context) (domains.State, error)
}

const (
	// domainsReadShare is the interval between two reads as a share of Config.DomainsApply. Several reads and their repetition fit into
	// that time.
	domainsReadShare       = 0.1
	minDomainsReadInterval = 200 * time.Millisecond
	maxDomainsReadInterval = time.Second
	// domainsReadTimeout bounds one read.
	domainsReadTimeout = time.Second
	// minDomainsRetryDelay is the delay before the first repetition of a read that failed. It doubles up to the interval.
	minDomainsRetryDelay = 100 * time.Millisecond
	// maxDomainsWait is how long an owner places nothing because it has not read the state yet. Operators allow a task that fits a wait
	// of 3 s.
	maxDomainsWait = 2 * time.Second
	// domainsReportInterval is the interval between two reports of the runs in a failure domain that is out of service.
	domainsReportInterval = time.Second
)

// domainView is the owner's view of the failure domains.
type domainView struct {
	state      domains.State            // newest that this owner has read or a member has told
	hasRead    bool                     // this owner has read the state in its term
	changes    int64                    // number of changes of the set of domains; 0: the state is not known
	returnedAt map[string]time.Duration // boot time at which each failure domain was last put back into service
	reportedAt time.Duration            // boot time of the last report of the runs in domains out of service
	// waitExceeded is true once this owner has placed without having read the state.
	waitExceeded bool
}

// domainsReadInterval returns the interval between two reads of the state.
func (c *Config) domainsReadInterval() time.Duration {
	return min(maxDomainsReadInterval, max(minDomainsReadInterval, time.Duration(domainsReadShare*float64(c.DomainsApply))))
}

// domainsLoop reads the state of the failure domains until ctx is done.
func (o *Owner) domainsLoop(ctx context.Context) {
	if o.cfg.Domains == nil {
		return
	}
	interval, retryDelay, unavailable := o.cfg.domainsReadInterval(), minDomainsRetryDelay, false
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, domainsReadTimeout)
		state, err := o.cfg.Domains.OutOfService(callCtx)
		cancel()
		if err != nil {
			if !unavailable && ctx.Err() == nil {
				unavailable = true
				events.StoreUnavailable.Log(&o.cfg.Log).Str("for", "failure domains").Err(err).Send()
			}
			app.Sleep(ctx, retryDelay)
			retryDelay = min(2*retryDelay, interval)
			continue
		}
		if unavailable {
			unavailable = false
			events.StoreRecovered.Log(&o.cfg.Log).Str("for", "failure domains").Int64("revision", state.Revision).Send()
		}
		retryDelay = minDomainsRetryDelay
		o.mu.Lock()
		if !o.domains.hasRead {
			o.domains.hasRead = true
			o.wakeCommitLoop()
		}
		o.setDomains(state)
		o.mu.Unlock()
		app.Sleep(ctx, interval)
	}
}

// mayPlace reports whether enough is known of the failure domains to start tasks.
func (o *Owner) mayPlace() bool {
	if o.cfg.Domains == nil || o.domains.hasRead || o.domains.waitExceeded {
		return true
	}
	if boottime.Now() < o.servingSince+maxDomainsWait {
		return false
	}
	o.domains.waitExceeded = true
	events.DomainsUnknown.Log(&o.cfg.Log).Int64("known_revision", o.domains.state.Revision).Strs("out_of_service", o.domains.state.OutOfService).Send()
	return true
}

// setDomains applies the state if it is newer than the known one, and passes a change on to all members at once.
func (o *Owner) setDomains(state domains.State) {
	previous := o.domains.state
	if state.Revision <= previous.Revision {
		return
	}
	o.domains.state = state
	if o.domains.changes > 0 && state.SameDomains(previous) {
		return
	}
	o.domains.changes++
	for _, name := range state.OutOfService {
		if !previous.IsOutOfService(name) {
			events.DomainClosed.Log(&o.cfg.Log).Str("domain", name).Int64("revision", state.Revision).Int("out_of_service", len(state.OutOfService)).Send()
		}
	}
	for _, name := range previous.OutOfService {
		if !state.IsOutOfService(name) {
			o.domains.returnedAt[name] = boottime.Now()
			events.DomainReopened.Log(&o.cfg.Log).Str("domain", name).Int64("revision", state.Revision).Int("out_of_service", len(state.OutOfService)).Send()
		}
	}
	o.cfg.Metrics.Gauge("owner_domains_out_of_service").Update(int64(len(state.OutOfService)))
	o.dropStartsOutOfService()
	o.domains.reportedAt = 0
	o.reportDomains()
	for _, member := range o.members {
		o.sendCommands(member, true)
	}
	o.wakeCommitLoop()
}

// learnDomains applies what a member knows from earlier owners. The member gets the state of this owner in return, whose revision has
// risen since it was sent last. An owner that does not read the state ignores it, because the state would stay for ever.
func (o *Owner) learnDomains(member *memberView, told *session.Domains) {
	if o.cfg.Domains == nil {
		return
	}
	member.announcedDomains = 0
	o.setDomains(told.State())
}

// unannouncedDomains returns the state of the failure domains if the member was not told of its last change on this connection.
func (o *Owner) unannouncedDomains(member *memberView) *session.Domains {
	if member.announcedDomains == o.domains.changes {
		return nil
	}
	return session.DomainsOf(o.domains.state)
}

// isOutOfService reports whether the member's worker is in a failure domain that is out of service.
func (o *Owner) isOutOfService(member *memberView) bool {
	return member != nil && member.worker != nil && o.domains.state.IsOutOfService(member.worker.Zone)
}

// dropStartsOutOfService ends the runs in domains out of service whose start command was not sent. The other members of a gang do not
// start without them.
func (o *Owner) dropStartsOutOfService() {
	for name, tasks := range o.placedByAgent {
		if !o.isOutOfService(o.members[name]) {
			continue
		}
		for _, placed := range tasks {
			if placed.task.StartMaybeSent {
				continue
			}
			o.cfg.Metrics.Counter("owner_starts_dropped_out_of_service").Inc(1)
			o.endRun(placed, jobs.EndLost, "", "the failure domain was taken out of service")
			if placed.step.Gang {
				o.stopGang(placed)
			}
		}
	}
}

// stopGang ends or stops the runs of the gang of a task that cannot start.
func (o *Owner) stopGang(lost *placedTask) {
	for name, tasks := range o.placedByAgent {
		for _, placed := range tasks {
			switch {
			case placed.job != lost.job || placed.id.Occurrence != lost.id.Occurrence || placed.id.Step != lost.id.Step || placed.task.Stopping:
			case placed.task.StartMaybeSent:
				o.stopRun(name, placed, "another member of the gang cannot start")
			default:
				o.endRun(placed, jobs.EndLost, "", "another member of the gang cannot start")
			}
		}
	}
}

// reportDomains logs what still runs in the failure domains out of service, and counts it, once per domainsReportInterval. Workers that
// are not connected to this owner since its term began belong to no known domain.
func (o *Owner) reportDomains() {
	now := boottime.Now()
	if o.cfg.Domains == nil || now < o.domains.reportedAt+domainsReportInterval {
		return
	}
	o.domains.reportedAt = now
	total, unknown := 0, 0
	for name, tasks := range o.placedByAgent {
		if member := o.members[name]; member == nil || member.worker == nil {
			unknown += len(tasks)
		}
	}
	for _, domain := range o.domains.state.OutOfService {
		workers, runs, perpetual, bestEffort := 0, 0, 0, 0
		for name, member := range o.members {
			if member.worker == nil || member.worker.Zone != domain {
				continue
			}
			workers++
			runs += len(o.placedByAgent[name])
			for _, placed := range o.placedByAgent[name] {
				if placed.step.Perpetual {
					perpetual++
				} else if placed.step.BestEffort {
					bestEffort++
				}
			}
		}
		total += runs
		events.DomainRuns.Log(&o.cfg.Log).Str("domain", domain).Int("workers", workers).Int("runs", runs).Int("perpetual", perpetual).
			Int("best_effort", bestEffort).Int("runs_of_unknown_domain", unknown).Send()
	}
	o.cfg.Metrics.Gauge("owner_runs_out_of_service").Update(int64(total))
}
