package acaciasite

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Operators may declare ranks with gaps, so a route's PriorityIndex must be the number of
// distinct ranks that are more urgent. If it were the declared rank, the most urgent class would
// hold back quota for more urgent classes that don't exist, and the ranges that ranks of
// different organisations occupy would overlap.
func TestPriorityIndexIgnoresGapsBetweenRanks(t *testing.T) {
	c := Configuration{Routes: []Route{{Rank: 30}, {Rank: 10}, {Rank: 20}, {Rank: 10}}}
	c.BuildIndexes()
	var indexes []int
	for _, route := range c.Routes {
		indexes = append(indexes, route.PriorityIndex)
	}
	assert.DeepEqual(t, indexes, []int{2, 0, 1, 0})
}
