package jobs_test

import (
	"encoding/json"
	"math"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bamboofork/internal/jobs"
)

// Guards against processes that end, one after the other, because the counts or other numbers of one job overflow.
func TestJobsOutOfRangeAreMalformed(t *testing.T) {
	huge := jobs.Step{Count: math.MaxInt64, CPU: 1000}
	one := jobs.Step{Count: 1}
	for name, spec := range map[string]jobs.Spec{
		"counts whose sum overflows":  {Steps: []jobs.Step{huge, huge}},
		"counts whose sum is small":   {Steps: []jobs.Step{{Count: math.MaxInt64}, {Count: math.MaxInt64}, {Count: 7}}},
		"count and repeats":           {Steps: []jobs.Step{{Count: 1 << 32}}, Repeats: 1 << 32},
		"repeats":                     {Steps: []jobs.Step{one}, Repeats: math.MaxInt64},
		"negative repeats":            {Steps: []jobs.Step{one}, Repeats: math.MinInt64},
		"memory":                      {Steps: []jobs.Step{{Count: 1, MemMB: math.MaxInt64}}},
		"cpu":                         {Steps: []jobs.Step{{Count: 1, CPU: math.MaxInt64}}},
		"estimate":                    {Steps: []jobs.Step{{Count: 1, EstimateMs: math.MaxInt64}}},
		"interval":                    {Steps: []jobs.Step{one}, Repeats: 2, IntervalMs: math.MaxInt64},
		"start":                       {Steps: []jobs.Step{one}, Repeats: 2, StartAtMs: math.MaxInt64},
		"step after itself":           {Steps: []jobs.Step{{Count: 1, After: []int{0}}}},
		"size of a name":              {Steps: []jobs.Step{{Count: 1, Image: strings.Repeat("x", jobs.MaxEncodedBytes)}}},
		"size of a name when escaped": {Steps: []jobs.Step{{Count: 1, Image: strings.Repeat("<", jobs.MaxEncodedBytes/5)}}},
		"number of dependencies":      {Steps: []jobs.Step{one, {Count: 1, After: make([]int, jobs.MaxEncodedBytes)}}},
	} {
		qt.Check(t, spec.Validate(), qt.ErrorIs, jobs.ErrMalformed, qt.Commentf("%s", name))
	}
	wide := jobs.Spec{Steps: []jobs.Step{{Count: jobs.MaxTasks, CPU: 1 << 20, MemMB: 1 << 30, Image: strings.Repeat("x", 200_000)}}, Payload: strings.Repeat("<", jobs.MaxPayload)}
	qt.Check(t, wide.Validate(), qt.IsNil, qt.Commentf("large is not malformed"))
}

// Guards against an owner that ends while it recovers a record that no owner of this version has written.
func TestSubmissionsOutOfRangeHaveNoEffect(t *testing.T) {
	for _, record := range []string{`{"sub":{"id":"a","sp":{"st":[{"n":9223372036854775807},{"n":9223372036854775807}]}}}`, `{"sub":{"id":"a","sp":{"st":[{"n":-1}]}}}`,
		`{"sub":{"id":"a","sp":{"st":[{"n":1}],"r":1000000000}}}`, `{"sub":{"id":"a","sp":{"st":[{"n":1,"a":[-1]}]}}}`} {
		var change jobs.Change
		qt.Assert(t, json.Unmarshal([]byte(record), &change), qt.IsNil)
		state := jobs.NewState()
		state.Apply(change)
		qt.Check(t, state.Jobs, qt.HasLen, 0)
	}
	state := jobs.NewState()
	state.Apply(jobs.Change{Submit: oneStepJob("a", 2)})
	for _, place := range []jobs.Place{{Occ: -1, Run: 1}, {Step: math.MinInt64, Run: 1}, {Index: -1, Run: 1}, {Index: math.MaxInt64, Run: 1}} {
		state.Apply(jobs.Change{JobID: "a", Place: &place})
	}
	qt.Check(t, state.Jobs["a"].HasStarted, qt.IsFalse)
}
