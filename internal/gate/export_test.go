package gate

// Nodes returns the number of nodes of the queue's tree.
func Nodes(g *Gate) int { return count(g.queue.root) }

func count(n *node) int {
	total := 1
	for _, c := range n.children {
		total += count(c)
	}
	return total
}
