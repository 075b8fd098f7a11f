package scheduler

import (
	"math"
	"math/rand/v2"
	"sort"

	"bamboofork/internal/worker"
)

// The index keeps workers in buckets by the binary logarithm of their free cores and memory, and by whether they have a
// free accelerator. A decision looks only at buckets in which the task can fit, so its cost does not grow with the fleet.
const (
	sizeClasses = 16
	memoryUnit  = 512 // MB; less memory falls into the lowest class
	buckets     = sizeClasses * sizeClasses * 2
)

// sizeClass maps 0 and less to 0, and doubles per class above.
func sizeClass(x float64) int {
	if x <= 0 {
		return 0
	}
	return min(sizeClasses-1, max(1, 2+int(math.Floor(math.Log2(x)))))
}

func classesOf(r worker.Resources) (cores, memory, accelerators int) {
	cores = sizeClass(2 * (r.Cores + 1e-6))
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

// node is a worker in the cache. Its position in the index is bucket and pos; bucket is -1 outside.
type node struct {
	info     NodeInfo
	free     worker.Resources // reported free room less what was assumed since
	reserved *Reservation
	assumed  map[string]bool // tasks assumed here and not yet in a report
	bucket   int
	pos      int
	listed   int // position in the cache's list
}

type index struct{ lists [buckets][]*node }

func (x *index) insert(n *node) {
	n.bucket = bucketOf(n.free)
	n.pos = len(x.lists[n.bucket])
	x.lists[n.bucket] = append(x.lists[n.bucket], n)
}

func (x *index) remove(n *node) {
	if n.bucket < 0 {
		return
	}
	list := x.lists[n.bucket]
	last := list[len(list)-1]
	list[n.pos], last.pos = last, n.pos
	list[len(list)-1] = nil
	x.lists[n.bucket] = list[:len(list)-1]
	n.bucket = -1
}

// move puts a worker into the bucket of its current room.
func (x *index) move(n *node) {
	if n.bucket >= 0 && n.bucket != bucketOf(n.free) {
		x.remove(n)
		x.insert(n)
	}
}

// span is a view of the buckets in which a need can fit.
type span struct {
	lists [][]*node
	ends  []int // cumulative sizes
	total int
}

func (x *index) candidates(need worker.Resources, s *span) {
	s.lists, s.ends, s.total = s.lists[:0], s.ends[:0], 0
	c0, m0, a0 := classesOf(need)
	for c := c0; c < sizeClasses; c++ {
		for m := m0; m < sizeClasses; m++ {
			for a := a0; a < 2; a++ {
				list := x.lists[(c*sizeClasses+m)*2+a]
				if len(list) == 0 {
					continue
				}
				s.total += len(list)
				s.lists = append(s.lists, list)
				s.ends = append(s.ends, s.total)
			}
		}
	}
}

func (s *span) at(i int) *node {
	l := sort.SearchInts(s.ends, i+1)
	start := 0
	if l > 0 {
		start = s.ends[l-1]
	}
	return s.lists[l][i-start]
}

// order visits positions 0 to total-1 in a scattered order without repeats: a random start and a random stride that has
// no common divisor with total.
type order struct{ next, stride, total int }

func newOrder(total int, rnd *rand.Rand) order {
	if total <= 1 {
		return order{total: total, stride: 1}
	}
	stride := 1 + rnd.IntN(total)
	for gcd(stride, total) != 1 {
		stride++
	}
	return order{next: rnd.IntN(total), stride: stride % total, total: total}
}

func (o *order) step() int {
	at := o.next
	o.next = (o.next + o.stride) % o.total
	return at
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
