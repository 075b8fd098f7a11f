package jobowner

import (
	"time"

	"bamboofork/internal/boottime"
	"bamboofork/internal/session"
)

// The end of a worker's lifetime is known to its agent, which may be gone before a successor connects, and to the owner, which may not be
// able to write it to the store. It is therefore also passed on to all members, which tell every later owner. It needs no record that
// could revoke it: a lifetime that is over remains so.

// departureReportTimeout is how long the agent of a departed worker has for its last report, which contains the ends of runs that no
// owner has acknowledged. The other runs of the lifetime then end as lost.
const departureReportTimeout = time.Second

// departure is the newest lifetime of a worker that is known to be over.
type departure struct {
	lifetime int64
	learned  time.Duration // boot time at which this owner has learned it
	number   int64         // order in which this owner has learned departures, from 1
}

// noteDeparture stores that a lifetime of the agent's worker has ended; 0: none has.
func (o *Owner) noteDeparture(agent string, lifetime int64) {
	if lifetime <= o.departures[agent].lifetime {
		return
	}
	o.departureCount++
	o.departures[agent] = departure{lifetime: lifetime, learned: boottime.Now(), number: o.departureCount}
}

// endRunsOfDepartedWorker ends the runs of the lifetime of a worker that has left, departureReportTimeout after that was learned. An agent
// that has listed the runs of its worker knows better than an entry in the store, which may come from another writer.
func (o *Owner) endRunsOfDepartedWorker(agent string) {
	left := o.departures[agent]
	if left.lifetime == 0 || boottime.Now() < left.learned+departureReportTimeout {
		return
	}
	if member := o.members[agent]; member != nil && member.isReady() && member.worker != nil && !member.worker.Gone {
		left.lifetime = min(left.lifetime, member.worker.Lifetime-1)
	}
	o.endRunsOfLifetime(agent, left.lifetime)
}

// unannouncedDepartures returns the departures that were not announced on the connection to the member yet.
func (o *Owner) unannouncedDepartures(member *memberView) []session.Departure {
	if member.announcedDeparture == o.departureCount {
		return nil
	}
	var departures []session.Departure
	for agent, left := range o.departures {
		if left.number > member.announcedDeparture {
			departures = append(departures, session.Departure{Agent: agent, Lifetime: left.lifetime})
		}
	}
	return departures
}
