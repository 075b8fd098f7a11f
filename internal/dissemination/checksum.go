package dissemination

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bamboofork/internal/settings"
)

// Checksum identifies the content of a tree: the sum of a hash of each branch with its settings. Together with the
// revision it tells whether two processes hold the same accepted value. It finds damage and divergence; it does not
// authenticate, which is the connections' task.
func Checksum(tree settings.Tree) uint64 {
	sum := uint64(1)
	for path, values := range tree.Branches {
		sum += branchHash(path, values)
	}
	return sum
}

func branchHash(path string, values map[string]string) uint64 {
	d := xxhash.New()
	write := func(s string) {
		d.WriteString(s) //nolint:errcheck // never fails
		d.Write([]byte{0})
	}
	write(path)
	for _, name := range slices.Sorted(maps.Keys(values)) {
		write(name)
		write(values[name])
	}
	return d.Sum64()
}
