package gate

import (
	"container/heap"

	"bamboofork/internal/invariant"
)

// FlowLevel is one level of a flow: a branch, an address prefix or a caller.
type FlowLevel struct {
	Key    string // unique among siblings
	Weight int    // relative to siblings; values under 1 count as 1
	// Burst is the number of requests by which the node may run ahead of its siblings after it used less than its share.
	// The allowance refills at the rate of the share, so in the long run the node gains at most this many requests.
	Burst int
}

// fairQueue implements hierarchical start-time fair queuing. Each node orders its backlogged children by virtual start
// time. A request is charged one unit when it is granted; on release the charge is adjusted to the time it held the slot.
//
// Memory: at most maxQueue waiters per branch, one node per level of a waiter's flow, and maxIdleChildren idle children
// per node. With b branches, l levels and q = maxQueue these are b*q waiters and at most b*q*l*(1+maxIdleChildren)
// nodes, whatever the number of callers and addresses.
type fairQueue struct {
	root     *node
	maxQueue int
	seq      int64
}

func newFairQueue(maxQueue int) *fairQueue {
	return &fairQueue{root: newNode(nil, FlowLevel{}), maxQueue: maxQueue}
}

func (q *fairQueue) len() int { return q.root.queued }

// push adds a waiter. If the branch's queue is full, the newest waiter of the branch's longest flow is evicted; if that
// flow is the waiter's own, push returns false instead.
func (q *fairQueue) push(w *waiter, r Request) bool {
	q.resolvePath(w, r.Flow)
	defer q.unpin(w)
	branch := w.path[r.Branch]
	if branch.queued >= q.maxQueue && !q.evictNewest(branch, w) {
		return false
	}
	w.queued = true
	w.leaf.waiters = append(w.leaf.waiters, w)
	for i := len(w.path) - 1; i >= 0; i-- {
		w.path[i].queued++
		q.activate(w.path[i])
	}
	q.root.queued++
	return true
}

// resolvePath finds or creates the nodes of a flow and pins them until unpin.
func (q *fairQueue) resolvePath(w *waiter, flow []FlowLevel) {
	n := q.root
	w.path = make([]*node, 0, len(flow))
	for _, level := range flow {
		n = n.child(level)
		n.pins++
		w.path = append(w.path, n)
	}
	w.leaf = n
}

// unpin releases the pins of resolvePath and marks nodes without waiters idle.
func (q *fairQueue) unpin(w *waiter) {
	for i := len(w.path) - 1; i >= 0; i-- {
		w.path[i].pins--
		w.path[i].markIdle()
	}
}

// activate adds a node with waiters to its parent's active heap.
func (q *fairQueue) activate(n *node) {
	if n.index >= 0 {
		return
	}
	q.seq++
	n.start, n.seq = max(n.earliestStart(), n.finish), q.seq
	heap.Push(&n.parent.active, n)
}

// evictNewest refuses the newest waiter of the branch's longest flow, unless w's own flow would be as long.
func (q *fairQueue) evictNewest(branch *node, w *waiter) bool {
	longest := branch
	for longest.queued > len(longest.waiters) {
		longest = longest.longestChild()
	}
	if len(longest.waiters) <= len(w.leaf.waiters)+1 && !q.prefixIsLonger(longest, w) {
		return false
	}
	victim := longest.waiters[len(longest.waiters)-1]
	q.remove(victim)
	victim.complete(ErrQueueFull)
	return true
}

// prefixIsLonger reports whether the longest flow's prefix holds more waiters than w's prefix would with w.
func (q *fairQueue) prefixIsLonger(longest *node, w *waiter) bool {
	return longest != w.leaf && longest.parent != w.leaf.parent && longest.parent.queued > w.leaf.parent.queued+1
}

// peek returns the waiter that is next in fair order; the queue must not be empty.
func (q *fairQueue) peek() *waiter {
	n := q.root
	for len(n.active) > 0 {
		n = n.active[0]
	}
	return n.waiters[0]
}

// pop removes the waiter that is next in fair order and charges its flow; the queue must not be empty.
func (q *fairQueue) pop() *waiter {
	n := q.root
	for len(n.active) > 0 {
		next := n.active[0]
		invariant.Check(next.queued > 0, "gate_queue_consistent", "node %q is in the active heap without waiters", next.key)
		n.virtualTime = max(n.virtualTime, next.start)
		n = next
	}
	w := n.waiters[0]
	n.waiters[0] = nil
	n.waiters = n.waiters[1:]
	w.queued = false
	for _, p := range w.path {
		p.finish = p.start + p.requestCharge()
	}
	q.updatePath(w)
	return w
}

// remove removes a waiter without charging its flow; false means that it has been granted or refused.
func (q *fairQueue) remove(w *waiter) bool {
	if !w.queued {
		return false
	}
	w.queued = false
	w.leaf.removeWaiter(w)
	for _, p := range w.path {
		p.finish = max(p.finish, p.start)
	}
	q.updatePath(w)
	return true
}

// updatePath updates the nodes on the path of a waiter that is no longer queued.
func (q *fairQueue) updatePath(w *waiter) {
	q.root.queued--
	for i := len(w.path) - 1; i >= 0; i-- {
		n := w.path[i]
		n.queued--
		n.updatePosition()
		n.markIdle()
	}
}

// maxAdjustment bounds the charge that one request adds to its flow, in mean slot hold times. Without a bound, one
// request that hangs until its deadline would block its caller for minutes.
const maxAdjustment = 100

// adjustCharge adjusts the flow's charge to the time that a request held its slot, relative to the mean.
func (q *fairQueue) adjustCharge(w *waiter, held, mean float64) {
	if mean <= 0 {
		return
	}
	units := min(held/mean-1, maxAdjustment)
	for _, n := range w.path {
		if n.dropped {
			continue
		}
		change := max(units*n.requestCharge(), -n.requestCharge())
		n.finish += change
		if n.index >= 0 {
			n.start = max(n.start+change, n.earliestStart())
			heap.Fix(&n.parent.active, n.index)
		}
	}
}
