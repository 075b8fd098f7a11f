package placement

import "bamboofork/internal/jobs"

// Plan returns the tasks that start now, in the order in which they were chosen.
func Plan(s *Snapshot) []Assignment {
	var plan []Assignment
	for _, c := range sortedCandidates(s) {
		for i := range c.job.Spec.Steps {
			if c.job.Occ[c.occ].Steps[i].Waiting > 0 && c.job.StepReady(c.occ, i) {
				plan = append(plan, planStep(s, c, i)...)
			}
		}
	}
	return plan
}

// planStep assigns the waiting tasks of one step that fit; a gang is assigned as a whole or not at all.
func planStep(s *Snapshot, c candidate, i int) []Assignment {
	step := &c.job.Spec.Steps[i]
	st := &c.job.Occ[c.occ].Steps[i]
	if step.Advised {
		s = s.restrictedTo(s.Advised[StepID{Job: c.job.ID, Occ: c.occ, Step: i}])
	}
	perWorker := map[string]int{}
	perRack := map[string]int{}
	lastRun := 0
	for t := range st.Tasks {
		task := &st.Tasks[t]
		lastRun = max(lastRun, task.Run)
		if task.State == jobs.TaskPlaced {
			perWorker[task.Worker]++
		}
	}
	for _, w := range s.Workers {
		if n := perWorker[w.Name]; n > 0 {
			perRack[w.Rack] += n
		}
	}
	if step.Gang && st.Waiting < len(st.Tasks) {
		return nil // tasks of the previous run have not ended yet
	}
	var plan []Assignment
	for t := range st.Tasks {
		task := &st.Tasks[t]
		if task.State != jobs.TaskWaiting {
			continue
		}
		w, speed := choose(s, c.job, step, task, perWorker, perRack)
		if w == nil && (c.starved || overdue(s, c.job, step, task, perWorker)) {
			w, speed = chooseStarved(s, c.job, step, task, perWorker, perRack)
			c.starved = false
		}
		if w == nil {
			if step.Gang {
				release(plan, s, step)
				return nil
			}
			break // all tasks of a step need the same resources
		}
		pace := max(minStartPace, speed)
		s.Allocate(w, step, c.job.ID, pace)
		perWorker[w.Name]++
		perRack[w.Rack]++
		runNumber := task.Run + 1
		if step.Gang {
			runNumber = lastRun + 1
		}
		plan = append(plan, Assignment{Job: c.job,
			Place: jobs.Place{Occ: c.occ, Step: i, Index: t, Run: runNumber, Worker: w.Name, Lifetime: w.Lifetime}, Pace: pace})
	}
	return plan
}

// Allocate allocates the worker's resources to a task of the step. group identifies the serving tasks that share one load; pace
// is the share of full speed at which a best-effort task runs.
func (s *Snapshot) Allocate(w *Worker, step *jobs.Step, group string, pace float64) {
	w.Free = w.Free.Sub(Need(step))
	if w.MaxStarts > 0 {
		w.MaxStarts--
	}
	used := step.CPU
	switch {
	case step.BestEffort:
		w.BestEffort++
		s.addInterference(w, step, pace)
		used = int(pace * float64(step.CPU))
	case step.TargetMs > 0:
		t := ServingTask{Image: step.Image, TargetMs: step.TargetMs, Load: priorLoad}
		if s.Interference != nil {
			t.Load = s.Interference.Load(group, s.BootTimeMs)
		}
		w.Serving = append(w.Serving, t)
		used = int(t.Load * float64(step.CPU)) // the load from its users leaves the rest idle
	}
	w.Idle -= used
}

// addInterference adds the planned effect of a best-effort task to the worker's serving tasks.
func (s *Snapshot) addInterference(w *Worker, step *jobs.Step, pace float64) {
	if s.Interference == nil {
		return
	}
	cpuFraction := pace * float64(step.CPU) / float64(max(1, w.Capacity.CPU))
	for i := range w.Serving {
		w.Serving[i].Interference += s.Interference.plannedPressure(w.Serving[i].Image, step.Image) * cpuFraction
	}
}

// release frees the resources of a gang that does not fit as a whole. The planned interference is kept for the rest of the
// pass, which only makes it more cautious.
func release(plan []Assignment, s *Snapshot, step *jobs.Step) {
	for _, a := range plan {
		for _, w := range s.Workers {
			if w.Name == a.Place.Worker {
				w.Free = w.Free.Add(Need(step))
				w.Idle += step.CPU
			}
		}
	}
}
