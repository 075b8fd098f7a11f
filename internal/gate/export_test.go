package gate

// Nodes returns the number of nodes of the queue's tree.
func Nodes(g *Gate) int { return countNodes(g.queue.root) }

func countNodes(n *node) int {
	total := 1
	for _, c := range n.children {
		total += countNodes(c)
	}
	return total
}
