package delaycost

import (
	"hash/maphash"
	"strconv"
)

// maxKindBytes is the length up to which the name of a kind is kept as it is. Callers choose the names of images, of any length that a job
// may have; a longer name is kept as its hash.
const maxKindBytes = 128

var kindSeed = maphash.MakeSeed()

// kindKey returns the key under which a kind is kept.
func kindKey(kind string) string {
	if len(kind) <= maxKindBytes {
		return kind
	}
	return "#" + strconv.FormatUint(maphash.String(kindSeed, kind), 16)
}
