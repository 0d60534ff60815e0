package acaciaprefix

import (
	"container/list"
	"slices"
)

type (
	// Cache predicts the contents of an engine's prefix cache from the prompts that the
	// engine ran. It evicts the least recently used prefix first.
	Cache struct {
		capacity   int
		usedTokens int
		recency    *list.List
		entries    map[uint64]*list.Element
		onEvict    func(prefix uint64)
	}

	// cacheEntry is a cached prefix with the number of tokens that it adds to the next
	// shorter one.
	cacheEntry struct {
		prefix uint64
		tokens int
	}
)

// NewCache returns an empty cache with a capacity in tokens.
func NewCache(capacity int) *Cache {
	return &Cache{capacity: capacity, recency: list.New(), entries: map[uint64]*list.Element{}}
}

// OnEvict registers a function that is called with each prefix that is evicted or
// removed from the cache.
func (c *Cache) OnEvict(f func(prefix uint64)) {
	c.onEvict = f
}

// SetCapacity sets the capacity in tokens; the next Add evicts what exceeds it, all if it is negative.
func (c *Cache) SetCapacity(tokens int) {
	c.capacity = tokens
}

// Cached returns the number of leading tokens of a prompt that are expected to be in the
// cache.
func (c *Cache) Cached(prompt []Segment) int {
	for n := len(prompt); n > 0; n-- {
		if _, ok := c.entries[prompt[n-1].Prefix]; ok {
			return CountTokens(prompt[:n])
		}
	}
	return 0
}

// Add records that a prompt was prefilled.
func (c *Cache) Add(prompt []Segment) {
	for _, segment := range slices.Backward(prompt) {
		c.markUsed(segment.Prefix, segment.Tokens)
	}
	for c.usedTokens > c.capacity && c.recency.Len() > 0 {
		c.evict(c.recency.Back())
	}
}

// Trim evicts the least recently used prefixes beyond a number of entries.
func (c *Cache) Trim(maxEntries int) {
	for len(c.entries) > maxEntries {
		c.evict(c.recency.Back())
	}
}

// Remove records that the engine has evicted a prefix from its cache.
func (c *Cache) Remove(prefix uint64) {
	if element, ok := c.entries[prefix]; ok {
		c.evict(element)
	}
}

// Clear empties the cache without calling the function registered by OnEvict.
func (c *Cache) Clear() {
	c.recency.Init()
	clear(c.entries)
	c.usedTokens = 0
}

// markUsed makes the prefix the most recently used one, and inserts it if it is missing.
func (c *Cache) markUsed(prefix uint64, tokens int) {
	if element, ok := c.entries[prefix]; ok {
		c.recency.MoveToFront(element)
		return
	}
	c.entries[prefix] = c.recency.PushFront(&cacheEntry{prefix, tokens})
	c.usedTokens += tokens
}

func (c *Cache) evict(element *list.Element) {
	entry := element.Value.(*cacheEntry)
	c.recency.Remove(element)
	delete(c.entries, entry.prefix)
	c.usedTokens -= entry.tokens
	if c.onEvict != nil {
		c.onEvict(entry.prefix)
	}
}
