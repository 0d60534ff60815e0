package acaciaprefix

import "container/list"

type (
	// Memory remembers which nodes have lately run prompts with a prefix; it
	// forgets the least recently used prefix first.
	Memory struct {
		capacity int
		order    *list.List
		entries  map[uint64]*list.Element
	}

	memoryEntry struct {
		prefix uint64
		nodes  []string
	}
)

// nodesKept is how many nodes are remembered for one prefix.
const nodesKept = 3

// NewMemory returns an empty memory of at most capacity prefixes.
func NewMemory(capacity int) *Memory {
	return &Memory{capacity: capacity, order: list.New(), entries: map[uint64]*list.Element{}}
}

// Add notes that a node has run a prompt with these prefixes.
func (m *Memory) Add(prefixes []uint64, node string) {
	for _, prefix := range prefixes {
		m.add(prefix, node)
	}
	for len(m.entries) > m.capacity {
		last := m.order.Back()
		m.order.Remove(last)
		delete(m.entries, last.Value.(*memoryEntry).prefix)
	}
}

// Held returns, for each node that is remembered, how many leading tokens of a
// prompt with these prefixes it has run.
func (m *Memory) Held(prefixes []uint64) map[string]int {
	held := map[string]int{}
	for i, prefix := range prefixes {
		element, ok := m.entries[prefix]
		if !ok {
			break
		}
		for _, node := range element.Value.(*memoryEntry).nodes {
			held[node] = CoveredTokens(i + 1)
		}
	}
	return held
}

func (m *Memory) add(prefix uint64, node string) {
	element, ok := m.entries[prefix]
	if !ok {
		m.entries[prefix] = m.order.PushFront(&memoryEntry{prefix, []string{node}})
		return
	}
	m.order.MoveToFront(element)
	entry := element.Value.(*memoryEntry)
	nodes := []string{node}
	for _, other := range entry.nodes {
		if other != node && len(nodes) < nodesKept {
			nodes = append(nodes, other)
		}
	}
	entry.nodes = nodes
}
