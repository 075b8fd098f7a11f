package scheduler

import (
	"math"
	"math/rand/v2"
	"sort"

	"bamboofork/internal/worker"
)

// The index groups workers into buckets by the binary logarithm of their free cores and memory, and by whether they have
// a free accelerator. A decision examines only buckets in which the task can fit, so its cost does not grow with the fleet.
const (
	sizeClasses = 16
	memoryUnit  = 512 // MB; smaller sizes share the lowest class
	bucketCount = sizeClasses * sizeClasses * 2
)

// sizeClass returns 0 for x <= 0 and 1 for x < 1; the lower bounds of the further classes start at 1 and double.
func sizeClass(x float64) int {
	if x <= 0 {
		return 0
	}
	return min(sizeClasses-1, max(1, 2+int(math.Floor(math.Log2(x)))))
}

func classesOf(r worker.Resources) (cores, memory, accelerators int) {
	cores = sizeClass(2 * (r.Cores + 1e-6)) // in half cores; 1e-6 cores absorb rounding errors
	memory = sizeClass(float64(r.MemoryMB) / memoryUnit)
	if r.Accelerators > 0 {
		accelerators = 1
	}
	return cores, memory, accelerators
}

func bucketOf(r worker.Resources) int {
	c, m, a := classesOf(r)
	return (c*sizeClasses+m)*2 + a
}

// node is a worker in the cache. bucket and bucketIndex are its position in the index; bucket is -1 if it is not indexed.
type node struct {
	info        NodeInfo
	free        worker.Resources // reported free resources minus those of assumed tasks
	reservation *Reservation
	assumed     map[string]bool // names of tasks assumed here and not yet in a report
	bucket      int
	bucketIndex int
	listIndex   int // position in cache.nodeList
}

type index struct{ lists [bucketCount][]*node }

func (x *index) insert(n *node) {
	n.bucket = bucketOf(n.free)
	n.bucketIndex = len(x.lists[n.bucket])
	x.lists[n.bucket] = append(x.lists[n.bucket], n)
}

func (x *index) remove(n *node) {
	if n.bucket < 0 {
		return
	}
	list := x.lists[n.bucket]
	last := list[len(list)-1]
	list[n.bucketIndex], last.bucketIndex = last, n.bucketIndex
	list[len(list)-1] = nil
	x.lists[n.bucket] = list[:len(list)-1]
	n.bucket = -1
}

// move puts an indexed worker into the bucket of its current free resources.
func (x *index) move(n *node) {
	if n.bucket >= 0 && n.bucket != bucketOf(n.free) {
		x.remove(n)
		x.insert(n)
	}
}

// candidateSet is a view of the buckets whose workers may have the needed resources.
type candidateSet struct {
	lists      [][]*node
	cumulative []int // cumulative sizes of lists
	total      int
}

func (x *index) collectCandidates(need worker.Resources, set *candidateSet) {
	set.lists, set.cumulative, set.total = set.lists[:0], set.cumulative[:0], 0
	minCores, minMemory, minAccelerators := classesOf(need)
	for c := minCores; c < sizeClasses; c++ {
		for m := minMemory; m < sizeClasses; m++ {
			for a := minAccelerators; a < 2; a++ {
				list := x.lists[(c*sizeClasses+m)*2+a]
				if len(list) == 0 {
					continue
				}
				set.total += len(list)
				set.lists = append(set.lists, list)
				set.cumulative = append(set.cumulative, set.total)
			}
		}
	}
}

func (s *candidateSet) at(i int) *node {
	listIndex := sort.SearchInts(s.cumulative, i+1)
	offset := 0
	if listIndex > 0 {
		offset = s.cumulative[listIndex-1]
	}
	return s.lists[listIndex][i-offset]
}

// permutation iterates over 0 to total-1 in pseudo-random order without repeats, from a random start with a random stride
// that is coprime to total.
type permutation struct{ position, stride, total int }

func newPermutation(total int, rng *rand.Rand) permutation {
	if total <= 1 {
		return permutation{total: total, stride: 1}
	}
	stride := 1 + rng.IntN(total)
	for gcd(stride, total) != 1 {
		stride++
	}
	return permutation{position: rng.IntN(total), stride: stride % total, total: total}
}

func (p *permutation) next() int {
	current := p.position
	p.position = (p.position + p.stride) % p.total
	return current
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
