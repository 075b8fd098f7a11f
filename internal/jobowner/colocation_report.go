package jobowner

import (
	"time"

	"bamboofork/internal/boottime"
	"bamboofork/internal/events"
	"bamboofork/internal/placement"
)

// colocationReportInterval is the interval between two reports of serving tasks over their target.
const colocationReportInterval = time.Second

// colocationSeen is what the last poll of a worker showed of its serving tasks.
type colocationSeen struct {
	serving    int
	overTarget int
	beside     int // serving tasks over their target with best-effort runs at work beside them
}

func summariseColocation(serving []placement.ServingSample, bestEffort []placement.BestEffortSample) colocationSeen {
	seen := colocationSeen{serving: len(serving)}
	usedCPU := 0.0
	for i := range bestEffort {
		usedCPU += bestEffort[i].CPUFraction
	}
	for i := range serving {
		if serving[i].LatencyMs >= serving[i].TargetMs {
			seen.overTarget++
			if usedCPU > 0 {
				seen.beside++
			}
		}
	}
	return seen
}

// reportColocation logs how many serving tasks are over their target, if any is, once per colocationReportInterval. A record of every second would
// be needless on a fleet whose serving tasks are well.
func (o *Owner) reportColocation() {
	now := boottime.Now()
	if now < o.colocationSeenAt+colocationReportInterval {
		return
	}
	var sum colocationSeen
	for _, member := range o.members {
		if member.worker == nil || !member.isReady() {
			continue
		}
		sum.serving += member.colocation.serving
		sum.overTarget += member.colocation.overTarget
		sum.beside += member.colocation.beside
	}
	o.cfg.Metrics.Gauge("owner_serving_over_target").Update(int64(sum.overTarget))
	if sum.overTarget == 0 {
		return
	}
	o.colocationSeenAt = now
	load, groups := o.interference.MeanLoad()
	events.ColocationSeen.Log(&o.cfg.Log).Int("serving", sum.serving).Int("over", sum.overTarget).Int("beside", sum.beside).
		Float64("load", load).Int("groups", groups).Send()
}
