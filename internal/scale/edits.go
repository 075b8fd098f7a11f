package scale

import (
	"context"
	"strconv"
	"time"

	"bamboofork/internal/settings"
)

const (
	editInterval       = 1 * time.Second      // delay between two edits
	propagationTimeout = 30 * time.Second     // maximum wait until all nodes have applied an edit
	pollInterval       = 5 * time.Millisecond // interval at which the nodes are checked; resolution of the measured times
)

// measureEdits commits edits. It returns one propagation time for each edit and node, measured from the acceptance of the edit until
// the node has applied the revision. If a node does not apply a revision within propagationTimeout, the edit is counted in late once for
// that node and has no propagation time.
func (f *Fleet) measureEdits(ctx context.Context) (times []time.Duration, late int, err error) {
	repo := settings.NewRepository(f.Store, "bf-scale-editor")
	rev := f.Nodes[0].Live.Current().Revision
	for i := range f.cfg.EditCount {
		value := strconv.Itoa(1 + i%99)
		edit := settings.Edit{Author: "bf-scale", Changes: []settings.Change{{Branch: "team-0", Set: map[string]*string{"weight": &value}}}}
		if rev, err = repo.Commit(ctx, rev, edit); err != nil {
			return times, late, err
		}
		editTimes, lateNodes := f.measurePropagation(ctx, rev)
		times, late = append(times, editTimes...), late+lateNodes
		time.Sleep(editInterval)
	}
	return times, late, nil
}

// measurePropagation returns the time until each node has applied the revision, and the number of nodes that have not applied the
// revision within propagationTimeout.
func (f *Fleet) measurePropagation(ctx context.Context, rev int64) (times []time.Duration, lateNodes int) {
	acceptedAt := time.Now()
	waiting := append([]*Node(nil), f.Nodes...)
	for len(waiting) > 0 && time.Since(acceptedAt) < propagationTimeout && ctx.Err() == nil {
		stillWaiting := []*Node{}
		for _, n := range waiting {
			if n.Live.Current().Revision >= rev {
				times = append(times, time.Since(acceptedAt))
				continue
			}
			stillWaiting = append(stillWaiting, n)
		}
		waiting = stillWaiting
		time.Sleep(pollInterval)
	}
	return times, len(waiting)
}
