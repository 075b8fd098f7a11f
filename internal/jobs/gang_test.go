package jobs_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/jobs"
)

// Guards against a gang that never ends because its members are started with different checkpoints, wait for members that carry their own and
// end alone: after the crash of a member, ends that come late or twice, and changes of the owner with and without a snapshot.
func TestMembersOfAGangStartWithOneCheckpoint(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		members := 2 + rng.IntN(5)
		state := jobs.NewState()
		job := oneStepJob("a", members)
		job.Spec.Steps[0].Gang, job.Spec.Steps[0].Checkpointing = true, true
		state.Apply(jobs.Change{Submit: job})
		var earlier []jobs.Change
		for run := 1; run <= 12; run++ {
			stepState := &state.Jobs["a"].Occurrences[0].Steps[0]
			for index := range members {
				place := place("a", index, run)
				place.Place.GangCheckpoint = stepState.GangCheckpoint()
				state.Apply(place)
			}
			first := stepState.Tasks[0]
			saved := map[string]bool{first.Checkpoint: true}
			for _, task := range stepState.Tasks {
				qt.Assert(t, task.Checkpoint, qt.Equals, first.Checkpoint, qt.Commentf("seed %d, run %d", seed, run))
			}
			checkpoints := rng.IntN(3)
			for n := 1; n <= checkpoints; n++ { // each member has a value of its own
				for index := range members {
					value := fmt.Sprintf("run %d, checkpoint %d of member %d", run, n, index)
					if n == checkpoints {
						saved[value] = true
					}
					if rng.IntN(3) > 0 {
						stepState.Tasks[index].SaveReported(value) // reported before the end
					}
				}
			}
			ends := []jobs.Change{}
			for index := range members {
				ended := end("a", index, run, jobs.EndBroken)
				ended.End.Checkpoint = fmt.Sprintf("run %d, checkpoint %d of member %d", run, checkpoints, index)
				if checkpoints == 0 {
					ended.End.Checkpoint = ""
				}
				if index == 0 && rng.IntN(2) == 0 {
					ended = end("a", index, run, jobs.EndLost) // its worker crashed
				}
				ends = append(ends, ended)
			}
			rng.Shuffle(len(ends), func(i, j int) { ends[i], ends[j] = ends[j], ends[i] })
			for _, ended := range append(ends, earlier...) { // earlier ends come twice
				state.Apply(ended)
			}
			earlier = ends
			if rng.IntN(3) == 0 {
				encoded, err := state.Encode()
				qt.Assert(t, err, qt.IsNil)
				state, err = jobs.Decode(encoded)
				qt.Assert(t, err, qt.IsNil)
			}
			next := state.Jobs["a"].Occurrences[0].Steps[0].GangCheckpoint()
			if checkpoints > 0 {
				qt.Assert(t, saved[next] && next != first.Checkpoint, qt.IsTrue, qt.Commentf("seed %d, run %d: %q is not the newest checkpoint of a member", seed, run, next))
			}
		}
	}
}
