package dissemination

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bamboofork/internal/settings"
)

// Checksum identifies the content of a tree: it is the sum of the hashes of all branches with their settings. Two processes
// with the same revision and checksum hold the same settings. It detects corruption and divergence but does not
// authenticate the sender; that is left to the transport.
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
