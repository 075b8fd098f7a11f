package scale

import (
	"context"
	"strconv"
	"time"

	"bamboofork/internal/settings"
)

// Pause between edits, maximum propagation time and polling interval.
const (
	editInterval = 1 * time.Second
	editTimeout  = 30 * time.Second
	pollInterval = 5 * time.Millisecond // resolution of the measured times
)

// measureEdits commits edits and returns the times from the store's acceptance until each node had applied the revision.
// A node that has not applied it within editTimeout is counted in late.
func (f *Fleet) measureEdits(ctx context.Context) (times []time.Duration, late int, err error) {
	repo := settings.NewRepository(f.Store, "bf-scale-editor")
	rev := f.Nodes[0].Live.Current().Revision
	for i := range f.cfg.EditCount {
		value := strconv.Itoa(1 + i%99)
		edit := settings.Edit{Author: "bf-scale", Changes: []settings.Change{{Branch: "team-0", Set: map[string]*string{"weight": &value}}}}
		if rev, err = repo.Commit(ctx, rev, edit); err != nil {
			return times, late, err
		}
		took, missing := f.measurePropagation(ctx, rev)
		times, late = append(times, took...), late+missing
		time.Sleep(editInterval)
	}
	return times, late, nil
}

func (f *Fleet) measurePropagation(ctx context.Context, rev int64) (times []time.Duration, late int) {
	accepted := time.Now()
	waiting := append([]*Node(nil), f.Nodes...)
	for len(waiting) > 0 && time.Since(accepted) < editTimeout && ctx.Err() == nil {
		rest := []*Node{}
		for _, n := range waiting {
			if n.Live.Current().Revision >= rev {
				times = append(times, time.Since(accepted))
				continue
			}
			rest = append(rest, n)
		}
		waiting = rest
		time.Sleep(pollInterval)
	}
	return times, len(waiting)
}
