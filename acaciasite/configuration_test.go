package acaciasite

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Operators may declare ranks with gaps: what counts is how many are more urgent, else the
// most urgent class would yield to nobody, and organisations' ranks would overlap.
func TestRanksWithGapsAreCounted(t *testing.T) {
	c := Configuration{Routes: []Route{{Rank: 30}, {Rank: 10}, {Rank: 20}, {Rank: 10}}}
	c.Index()
	var above []int
	for _, route := range c.Routes {
		above = append(above, route.Above)
	}
	assert.DeepEqual(t, above, []int{2, 0, 1, 0})
}
