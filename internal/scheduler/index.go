package scheduler

import (
	"math"
	"math/rand/v2"
	"sort"

	"bamboofork/internal/worker"
)

// Dimensions of the index. The index groups workers into buckets by the binary logarithm of their free cores and memory, and by
// whether they have a free accelerator. A decision examines only workers in buckets in which the task can fit, so that the cost
// of a decision does not grow with the fleet.
const (
	sizeClassCount = 16
	memoryUnitMB   = 512 // memory at the lower bound of size class 2; smaller sizes share class 1
	bucketCount    = sizeClassCount * sizeClassCount * 2
)

// sizeClass returns the size class of x: 0 for x <= 0 and 1 for x < 1. The lower bound of class 2 is 1; the lower bounds of the
// further classes double up to the last class, sizeClassCount-1.
func sizeClass(x float64) int {
	if x <= 0 {
		return 0
	}
	return min(sizeClassCount-1, max(1, 2+int(math.Floor(math.Log2(x)))))
}

// sizeClassesOf returns the size classes of the cores and the memory, and 1 as the accelerator class with an accelerator, else 0.
func sizeClassesOf(r worker.Resources) (cores, memory, accelerators int) {
	cores = sizeClass(2 * (r.Cores + 1e-6)) // in half cores; 1e-6 cores absorb rounding errors
	memory = sizeClass(float64(r.MemoryMB) / memoryUnitMB)
	if r.Accelerators > 0 {
		accelerators = 1
	}
	return cores, memory, accelerators
}

// bucketOf returns the number of the bucket in the index for workers with these free resources.
func bucketOf(r worker.Resources) int {
	coresClass, memoryClass, acceleratorClass := sizeClassesOf(r)
	return (coresClass*sizeClassCount+memoryClass)*2 + acceleratorClass
}

// node is a worker in the cache.
type node struct {
	info          NodeInfo         // latest report
	free          worker.Resources // reported free resources minus those of assumed tasks
	reservation   *Reservation     // reservation on this worker; nil: none
	assumedTasks  map[string]bool  // names of the tasks that are assumed on this worker and not yet in a report
	bucketNumber  int              // number of the worker's bucket in the index; -1: not indexed
	indexInBucket int              // position in the bucket
	nodeListIndex int              // position in cache.nodeList
}

// index holds the workers by bucket; see bucketOf.
type index struct{ buckets [bucketCount][]*node }

func (x *index) insert(inserted *node) {
	inserted.bucketNumber = bucketOf(inserted.free)
	inserted.indexInBucket = len(x.buckets[inserted.bucketNumber])
	x.buckets[inserted.bucketNumber] = append(x.buckets[inserted.bucketNumber], inserted)
}

func (x *index) remove(removed *node) {
	if removed.bucketNumber < 0 {
		return
	}
	bucket := x.buckets[removed.bucketNumber]
	lastNode := bucket[len(bucket)-1]
	bucket[removed.indexInBucket], lastNode.indexInBucket = lastNode, removed.indexInBucket
	bucket[len(bucket)-1] = nil
	x.buckets[removed.bucketNumber] = bucket[:len(bucket)-1]
	removed.bucketNumber = -1
}

// updateBucket moves an indexed worker to the bucket of its current free resources.
func (x *index) updateBucket(moved *node) {
	if moved.bucketNumber >= 0 && moved.bucketNumber != bucketOf(moved.free) {
		x.remove(moved)
		x.insert(moved)
	}
}

// candidateSet is the set of workers in the buckets in which a task can fit.
type candidateSet struct {
	buckets         [][]*node // non-empty buckets
	cumulativeSizes []int     // number of workers in each bucket and the buckets before it
	size            int       // number of workers
}

// collectCandidates fills set with the workers in the buckets in which need can fit.
func (x *index) collectCandidates(need worker.Resources, set *candidateSet) {
	set.buckets, set.cumulativeSizes, set.size = set.buckets[:0], set.cumulativeSizes[:0], 0
	minCoresClass, minMemoryClass, minAcceleratorClass := sizeClassesOf(need)
	for coresClass := minCoresClass; coresClass < sizeClassCount; coresClass++ {
		for memoryClass := minMemoryClass; memoryClass < sizeClassCount; memoryClass++ {
			for acceleratorClass := minAcceleratorClass; acceleratorClass < 2; acceleratorClass++ {
				bucket := x.buckets[(coresClass*sizeClassCount+memoryClass)*2+acceleratorClass]
				if len(bucket) == 0 {
					continue
				}
				set.size += len(bucket)
				set.buckets = append(set.buckets, bucket)
				set.cumulativeSizes = append(set.cumulativeSizes, set.size)
			}
		}
	}
}

// nodeAt returns the worker at a position from 0 to size-1, counted over all buckets.
func (s *candidateSet) nodeAt(position int) *node {
	bucketPosition := sort.SearchInts(s.cumulativeSizes, position+1)
	firstPosition := 0
	if bucketPosition > 0 {
		firstPosition = s.cumulativeSizes[bucketPosition-1]
	}
	return s.buckets[bucketPosition][position-firstPosition]
}

// permutation iterates over 0 to length-1 in pseudo-random order without repeats. It begins at a random position and advances
// by a random stride that is coprime to length.
type permutation struct{ position, stride, length int }

func newPermutation(length int, rng *rand.Rand) permutation {
	if length <= 1 {
		return permutation{length: length, stride: 1}
	}
	stride := 1 + rng.IntN(length)
	for gcd(stride, length) != 1 {
		stride++
	}
	return permutation{position: rng.IntN(length), stride: stride % length, length: length}
}

func (p *permutation) next() int {
	current := p.position
	p.position = (p.position + p.stride) % p.length
	return current
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
