package gate

import (
	"container/heap"
	"slices"
)

// maxIdleChildren is the number of idle children whose charge a node keeps. Dropping a child forgives a charge of about
// one request, so the limit bounds memory without a noticeable effect on fairness.
const maxIdleChildren = 64

// node is one level of a flow in the queue's tree. Start and finish times are virtual; the unit is the charge of a mean
// request of weight 1.
type node struct {
	parent      *node
	key         string
	weight      float64
	burst       float64
	children    map[string]*node
	active      activeHeap // children with waiters, by virtual start time
	idle        []*node    // children without waiters, least recently active first
	virtualTime float64    // highest start time of a child that was served

	start   float64 // virtual start time of the node's next request
	finish  float64 // virtual finish time of the node's newest request
	seq     int64   // breaks ties between equal start times, oldest first
	index   int     // index in the parent's active heap, -1 if not in it
	inIdle  bool
	pins    int // requests between resolvePath and unpin; while positive the node must not be dropped
	dropped bool

	queued  int       // waiters in the node's subtree
	waiters []*waiter // only in leaves, oldest first
}

func newNode(parent *node, level FlowLevel) *node {
	n := &node{parent: parent, key: level.Key, index: -1}
	n.setLevel(level)
	return n
}

// setLevel sets the weight and the burst of the node.
func (n *node) setLevel(level FlowLevel) {
	n.weight = float64(max(1, level.Weight))
	n.burst = float64(max(0, level.Burst))
}

// earliestStart returns the lowest virtual start time that the node may be given now.
func (n *node) earliestStart() float64 { return n.parent.virtualTime - n.burst*n.requestCharge() }

// requestCharge returns the charge of one mean request.
func (n *node) requestCharge() float64 { return 1 / n.weight }

// child finds or creates the child for a flow level and applies the current weight and burst of the level.
func (n *node) child(level FlowLevel) *node {
	c := n.children[level.Key]
	if c == nil {
		c = newNode(n, level)
		if n.children == nil {
			n.children = map[string]*node{}
		}
		n.children[level.Key] = c
	}
	c.setLevel(level)
	return c
}

// updatePosition restores the node's position in the parent's heap after one of its waiters was taken out.
func (n *node) updatePosition() {
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

// inUse reports whether the node has waiters or is pinned.
func (n *node) inUse() bool { return n.queued > 0 || n.pins > 0 }

// markIdle adds a node that is not in use to the parent's idle children, which may drop it.
func (n *node) markIdle() {
	if n.inUse() || n.inIdle {
		return
	}
	n.inIdle = true
	n.parent.idle = append(n.parent.idle, n)
	n.parent.pruneIdle()
}

// pruneIdle drops idle children without an outstanding charge, and the least recently active ones over maxIdleChildren.
func (n *node) pruneIdle() {
	for len(n.idle) > 0 {
		first := n.idle[0]
		keep := first.inUse() || first.finish > first.earliestStart()
		if keep && len(n.idle) <= maxIdleChildren {
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

// removeWaiter deletes a waiter from a leaf.
func (n *node) removeWaiter(w *waiter) {
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
	return h[i].seq < h[j].seq
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
