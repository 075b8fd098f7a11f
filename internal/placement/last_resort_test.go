package placement_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/jobs"
	"bamboofork/internal/placement"
)

// Guards against a perpetual task that waits for 25 s beside an idle and sound worker, the only one with its label, because jobs that can
// never be done have failed there (review/13): starts were withheld from a task that nothing else can serve.
func TestPerpetualTaskStartsOnTheOnlyWorkerThatItMayUse(t *testing.T) {
	for _, c := range []struct {
		name   string
		waitMs int64
		sound  bool // another worker with the label takes starts
		full   bool // it has no room
		change func(step *jobs.Step)
		want   string
	}{
		{name: "overdue", waitMs: 1300, want: "suspect"},
		{name: "not overdue", waitMs: 300},
		{name: "another worker", waitMs: 1300, sound: true, want: "sound"},
		{name: "another worker without room", waitMs: 1300, sound: true, full: true},
		{name: "a short task", waitMs: 1300, change: func(step *jobs.Step) { step.Perpetual = false }},
		{name: "too large", waitMs: 1300, change: func(step *jobs.Step) { step.CPU = 65_000 }},
		{name: "another label", waitMs: 1300, change: func(step *jobs.Step) { step.Label = "c" }},
	} {
		for _, age := range []int64{10, 3000} { // in quarantine, on probation
			suspect, sound, other := newWorker("suspect", 64_000), newWorker("sound", 64_000), newWorker("other", 64_000)
			suspect.Labels = []string{"b"}
			workers := []*placement.Worker{suspect, other}
			if c.sound {
				sound.Labels = []string{"b"}
				workers = append(workers, sound)
			}
			s := &placement.Snapshot{BootTimeMs: 100_000}
			h := placement.NewHealthTracker()
			for _, job := range []string{"lasting", "poison-1", "poison-2"} {
				h.Record("suspect", job, jobs.EndFailed, s.BootTimeMs-age)
			}
			h.LimitStarts(workers, s.BootTimeMs)
			for _, w := range workers {
				if w.MaxStarts == 0 {
					s.Quarantined = append(s.Quarantined, w)
				} else {
					s.Workers = append(s.Workers, w)
				}
			}
			if c.full {
				s.Allocate(sound, &jobs.Step{CPU: 64_000, Perpetual: true}, "", 1)
			}
			step := jobs.Step{Count: 1, CPU: 8_000, Perpetual: true, Label: "b", MaxPerWorker: 1}
			if c.change != nil {
				c.change(&step)
			}
			j := newJob("lasting", jobs.Queue{}, 0, step)
			j.Occurrences[0].Steps[0].Tasks[0].WaitingSinceMs = s.BootTimeMs - c.waitMs
			s.Jobs = []*jobs.Job{j}
			got := ""
			for _, assignment := range placement.Plan(s) {
				got += assignment.Place.Worker
			}
			qt.Check(t, got, qt.Equals, c.want, qt.Commentf("%s, %d ms after a failure", c.name, age))
		}
	}
}

// Guards against a pass without workers that take starts.
func TestOnlyWorkerOfAServiceInQuarantineTakesALastingTask(t *testing.T) {
	s := &placement.Snapshot{BootTimeMs: 100_000, Quarantined: []*placement.Worker{newWorker("w", 64_000)}}
	s.Quarantined[0].MaxStarts = 0
	j := newJob("lasting", jobs.Queue{}, 0, jobs.Step{Count: 2, CPU: 8_000, Perpetual: true, TargetMs: 50, Image: "i"})
	for i := range j.Occurrences[0].Steps[0].Tasks {
		j.Occurrences[0].Steps[0].Tasks[i].WaitingSinceMs = 90_000
	}
	s.Jobs = []*jobs.Job{j, newJob("short", jobs.Queue{}, 0, jobs.Step{Count: 2, CPU: 1_000, EstimateMs: 600})}
	qt.Check(t, placement.Plan(s), qt.HasLen, 2)
}
