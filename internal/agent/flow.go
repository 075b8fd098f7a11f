package agent

import (
	"strings"

	"bamboofork/internal/callers"
	"bamboofork/internal/gate"
	"bamboofork/internal/settings"
)

// ownRequests is the key of the share for a branch's own requests, next to the shares of its sub-branches. It is not a
// valid branch name, so it cannot collide with one.
const ownRequests = "."

// callerWeight is the weight of every address prefix and every caller; anonymous callers have equal shares.
const callerWeight = 1

// branchBurst is the number of requests by which a branch below its share may run ahead of others at one gate. Without
// it, a branch that uses most of its share waits behind a flood whenever two of its requests arrive together. Callers get
// no burst, because a caller could obtain any number of them with new addresses.
const branchBurst = 16

// flowOf returns the fair-queueing levels of a request, from the outermost branch to the caller, and the index of the
// level for the branch's own requests.
func flowOf(snapshot *settings.Snapshot, branch *settings.Effective, caller string) (flow []gate.FlowLevel, ownIndex int) {
	flow = make([]gate.FlowLevel, 0, settings.MaxDepth+3)
	path := branch.Branch
	for from := 0; from < len(path); {
		end := len(path)
		if i := strings.IndexByte(path[from:], '/'); i >= 0 {
			end = from + i
		}
		flow = append(flow, gate.FlowLevel{Key: path[from:end], Weight: weightOf(snapshot, path[:end]), Burst: branchBurst})
		from = end + 1
	}
	ownIndex = len(flow)
	flow = append(flow,
		gate.FlowLevel{Key: ownRequests, Weight: branch.Weight},
		gate.FlowLevel{Key: callers.Prefix(caller), Weight: callerWeight},
		gate.FlowLevel{Key: caller, Weight: callerWeight})
	return flow, ownIndex
}

func weightOf(snapshot *settings.Snapshot, path string) int {
	if b, ok := snapshot.Branch(path); ok {
		return b.Weight
	}
	return 1
}
