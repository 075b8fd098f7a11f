package partition

import (
	"sync/atomic"

	"bamboofork/internal/scheduler"
	"bamboofork/internal/settings"
	"bamboofork/internal/worker"
)

// shareTable holds the team quotas and weights of one settings revision.
type shareTable struct {
	snapshot *settings.Snapshot
	teams    map[string]scheduler.TeamShare
}

// TeamShares returns a function that looks up a team's quota and weight in the current settings. If several branches have the
// team, the topmost branch counts, because the branches below it inherit its quota. A team without a branch has no quota and
// weight 1.
func TeamShares(live *settings.ActiveSnapshot) func(team string) scheduler.TeamShare {
	var cached atomic.Pointer[shareTable]
	return func(team string) scheduler.TeamShare {
		snap := live.Current()
		table := cached.Load()
		if table == nil || table.snapshot != snap {
			table = compileShares(snap)
			cached.Store(table)
		}
		if share, ok := table.teams[team]; ok {
			return share
		}
		return scheduler.TeamShare{Weight: 1}
	}
}

func compileShares(snap *settings.Snapshot) *shareTable {
	t := &shareTable{snapshot: snap, teams: map[string]scheduler.TeamShare{}}
	depthByTeam := map[string]int{}
	for _, path := range snap.Tree.Paths() {
		e, ok := snap.Branch(path)
		if !ok || e.Team == "" {
			continue
		}
		depth := len(settings.Ancestors(path))
		if known, seen := depthByTeam[e.Team]; seen && known <= depth {
			continue
		}
		depthByTeam[e.Team] = depth
		t.teams[e.Team] = scheduler.TeamShare{
			Weight: e.Weight,
			Quota:  worker.Resources{Cores: e.QuotaCores, MemoryMB: e.QuotaMemoryMB, Accelerators: e.QuotaAccelerators},
		}
	}
	return t
}
