package acaciaprefix

import "container/list"

type (
	// Cache predicts an engine's prefix cache from the prompts that it ran; it
	// forgets the least recently used prefix first.
	Cache struct {
		capacity int
		used     int
		order    *list.List
		entries  map[uint64]*list.Element
		onDrop   func(prefix uint64)
	}

	cacheEntry struct {
		prefix uint64
		tokens int
	}
)

// NewCache returns an empty cache that holds capacity tokens.
func NewCache(capacity int) *Cache {
	return &Cache{capacity: capacity, order: list.New(), entries: map[uint64]*list.Element{}}
}

// OnDrop registers a function that gets each prefix that leaves the cache.
func (c *Cache) OnDrop(f func(prefix uint64)) {
	c.onDrop = f
}

// Cached returns how many leading tokens of a prompt with these prefixes are
// expected in the cache.
func (c *Cache) Cached(prefixes []uint64) int {
	for n := len(prefixes); n > 0; n-- {
		if _, ok := c.entries[prefixes[n-1]]; ok {
			return CoveredTokens(n)
		}
	}
	return 0
}

// Add notes that a prompt with these prefixes was prefilled.
func (c *Cache) Add(prefixes []uint64) {
	for i := len(prefixes) - 1; i >= 0; i-- {
		c.touch(prefixes[i], CoveredTokens(i+1)-CoveredTokens(i))
	}
	for c.used > c.capacity {
		c.drop(c.order.Back())
	}
}

// Remove notes that a prefix has left the engine's cache.
func (c *Cache) Remove(prefix uint64) {
	if element, ok := c.entries[prefix]; ok {
		c.drop(element)
	}
}

// Clear empties the cache.
func (c *Cache) Clear() {
	c.order.Init()
	clear(c.entries)
	c.used = 0
}

func (c *Cache) touch(prefix uint64, tokens int) {
	if element, ok := c.entries[prefix]; ok {
		c.order.MoveToFront(element)
		return
	}
	c.entries[prefix] = c.order.PushFront(&cacheEntry{prefix, tokens})
	c.used += tokens
}

func (c *Cache) drop(element *list.Element) {
	entry := element.Value.(*cacheEntry)
	c.order.Remove(element)
	delete(c.entries, entry.prefix)
	c.used -= entry.tokens
	if c.onDrop != nil {
		c.onDrop(entry.prefix)
	}
}
