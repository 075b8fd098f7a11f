package scale

import (
	"fmt"
	"math/rand/v2"
	"strconv"

	"bamboofork/internal/settings"
)

// branchesPerTeam shapes the generated tree: teams below kinds of work.
const branchesPerTeam = 20

// Tree returns a valid tree of about n branches with values that differ, as operators' trees do.
func Tree(n int, seed uint64) settings.Tree {
	rnd := rand.New(rand.NewPCG(seed, seed))
	tree := settings.NewTree()
	for i := range n {
		team := fmt.Sprintf("team-%d", i/branchesPerTeam)
		if tree.Branches[team] == nil {
			tree.Branches[team] = map[string]string{"team": team}
		}
		tree.Branches[fmt.Sprintf("%s/work-%d", team, i)] = map[string]string{
			"team": team, "weight": strconv.Itoa(1 + rnd.IntN(99)),
		}
	}
	return tree
}
