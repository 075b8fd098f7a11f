package gate

import (
	"container/heap"
	"slices"
)

// maxIdleChildren is the maximum number of idle children that a node keeps with their charges. Dropping a child cancels a
// charge of about one request, so the limit bounds memory without a noticeable effect on fairness.
const maxIdleChildren = 64

// node is one level of a flow in the queue's tree. virtualTime, virtualStart and virtualFinish are virtual times in the sense
// of start-time fair queuing. One unit of virtual time is the charge of a mean request of weight 1.
type node struct {
	parent         *node
	key            string
	weight         float64
	burst          float64
	children       map[string]*node
	activeChildren activeHeap // children with waiters, by virtual start time
	idleChildren   []*node    // children without waiters, least recently active first
	virtualTime    float64    // highest start time of a child that was served

	virtualStart  float64 // virtual start time of the node's next request
	virtualFinish float64 // virtual finish time of the node's newest request
	activationSeq int64   // breaks ties between equal start times: the node that became backlogged first is served first
	heapIndex     int     // index in the parent's heap of active children, -1 if the node is not in the heap
	isIdle        bool    // in the parent's idleChildren
	pinCount      int     // number of requests between resolvePath and unpin; the node must not be dropped while it is positive
	isDropped     bool    // removed from the parent's children

	queuedCount int       // waiters in the node's subtree
	waiters     []*waiter // only in leaves, oldest first
}

func newNode(parent *node, level FlowLevel) *node {
	n := &node{parent: parent, key: level.Key, heapIndex: -1}
	n.setLevel(level)
	return n
}

// setLevel sets the weight and the burst of the node.
func (n *node) setLevel(level FlowLevel) {
	n.weight = float64(max(1, level.Weight))
	n.burst = float64(max(0, level.Burst))
}

// earliestStart returns the lowest virtual start time that the node may be given now. The burst allows a start time before
// the parent's virtual time.
func (n *node) earliestStart() float64 { return n.parent.virtualTime - n.burst*n.requestCharge() }

// requestCharge returns the virtual time that one mean request is charged. It is inversely proportional to the weight.
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

// updatePosition restores the node's position in the parent's heap after a waiter was removed from the node's subtree. A node
// without waiters leaves the heap.
func (n *node) updatePosition() {
	if n.heapIndex < 0 {
		return
	}
	if n.queuedCount == 0 {
		heap.Remove(&n.parent.activeChildren, n.heapIndex)
		return
	}
	n.virtualStart = max(n.virtualStart, n.virtualFinish)
	heap.Fix(&n.parent.activeChildren, n.heapIndex)
}

// inUse reports whether the node has waiters or is pinned.
func (n *node) inUse() bool { return n.queuedCount > 0 || n.pinCount > 0 }

// markIdle adds a node that is not in use to the parent's idle children. The parent may then drop the node.
func (n *node) markIdle() {
	if n.inUse() || n.isIdle {
		return
	}
	n.isIdle = true
	n.parent.idleChildren = append(n.parent.idleChildren, n)
	n.parent.pruneIdle()
}

// pruneIdle drops idle children that have no outstanding charge. If more than maxIdleChildren are idle, the least recently
// active children are dropped as well.
func (n *node) pruneIdle() {
	for len(n.idleChildren) > 0 {
		first := n.idleChildren[0]
		keep := first.inUse() || first.virtualFinish > first.earliestStart()
		if keep && len(n.idleChildren) <= maxIdleChildren {
			return
		}
		n.idleChildren = n.idleChildren[1:]
		first.isIdle = false
		if !first.inUse() {
			first.isDropped = true
			delete(n.children, first.key)
		}
	}
}

// longestChild returns the child with the most waiters. The node must have a child with waiters.
func (n *node) longestChild() *node {
	longest := n.activeChildren[0]
	for _, c := range n.activeChildren {
		if c.queuedCount > longest.queuedCount {
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
	if h[i].virtualStart != h[j].virtualStart {
		return h[i].virtualStart < h[j].virtualStart
	}
	return h[i].activationSeq < h[j].activationSeq
}

func (h activeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *activeHeap) Push(x any) {
	n := x.(*node)
	n.heapIndex = len(*h)
	*h = append(*h, n)
}

// Pop implements heap.Interface.
func (h *activeHeap) Pop() any {
	old := *h
	n := old[len(old)-1]
	n.heapIndex = -1
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return n
}
