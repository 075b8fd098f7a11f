package gate

// CountNodes returns the number of nodes of the queue's tree.
func CountNodes(g *Gate) int { return countNodes(g.queue.root) }

func countNodes(n *node) int {
	count := 1
	for _, c := range n.children {
		count += countNodes(c)
	}
	return count
}
