package scale

import (
	"fmt"
	"math/rand/v2"
	"strconv"

	"bamboofork/internal/settings"
)

// branchesPerTeam is the number of branches below the branch of each team.
const branchesPerTeam = 20

// GenerateTree returns a valid settings tree. Each team has a branch at the top, and n branches are spread over the teams. The
// weights are random, because branches of real trees differ as well.
func GenerateTree(n int, seed uint64) settings.Tree {
	rng := rand.New(rand.NewPCG(seed, seed))
	tree := settings.NewTree()
	for i := range n {
		team := fmt.Sprintf("team-%d", i/branchesPerTeam)
		if tree.Branches[team] == nil {
			tree.Branches[team] = map[string]string{"team": team}
		}
		tree.Branches[fmt.Sprintf("%s/work-%d", team, i)] = map[string]string{
			"team": team, "weight": strconv.Itoa(1 + rng.IntN(99)),
		}
	}
	return tree
}
