package acaciaprefix

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// A capacity that no prompt fits into, a negative one too, leaves the cache empty and usable.
func TestCacheWithoutCapacityIsEmpty(t *testing.T) {
	for _, capacity := range []int{math.MinInt, -1, 0, 99} {
		cache := NewCache(capacity)
		cache.Add([]Segment{{Prefix: 1, Tokens: 100}, {Prefix: 2, Tokens: 0}})
		assert.Equal(t, cache.Cached([]Segment{{Prefix: 1, Tokens: 100}}), 0, capacity)
		cache.SetCapacity(100)
		cache.Add([]Segment{{Prefix: 1, Tokens: 100}})
		assert.Equal(t, cache.Cached([]Segment{{Prefix: 1, Tokens: 100}}), 100, capacity)
	}
}

func TestCacheKeepsToItsCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(-10, 1000).Draw(t, "capacity")
		cache := NewCache(capacity)
		for range rapid.IntRange(1, 30).Draw(t, "prompts") {
			prompt := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Segment {
				return Segment{Prefix: rapid.Uint64Range(1, 9).Draw(t, "prefix"), Tokens: rapid.IntRange(0, 400).Draw(t, "tokens")}
			}), 1, 4).Draw(t, "prompt")
			cache.Add(prompt)
			assert.Assert(t, cache.usedTokens >= 0 && cache.usedTokens <= max(capacity, 0), "%d tokens", cache.usedTokens)
		}
	})
}
