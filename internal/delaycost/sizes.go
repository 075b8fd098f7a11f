package delaycost

import (
	"cmp"
	"slices"
)

// Size is the size class of a job within its queue, by its work.
type Size int

// Size classes: the largest tenth of a queue's jobs, the fifth below it, and the others.
const (
	Usual Size = iota
	Large
	Largest
	sizes
)

const (
	maxSizes   = 200 // submissions of a queue whose sizes count
	minSizes   = 20  // submissions of a queue before its jobs are told apart by size
	maxQueues  = 256
	sizesDue   = 16 // submissions after which the bounds of the classes are computed again
	halfLife   = 60 // ended jobs of a queue after which an earlier one counts half
	largestPos = 0.9
	largePos   = 0.7
)

// Sizes learns the sizes of the jobs of each queue, and how well each size is served.
type Sizes struct{ byQueue map[string]*queueSizes }

type queueSizes struct {
	works         []float64 // of the newest submissions, as a ring
	next, changes int
	sum           float64
	large         float64 // least work of Large
	largest       float64 // least work of Largest
	ended, served [sizes]float64
}

// NewSizes returns a Sizes that has seen no jobs.
func NewSizes() *Sizes { return &Sizes{byQueue: map[string]*queueSizes{}} }

// Submitted records the work of a submitted job.
func (s *Sizes) Submitted(queue string, work float64) {
	q := s.byQueue[queue]
	if q == nil {
		if len(s.byQueue) >= maxQueues {
			return
		}
		q = &queueSizes{}
		s.byQueue[queue] = q
	}
	if len(q.works) < maxSizes {
		q.works = append(q.works, work)
	} else {
		q.sum -= q.works[q.next]
		q.works[q.next] = work
		q.next = (q.next + 1) % maxSizes
	}
	q.sum += work
	q.changes++
	if len(q.works) >= minSizes && (q.changes >= sizesDue || q.largest == 0) {
		q.changes = 0
		sorted := slices.Clone(q.works)
		slices.SortFunc(sorted, cmp.Compare[float64])
		q.large, q.largest = sorted[int(largePos*float64(len(sorted)))], sorted[int(largestPos*float64(len(sorted)))]
	}
}

// MeanWork returns the mean work of the queue's jobs; 0 before any was submitted.
func (s *Sizes) MeanWork(queue string) float64 {
	q := s.byQueue[queue]
	if q == nil || len(q.works) == 0 {
		return 0
	}
	return q.sum / float64(len(q.works))
}

// SizeOf returns the class of a job of the queue.
func (s *Sizes) SizeOf(queue string, work float64) Size {
	q := s.byQueue[queue]
	switch {
	case q == nil || q.largest == 0 || work < q.large:
		return Usual
	case work < q.largest:
		return Large
	}
	return Largest
}

// Ended records whether a job was completed in time.
func (s *Sizes) Ended(queue string, size Size, inTime bool) {
	q := s.byQueue[queue]
	if q == nil {
		return
	}
	const keep = 1 - 0.693/halfLife
	for i := range q.ended {
		q.ended[i], q.served[i] = keep*q.ended[i], keep*q.served[i]
	}
	q.ended[size]++
	if inTime {
		q.served[size]++
	}
}

// IsBehind reports whether a size class is served clearly less well than its queue as a whole, so that it must go ahead of the others.
func (s *Sizes) IsBehind(queue string, size Size) bool {
	q := s.byQueue[queue]
	if q == nil || size == Usual {
		return false
	}
	ended, served := 0.0, 0.0
	for i := range q.ended {
		ended, served = ended+q.ended[i], served+q.served[i]
	}
	if ended == 0 || q.ended[size] == 0 {
		return false
	}
	return q.served[size]/q.ended[size] < minShare*served/ended
}

// minShare is the share of a size class in time as a fraction of that of its queue, below which the class is behind. Callers of large
// jobs must not be served less than half as often; the rest is margin for the jobs on the way.
const minShare = 0.75
