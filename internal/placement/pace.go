package placement

import "bamboofork/internal/jobs"

const (
	// minSpeed is the share of its full speed below which a filling task is not started on a worker.
	minSpeed = 0.7
	// firstPace is the least share of its full speed at which a filling task starts; looks at its neighbours tell more soon.
	firstPace = 0.1
	// leastPress is the utilisation below which slowing a filling task does not help a serving one.
	leastPress = 0.004
)

// strainedShare is the waiting filling work, as a share of all workers' processors, from which on caution is least.
const strainedShare = 0.2

// Strain returns how much filling work waits, from 0 to 1. Work counts by how much of the time that its job can spare is
// over, so that a job that has just come is not a reason to be less careful.
func (s *Snapshot) Strain() float64 {
	waiting, capacity := 0.0, 1
	for _, w := range s.Workers {
		capacity += w.Capacity.CPU
	}
	for _, c := range order(s) {
		for i := range c.job.Spec.Steps {
			step, st := &c.job.Spec.Steps[i], &c.job.Occ[c.occ].Steps[i]
			if step.Fills && st.Waiting > 0 && c.job.StepReady(c.occ, i) {
				waiting += c.urgency() * float64(step.CPU*st.Waiting)
			}
		}
	}
	return min(1, waiting/float64(capacity)/strainedShare)
}

// FillingRun is a filling task on a worker.
type FillingRun struct {
	Task  string
	Image string
	Share float64 // of the worker's processor that it uses at full speed
	// Confirmed is the pace, in percent, that the worker has confirmed last.
	Confirmed int
}

// Pace is the share of its full speed that a filling run may have.
type Pace struct {
	Share float64
	For   *Serving // the serving task that it was slowed for last; nil: it was not slowed
}

// Paces returns the paces of the filling runs of one worker, so that no serving task passes its planned utilisation. It answers load that swings and neighbours that are not known yet: the runs that press most on
// the worst-placed serving task are slowed first, before its target is missed, and recover with its load.
func (f *Interference) Paces(serving []Serving, filling []FillingRun) []Pace {
	paces := make([]Pace, len(filling))
	for i := range paces {
		paces[i].Share = 1
	}
	for range len(serving) * len(filling) {
		task, excess := f.worst(serving, filling, paces)
		if excess <= 0 {
			break
		}
		run, press := f.strongest(task, filling, paces)
		if run < 0 {
			break
		}
		paces[run] = Pace{Share: max(0, paces[run].Share-excess/press), For: task}
	}
	return paces
}

// worst returns the serving task that passes its planned utilisation by most, and by how much; tasks that no run presses
// on are left out, because slowing the runs does not help them.
func (f *Interference) worst(serving []Serving, filling []FillingRun, paces []Pace) (*Serving, float64) {
	var worst *Serving
	most := 0.0
	for i := range serving {
		t := &serving[i]
		pressed, strongest := 0.0, 0.0
		for k := range filling {
			press := f.planned(t.Image, filling[k].Image) * filling[k].Share * paces[k].Share
			pressed += press
			strongest = max(strongest, press)
		}
		if excess := t.Load + pressed - f.Limit(t.Image, t.TargetMs); excess > most && strongest > leastPress {
			worst, most = t, excess
		}
	}
	return worst, most
}

// strongest returns the run that presses most on the serving task for its share of the worker, and its pressure at full
// speed.
func (f *Interference) strongest(t *Serving, filling []FillingRun, paces []Pace) (int, float64) {
	run, most := -1, 0.0
	for k := range filling {
		pressure := f.planned(t.Image, filling[k].Image)
		if paces[k].Share > 0 && pressure*filling[k].Share*paces[k].Share > leastPress && pressure > most {
			run, most = k, pressure
		}
	}
	if run < 0 {
		return run, 0
	}
	return run, most * filling[run].Share
}

// speed returns the share of its full speed that a filling task of the step would have on the worker beside the tasks
// that are there, and the largest utilisation that it is expected to add to one of them.
func (s *Snapshot) speed(w *Worker, step *jobs.Step) (speed, press float64) {
	if s.Interference == nil {
		return 1, 0
	}
	speed = 1
	share := float64(step.CPU) / float64(max(1, w.Capacity.CPU))
	for i := range w.Serving {
		t := &w.Serving[i]
		press = max(press, s.Interference.Pressure(t.Image, step.Image)*share)
		planned := s.Interference.planned(t.Image, step.Image) * share
		if planned <= leastPress {
			continue
		}
		free := s.Interference.Limit(t.Image, t.TargetMs) - t.Load - t.Pressed
		speed = min(speed, max(0, free)/planned)
	}
	return speed, press
}
