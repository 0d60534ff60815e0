package acaciaprefix

import "container/list"

type (
	// NodeIndex records which nodes have recently run prompts with a prefix. It
	// evicts the least recently used prefix first.
	NodeIndex struct {
		capacity int
		recency  *list.List
		entries  map[uint64]*list.Element
	}

	// recentNodes lists the last nodes that ran a prefix, the most recent first.
	recentNodes struct {
		prefix uint64
		nodes  []string
	}
)

// maxNodesPerPrefix is the number of nodes recorded for one prefix.
const maxNodesPerPrefix = 3

// NewNodeIndex returns an empty index with a capacity in prefixes.
func NewNodeIndex(capacity int) *NodeIndex {
	return &NodeIndex{capacity: capacity, recency: list.New(), entries: map[uint64]*list.Element{}}
}

// Add records that a node has run a prompt with these prefixes.
func (n *NodeIndex) Add(prefixes []uint64, node string) {
	for _, prefix := range prefixes {
		n.addPrefix(prefix, node)
	}
	for len(n.entries) > n.capacity {
		last := n.recency.Back()
		n.recency.Remove(last)
		delete(n.entries, last.Value.(*recentNodes).prefix)
	}
}

// TokensByNode returns, for each recorded node, how many leading tokens of a prompt
// with these prefixes the node has recently run.
func (n *NodeIndex) TokensByNode(prefixes []uint64) map[string]int {
	tokensByNode := map[string]int{}
	for i, prefix := range prefixes {
		element, ok := n.entries[prefix]
		if !ok {
			break
		}
		for _, node := range element.Value.(*recentNodes).nodes {
			tokensByNode[node] = CoveredTokens(i + 1)
		}
	}
	return tokensByNode
}

// addPrefix makes the node the most recent one of a prefix.
func (n *NodeIndex) addPrefix(prefix uint64, node string) {
	element, ok := n.entries[prefix]
	if !ok {
		n.entries[prefix] = n.recency.PushFront(&recentNodes{prefix, []string{node}})
		return
	}
	n.recency.MoveToFront(element)
	entry := element.Value.(*recentNodes)
	nodes := []string{node}
	for _, other := range entry.nodes {
		if other != node && len(nodes) < maxNodesPerPrefix {
			nodes = append(nodes, other)
		}
	}
	entry.nodes = nodes
}
