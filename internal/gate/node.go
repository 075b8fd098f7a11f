package gate

import (
	"container/heap"
	"slices"
)

// maxIdle is the number of idle children whose charge a node remembers. A forgotten flow loses a debt of about one
// request, so the number bounds state and not fairness.
const maxIdle = 64

// node is one level of a flow. Times are virtual, in units of one mean request of weight 1.
type node struct {
	parent   *node
	key      string
	weight   float64
	burst    float64
	children map[string]*node
	active   activeHeap // children with waiters, by virtual start time
	idle     []*node    // children without waiters, longest idle first
	virtual  float64    // start time of the child that was served last

	start   float64 // virtual start time of the node's next request
	finish  float64 // virtual finish time of the node's newest request
	order   int64   // breaks ties between equal start times
	index   int     // place in the parent's active heap, -1 outside
	inIdle  bool
	opening int // requests between open and their first place in the queue; the node must not be dropped
	dropped bool

	queued  int       // waiters at and below the node
	waiters []*waiter // of a leaf, oldest first
}

func newNode(parent *node, s Share) *node {
	n := &node{parent: parent, key: s.Key, index: -1}
	n.apply(s)
	return n
}

// apply puts a share's weight and burst in force.
func (n *node) apply(s Share) {
	n.weight = float64(max(1, s.Weight))
	n.burst = float64(max(0, s.Burst))
}

// earliest is the lowest virtual start time that the node may take now.
func (n *node) earliest() float64 { return n.parent.virtual - n.burst*n.quantum() }

// quantum is the charge of one mean request.
func (n *node) quantum() float64 { return 1 / n.weight }

// child finds or creates the child of a share and puts a changed weight in force.
func (n *node) child(s Share) *node {
	c := n.children[s.Key]
	if c == nil {
		c = newNode(n, s)
		if n.children == nil {
			n.children = map[string]*node{}
		}
		n.children[s.Key] = c
	}
	c.apply(s)
	return c
}

// reorder moves the node to its place after a waiter left.
func (n *node) reorder() {
	if n.index < 0 {
		return
	}
	if n.queued == 0 {
		heap.Remove(&n.parent.active, n.index)
		return
	}
	n.start = max(n.start, n.finish)
	heap.Fix(&n.parent.active, n.index)
}

func (n *node) inUse() bool { return n.queued > 0 || n.opening > 0 }

// retire drops a node without waiters once it owes nothing, or keeps it among the parent's idle children.
func (n *node) retire() {
	if n.inUse() || n.inIdle {
		return
	}
	n.inIdle = true
	n.parent.idle = append(n.parent.idle, n)
	n.parent.prune()
}

// prune drops idle children that owe nothing, and the longest idle ones over the bound.
func (n *node) prune() {
	for len(n.idle) > 0 {
		first := n.idle[0]
		owes := first.inUse() || first.finish > first.earliest()
		if owes && len(n.idle) <= maxIdle {
			return
		}
		n.idle = n.idle[1:]
		first.inIdle = false
		if !first.inUse() {
			first.dropped = true
			delete(n.children, first.key)
		}
	}
}

// longestChild returns the child with the most waiters.
func (n *node) longestChild() *node {
	longest := n.active[0]
	for _, c := range n.active {
		if c.queued > longest.queued {
			longest = c
		}
	}
	return longest
}

func (n *node) drop(w *waiter) {
	i := slices.Index(n.waiters, w)
	n.waiters = slices.Delete(n.waiters, i, i+1)
}

// activeHeap orders nodes by virtual start time, then by the time they became backlogged.
type activeHeap []*node

func (h activeHeap) Len() int { return len(h) }

func (h activeHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].order < h[j].order
}

func (h activeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *activeHeap) Push(x any) {
	n := x.(*node)
	n.index = len(*h)
	*h = append(*h, n)
}

// Pop implements heap.Interface.
func (h *activeHeap) Pop() any {
	old := *h
	n := old[len(old)-1]
	n.index = -1
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return n
}
