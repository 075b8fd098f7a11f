package scale

import (
	"context"
	"strconv"
	"time"

	"bamboofork/internal/settings"
)

// Pace and bound of the timed edits.
const (
	editGap     = 1 * time.Second
	editTimeout = 30 * time.Second
	watchStep   = 5 * time.Millisecond // resolution of the times
)

// timeEdits commits edits and returns the time from the store's acceptance until each node had the revision in force.
// A node that does not have it within editTimeout is counted in late.
func (f *Fleet) timeEdits(ctx context.Context) (times []time.Duration, late int, err error) {
	repo := settings.NewRepository(f.Store, "bf-scale-editor")
	rev := f.Nodes[0].Live.Current().Revision
	for i := range f.cfg.Edits {
		value := strconv.Itoa(1 + i%99)
		edit := settings.Edit{Author: "bf-scale", Changes: []settings.Change{{Branch: "team-0", Set: map[string]*string{"weight": &value}}}}
		if rev, err = repo.Commit(ctx, rev, edit); err != nil {
			return times, late, err
		}
		took, missing := f.timeRevision(ctx, rev)
		times, late = append(times, took...), late+missing
		time.Sleep(editGap)
	}
	return times, late, nil
}

func (f *Fleet) timeRevision(ctx context.Context, rev int64) (times []time.Duration, late int) {
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
		time.Sleep(watchStep)
	}
	return times, len(waiting)
}
