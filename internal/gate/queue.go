package gate

import (
	"container/heap"

	"bamboofork/internal/invariant"
)

// FlowLevel is one level of a flow: a branch, an address prefix or a caller.
type FlowLevel struct {
	Key    string // unique among siblings
	Weight int    // relative to siblings; values under 1 count as 1
	// Burst is the number of requests that the flow may run ahead of its siblings after it used less than its fair share.
	// The allowance refills at the rate of the share, so in the long run the flow gains at most this many requests.
	Burst int
}

// fairQueue implements hierarchical start-time fair queuing. Each node orders its backlogged children by virtual start
// time. A flow is charged for one mean request when a slot is granted. When the slot is released, the charge is adjusted to
// the time for which the slot was held.
//
// Memory: at most maxQueue waiters per branch, one node per level of a waiter's flow, and maxIdleChildren idle children
// per node. With b branches, l levels and q = maxQueue these are b*q waiters and at most b*q*l*(1+maxIdleChildren)
// nodes, whatever the number of callers and addresses.
type fairQueue struct {
	root     *node
	maxQueue int
	lastSeq  int64 // activationSeq of the newest activation
}

func newFairQueue(maxQueue int) *fairQueue {
	return &fairQueue{root: newNode(nil, FlowLevel{}), maxQueue: maxQueue}
}

func (q *fairQueue) len() int { return q.root.queuedCount }

// push adds a waiter and reports whether it did. If the branch's queue is full, the newest waiter of the branch's longest
// flow is evicted. If the waiter's own flow would be the longest, push returns false and evicts nothing.
func (q *fairQueue) push(w *waiter, r Request) bool {
	q.resolvePath(w, r.Flow)
	defer q.unpin(w)
	branch := w.path[r.BranchIndex]
	if branch.queuedCount >= q.maxQueue && !q.evictNewest(branch, w) {
		return false
	}
	w.isQueued = true
	w.leaf.waiters = append(w.leaf.waiters, w)
	for i := len(w.path) - 1; i >= 0; i-- {
		w.path[i].queuedCount++
		q.activate(w.path[i])
	}
	q.root.queuedCount++
	return true
}

// resolvePath finds or creates the nodes of a flow and pins them until unpin.
func (q *fairQueue) resolvePath(w *waiter, flow []FlowLevel) {
	n := q.root
	w.path = make([]*node, 0, len(flow))
	for _, level := range flow {
		n = n.child(level)
		n.pinCount++
		w.path = append(w.path, n)
	}
	w.leaf = n
}

// unpin releases the pins of resolvePath and marks nodes without waiters idle.
func (q *fairQueue) unpin(w *waiter) {
	for i := len(w.path) - 1; i >= 0; i-- {
		w.path[i].pinCount--
		w.path[i].markIdle()
	}
}

// activate adds a node that has waiters to the heap of its parent's active children, unless the node is in the heap already.
func (q *fairQueue) activate(n *node) {
	if n.heapIndex >= 0 {
		return
	}
	q.lastSeq++
	n.virtualStart, n.activationSeq = max(n.earliestStart(), n.virtualFinish), q.lastSeq
	heap.Push(&n.parent.activeChildren, n)
}

// evictNewest refuses the newest waiter of the branch's longest flow and reports whether it did. It refuses nothing if the
// flow of w would be as long with w, unless prefixIsLonger holds.
func (q *fairQueue) evictNewest(branch *node, w *waiter) bool {
	longest := branch
	for longest.queuedCount > len(longest.waiters) {
		longest = longest.longestChild()
	}
	if len(longest.waiters) <= len(w.leaf.waiters)+1 && !q.prefixIsLonger(longest, w) {
		return false
	}
	evicted := longest.waiters[len(longest.waiters)-1]
	q.remove(evicted)
	evicted.complete(ErrQueueFull)
	return true
}

// prefixIsLonger reports whether the prefix of the longest flow has more waiters than the prefix of w would have with w.
func (q *fairQueue) prefixIsLonger(longest *node, w *waiter) bool {
	return longest != w.leaf && longest.parent != w.leaf.parent && longest.parent.queuedCount > w.leaf.parent.queuedCount+1
}

// peek returns the waiter that is next in fair order; the queue must not be empty.
func (q *fairQueue) peek() *waiter {
	n := q.root
	for len(n.activeChildren) > 0 {
		n = n.activeChildren[0]
	}
	return n.waiters[0]
}

// pop removes the waiter that is next in fair order and charges its flow; the queue must not be empty.
func (q *fairQueue) pop() *waiter {
	n := q.root
	for len(n.activeChildren) > 0 {
		next := n.activeChildren[0]
		invariant.Check(next.queuedCount > 0, "gate_queue_consistent", "node %q is in the active heap without waiters", next.key)
		n.virtualTime = max(n.virtualTime, next.virtualStart)
		n = next
	}
	w := n.waiters[0]
	n.waiters[0] = nil
	n.waiters = n.waiters[1:]
	w.isQueued = false
	for _, p := range w.path {
		p.virtualFinish = p.virtualStart + p.requestCharge()
	}
	q.updatePath(w)
	return w
}

// remove removes a waiter without charging the waiter's flow. It returns false if the waiter has already been granted a slot
// or been refused.
func (q *fairQueue) remove(w *waiter) bool {
	if !w.isQueued {
		return false
	}
	w.isQueued = false
	w.leaf.removeWaiter(w)
	for _, p := range w.path {
		p.virtualFinish = max(p.virtualFinish, p.virtualStart)
	}
	q.updatePath(w)
	return true
}

// updatePath updates the nodes on the path of a waiter that is no longer queued.
func (q *fairQueue) updatePath(w *waiter) {
	q.root.queuedCount--
	for i := len(w.path) - 1; i >= 0; i-- {
		n := w.path[i]
		n.queuedCount--
		n.updatePosition()
		n.markIdle()
	}
}

// maxAdjustmentHolds is the maximum charge that the release of one request adds to its flow, in mean slot hold times. Without
// a bound, one request that hangs until its deadline would block its caller for minutes.
const maxAdjustmentHolds = 100

// adjustCharge adjusts the charge of the waiter's flow to the time for which the request held its slot. Both arguments are in
// seconds; without a mean, the charge stays.
func (q *fairQueue) adjustCharge(w *waiter, heldSeconds, meanSeconds float64) {
	if meanSeconds <= 0 {
		return
	}
	extraHolds := min(heldSeconds/meanSeconds-1, maxAdjustmentHolds)
	for _, n := range w.path {
		if n.isDropped {
			continue
		}
		chargeChange := max(extraHolds*n.requestCharge(), -n.requestCharge())
		n.virtualFinish += chargeChange
		if n.heapIndex >= 0 {
			n.virtualStart = max(n.virtualStart+chargeChange, n.earliestStart())
			heap.Fix(&n.parent.activeChildren, n.heapIndex)
		}
	}
}
