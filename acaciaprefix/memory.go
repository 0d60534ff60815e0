package acaciaprefix

import "container/list"

type (
	// Memory records which nodes have recently run prompts with a prefix. It evicts the
	// least recently used prefix first.
	Memory struct {
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

// NewMemory returns an empty memory with a capacity in prefixes.
func NewMemory(capacity int) *Memory {
	return &Memory{capacity: capacity, recency: list.New(), entries: map[uint64]*list.Element{}}
}

// Add records that a node has run a prompt with these prefixes.
func (m *Memory) Add(prefixes []uint64, node string) {
	for _, prefix := range prefixes {
		m.addPrefix(prefix, node)
	}
	for len(m.entries) > m.capacity {
		last := m.recency.Back()
		m.recency.Remove(last)
		delete(m.entries, last.Value.(*recentNodes).prefix)
	}
}

// Held returns, for each recorded node, how many leading tokens of a prompt with these
// prefixes the node has recently run.
func (m *Memory) Held(prefixes []uint64) map[string]int {
	held := map[string]int{}
	for i, prefix := range prefixes {
		element, ok := m.entries[prefix]
		if !ok {
			break
		}
		for _, node := range element.Value.(*recentNodes).nodes {
			held[node] = CoveredTokens(i + 1)
		}
	}
	return held
}

// addPrefix makes the node the most recent one of a prefix.
func (m *Memory) addPrefix(prefix uint64, node string) {
	element, ok := m.entries[prefix]
	if !ok {
		m.entries[prefix] = m.recency.PushFront(&recentNodes{prefix, []string{node}})
		return
	}
	m.recency.MoveToFront(element)
	entry := element.Value.(*recentNodes)
	nodes := []string{node}
	for _, other := range entry.nodes {
		if other != node && len(nodes) < maxNodesPerPrefix {
			nodes = append(nodes, other)
		}
	}
	entry.nodes = nodes
}
