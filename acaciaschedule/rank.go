package acaciaschedule

import (
	"cmp"
	"slices"
)

type (
	// rankCounts counts waiting requests by rank.
	rankCounts struct {
		// counts is sorted by rank.
		counts []rankCount
		total  int
	}

	// rankCount is the number of requests of one rank.
	rankCount struct {
		rank  int
		count int
	}
)

// add adds a number of requests of a rank; a negative number removes them.
func (c *rankCounts) add(rank, number int) {
	c.total += number
	i, found := slices.BinarySearchFunc(c.counts, rank, func(counted rankCount, rank int) int { return cmp.Compare(counted.rank, rank) })
	if !found {
		c.counts = slices.Insert(c.counts, i, rankCount{rank: rank})
	}
	c.counts[i].count += number
	if c.counts[i].count == 0 {
		c.counts = slices.Delete(c.counts, i, i+1)
	}
}

// upTo returns the number of requests of a rank and of more urgent ones.
func (c *rankCounts) upTo(rank int) int {
	n := 0
	for _, counted := range c.counts {
		if counted.rank > rank {
			break
		}
		n += counted.count
	}
	return n
}

// byRank returns the counts as a map.
func (c *rankCounts) byRank() map[int]int {
	counts := make(map[int]int, len(c.counts))
	for _, counted := range c.counts {
		counts[counted.rank] = counted.count
	}
	return counts
}
