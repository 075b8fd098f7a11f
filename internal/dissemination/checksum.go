package dissemination

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bamboofork/internal/settings"
)

// Checksum returns the sum of the hashes of all branches of a tree with their settings. Two processes with the same revision
// and checksum hold the same settings. The checksum detects corruption and divergence. It does not authenticate the sender,
// which is left to the transport.
func Checksum(tree settings.Tree) uint64 {
	sum := uint64(1)
	for path, values := range tree.Branches {
		sum += branchHash(path, values)
	}
	return sum
}

func branchHash(path string, values map[string]string) uint64 {
	digest := xxhash.New()
	writeField := func(s string) {
		digest.WriteString(s) //nolint:errcheck // never fails
		digest.Write([]byte{0})
	}
	writeField(path)
	for _, name := range slices.Sorted(maps.Keys(values)) {
		writeField(name)
		writeField(values[name])
	}
	return digest.Sum64()
}
