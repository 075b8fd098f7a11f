package account

import (
	"cmp"
	"slices"

	"bamboofork/internal/jobs"
)

// Path says where the time of the jobs of one queue went, in ms for each job in the mean. It follows the task of each step that ended last, because the
// next step waits for that task.
type Path struct {
	Queue     string
	Jobs      int
	TotalMs   float64 // from the acceptance to the end
	EstMs     float64 // declared run times of the followed tasks
	AckMs     float64 // until the record of the job was durable
	NoOwnerMs float64 // the task waited while no owner was at work
	WaitMs    float64 // the task waited for any other reason
	StartMs   float64 // from placements to starts
	LostMs    float64 // runs that did not count
	PacedMs   float64 // the run was slowed for serving runs, as time at full speed that it lost
	ExcessMs  float64 // the run took longer than declared for another reason
	BehindMs  float64 // from the median end of the tasks of the step to the last end; part of the terms above
	LostRuns  float64 // runs of the followed tasks that did not count
}

// Paths returns the account of the completed jobs by queue. Jobs that serve are left out.
func (d *Day) Paths() []Path {
	byQueue := map[string]*Path{}
	for _, j := range d.jobs {
		if j.state != "completed" || j.queue == "" || j.acceptedMs == 0 || len(j.runsByStep) == 0 {
			continue
		}
		p := byQueue[j.queue]
		if p == nil {
			p = &Path{Queue: j.queue}
			byQueue[j.queue] = p
		}
		p.Jobs++
		p.TotalMs += float64(j.endedMs - j.acceptedMs)
		p.AckMs += float64(j.ackMs)
		for _, runs := range j.runsByStep {
			d.followStep(p, runs)
		}
	}
	var list []Path
	for _, p := range byQueue {
		n := float64(p.Jobs)
		for _, v := range []*float64{&p.TotalMs, &p.EstMs, &p.AckMs, &p.NoOwnerMs, &p.WaitMs, &p.StartMs, &p.LostMs, &p.PacedMs, &p.ExcessMs, &p.BehindMs, &p.LostRuns} {
			*v /= n
		}
		list = append(list, *p)
	}
	slices.SortFunc(list, func(a, b Path) int { return cmp.Or(cmp.Compare(b.Jobs, a.Jobs), cmp.Compare(a.Queue, b.Queue)) })
	return list
}

func (d *Day) followStep(p *Path, runs []*run) {
	var last *run
	var ends []int64
	for _, r := range runs {
		if r.how != "done" {
			continue
		}
		ends = append(ends, r.endedMs)
		if last == nil || r.endedMs > last.endedMs {
			last = r
		}
	}
	if last == nil {
		return
	}
	slices.Sort(ends)
	p.BehindMs += float64(last.endedMs - ends[len(ends)/2])
	p.EstMs += float64(last.estMs)
	for _, r := range runs {
		if r.id.task != last.id.task || r.id.run > last.id.run {
			continue
		}
		without := int64(0)
		for _, gap := range d.ownerless {
			without += max(0, min(gap.toMs, r.placedMs)-max(gap.fromMs, r.readyMs))
		}
		p.NoOwnerMs += float64(without)
		p.WaitMs += float64(r.placedMs - r.readyMs - without)
		p.StartMs += float64(r.startedMs - r.placedMs)
		paced := r.pacedMs()
		p.PacedMs += paced
		if r != last {
			p.LostMs += float64(r.endedMs-r.startedMs) - paced
			p.LostRuns++
			continue
		}
		p.ExcessMs += float64(r.endedMs-r.startedMs) - paced - float64(r.estMs)
	}
}

// pacedMs returns the time at full speed that the run lost because it was slowed.
func (r *run) pacedMs() float64 {
	lost := 0.0
	if r.kind != jobs.KindBestEffort {
		return 0
	}
	for i, p := range r.paces {
		to := r.endedMs
		if i+1 < len(r.paces) {
			to = min(to, r.paces[i+1].atMs)
		}
		if from := max(r.startedMs, p.atMs); to > from {
			lost += float64(to-from) * float64(100-p.percent) / 100
		}
	}
	return lost
}

// WorkerSpeed is the median ratio of run time to declared run time of the completed runs of a worker, with slow paces taken off, and how its runs ended.
type WorkerSpeed struct {
	Worker       *Worker
	Runs, Failed int
	Stopped      int
	MedianRatio  float64 // 0: no completed runs
}

// Speeds returns the speeds of all workers by name.
func (d *Day) Speeds() []WorkerSpeed {
	ratios := map[string][]float64{}
	byName := map[string]*WorkerSpeed{}
	var list []*WorkerSpeed
	for _, w := range d.sortedWorkers() {
		byName[w.Name] = &WorkerSpeed{Worker: w}
		list = append(list, byName[w.Name])
	}
	for _, r := range d.order {
		s := byName[r.agent]
		if s == nil || r.kind == jobs.KindServing {
			continue
		}
		s.Runs++
		switch r.how {
		case "done":
			if r.estMs > 0 && r.id.run == 1 {
				ratios[r.agent] = append(ratios[r.agent], (float64(r.endedMs-r.startedMs)-r.pacedMs())/float64(r.estMs))
			}
		case "failed":
			s.Failed++
		case "stopped":
			s.Stopped++
		}
	}
	var speeds []WorkerSpeed
	for _, s := range list {
		if v := ratios[s.Worker.Name]; len(v) > 0 {
			slices.Sort(v)
			s.MedianRatio = v[len(v)/2]
		}
		speeds = append(speeds, *s)
	}
	return speeds
}
