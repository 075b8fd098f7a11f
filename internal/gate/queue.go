package gate

import (
	"container/heap"

	"bamboofork/internal/invariant"
)

// Share is one level of a flow: a branch, an address prefix or a caller.
type Share struct {
	Key    string // unique among its siblings
	Weight int    // relative to its siblings; values under 1 count as 1
	// Burst is the number of requests that the node may run ahead of its siblings after it used less than its share.
	// It earns them back at the rate of its share, so in the long run it gains at most this many.
	Burst int
}

// fairQueue is hierarchical start-time fair queuing. Each node orders its backlogged children by virtual start time;
// a request is charged one unit when it is granted and corrected to the time it held the slot when it releases it.
//
// State: at most maxQueue waiters for each branch, one node for each level of a waiter's flow, and maxIdle idle
// children of each node. With b branches, l levels and q = maxQueue that is b*q waiters and at most
// b*q*l*(1+maxIdle) nodes; the number of callers and of addresses does not enter.
type fairQueue struct {
	root     *node
	maxQueue int
	order    int64
}

func newFairQueue(maxQueue int) *fairQueue {
	return &fairQueue{root: newNode(nil, Share{}), maxQueue: maxQueue}
}

func (q *fairQueue) len() int { return q.root.queued }

// push adds a waiter. At a full branch the newest waiter of the branch's longest flow makes room; if that flow is the
// waiter's own, push refuses it and returns false.
func (q *fairQueue) push(w *waiter, r Request) bool {
	q.open(w, r.Flow)
	defer q.close(w)
	branch := w.path[r.Branch]
	if branch.queued >= q.maxQueue && !q.makeRoom(branch, w) {
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

// open finds or creates the nodes of a flow.
func (q *fairQueue) open(w *waiter, flow []Share) {
	n := q.root
	w.path = make([]*node, 0, len(flow))
	for _, s := range flow {
		n = n.child(s)
		n.opening++
		w.path = append(w.path, n)
	}
	w.leaf = n
}

// close ends the opening of a flow; nodes that stay without waiters are retired.
func (q *fairQueue) close(w *waiter) {
	for i := len(w.path) - 1; i >= 0; i-- {
		w.path[i].opening--
		w.path[i].retire()
	}
}

// activate puts a node with waiters into its parent's order.
func (q *fairQueue) activate(n *node) {
	if n.index >= 0 {
		return
	}
	q.order++
	n.start, n.order = max(n.earliest(), n.finish), q.order
	heap.Push(&n.parent.active, n)
}

// makeRoom refuses the newest waiter of the longest flow of the branch, unless w's own flow is as long.
func (q *fairQueue) makeRoom(branch *node, w *waiter) bool {
	longest := branch
	for longest.queued > len(longest.waiters) {
		longest = longest.longestChild()
	}
	if len(longest.waiters) <= len(w.leaf.waiters)+1 && !q.crowds(longest, w) {
		return false
	}
	victim := longest.waiters[len(longest.waiters)-1]
	q.remove(victim)
	victim.finish(ErrQueue)
	return true
}

// crowds reports whether the prefix of the longest flow holds more waiters than w's prefix would.
func (q *fairQueue) crowds(longest *node, w *waiter) bool {
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

// pop takes the waiter that is next in fair order; the queue must not be empty.
func (q *fairQueue) pop() *waiter {
	n := q.root
	for len(n.active) > 0 {
		next := n.active[0]
		invariant.Check(next.queued > 0, "gate_queue_consistent", "node %q is ordered without waiters", next.key)
		n.virtual = max(n.virtual, next.start)
		n = next
	}
	w := n.waiters[0]
	n.waiters[0] = nil
	n.waiters = n.waiters[1:]
	w.queued = false
	for _, p := range w.path {
		p.finish = p.start + p.quantum()
	}
	q.left(w)
	return w
}

// remove takes a waiter out without charging its flow; false means that it was granted or refused already.
func (q *fairQueue) remove(w *waiter) bool {
	if !w.queued {
		return false
	}
	w.queued = false
	w.leaf.drop(w)
	for _, p := range w.path {
		p.finish = max(p.finish, p.start)
	}
	q.left(w)
	return true
}

// left updates the nodes above a waiter that is no longer queued.
func (q *fairQueue) left(w *waiter) {
	q.root.queued--
	for i := len(w.path) - 1; i >= 0; i-- {
		n := w.path[i]
		n.queued--
		n.reorder()
		n.retire()
	}
}

// maxCorrection bounds, in units of the mean time on a slot, what one request adds to its flow's charge. Without a
// bound one request that hangs until its deadline would shut its caller out for minutes.
const maxCorrection = 100

// correct charges the flow for the time that a request held its slot, relative to the mean.
func (q *fairQueue) correct(w *waiter, held, mean float64) {
	if mean <= 0 {
		return
	}
	units := min(held/mean-1, maxCorrection)
	for _, n := range w.path {
		if n.dropped {
			continue
		}
		change := max(units*n.quantum(), -n.quantum())
		n.finish += change
		if n.index >= 0 {
			n.start = max(n.start+change, n.earliest())
			heap.Fix(&n.parent.active, n.index)
		}
	}
}
