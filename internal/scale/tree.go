package scale

import (
	"fmt"
	"math/rand/v2"
	"strconv"

	"bamboofork/internal/settings"
)

// branchesPerTeam is the number of branches below each team of the generated tree.
const branchesPerTeam = 20

// GenerateTree returns a valid settings tree with n branches below the teams, whose values differ as in operators' trees.
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
