package agent

import (
	"strings"

	"bamboofork/internal/callers"
	"bamboofork/internal/gate"
	"bamboofork/internal/settings"
)

// ownWork is the child of a branch that holds the branch's own requests beside its sub-branches. It is not a valid
// branch name, so it cannot collide with one.
const ownWork = "."

// callerWeight is the weight of every prefix and every caller: anonymous callers are equal.
const callerWeight = 1

// branchBurst is what a branch under its share may run ahead of others at one gate. Without it a branch that asks for
// most of its share waits behind a flood whenever two of its requests arrive together. Callers get none, because new
// addresses cost nothing.
const branchBurst = 16

// flowOf returns the levels of fairness of a request, from the outermost branch to the caller, and the index of the
// branch's own work.
func flowOf(live *settings.Snapshot, branch *settings.Effective, caller string) (flow []gate.Share, own int) {
	flow = make([]gate.Share, 0, settings.MaxDepth+3)
	path := branch.Branch
	for from := 0; from < len(path); {
		end := len(path)
		if i := strings.IndexByte(path[from:], '/'); i >= 0 {
			end = from + i
		}
		flow = append(flow, gate.Share{Key: path[from:end], Weight: weightOf(live, path[:end]), Burst: branchBurst})
		from = end + 1
	}
	own = len(flow)
	flow = append(flow,
		gate.Share{Key: ownWork, Weight: branch.Weight},
		gate.Share{Key: callers.Prefix(caller), Weight: callerWeight},
		gate.Share{Key: caller, Weight: callerWeight})
	return flow, own
}

func weightOf(live *settings.Snapshot, path string) int {
	if b, ok := live.Branch(path); ok {
		return b.Weight
	}
	return 1
}
