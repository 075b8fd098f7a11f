package agent

import (
	"strings"

	"bamboofork/internal/callers"
	"bamboofork/internal/gate"
	"bamboofork/internal/settings"
)

// ownRequests is the key of the fair share for a branch's own requests, next to the shares of its sub-branches. The key is not a
// valid branch name, so it cannot collide with the key of a sub-branch.
const ownRequests = "."

// callerWeight is the fair-queueing weight of every caller and every prefix of caller addresses, so that callers have equal
// shares.
const callerWeight = 1

// branchBurstRequests is the number of requests by which a branch below its fair share may run ahead of other branches at one
// gate. Without a burst, a branch that uses most of its share waits behind a flood of other requests whenever two of its
// requests arrive together. Callers get no burst, because a caller could obtain any number of bursts with new addresses.
const branchBurstRequests = 16

// flowOf returns the fair-queueing levels of a request, from the outermost branch to the caller. ownIndex is the index in flow of
// the level for the branch's own requests.
func flowOf(snapshot *settings.Snapshot, branch *settings.Effective, caller string) (flow []gate.FlowLevel, ownIndex int) {
	flow = make([]gate.FlowLevel, 0, settings.MaxDepth+3)
	path := branch.Branch
	for start := 0; start < len(path); {
		end := len(path)
		if i := strings.IndexByte(path[start:], '/'); i >= 0 {
			end = start + i
		}
		flow = append(flow, gate.FlowLevel{Key: path[start:end], Weight: weightOf(snapshot, path[:end]), Burst: branchBurstRequests})
		start = end + 1
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
