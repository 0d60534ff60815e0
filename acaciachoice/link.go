package acaciachoice

import (
	"maps"
	"slices"
	"time"
)

type (
	// linkBudget is one entry's part of the link to other regions. Each class
	// leaves some of it to the classes above.
	linkBudget struct {
		// rate is in bytes per second; zero for no bound.
		rate float64
		// level is how many bytes may be spent now; it is negative after answers
		// that were longer than expected.
		level float64
		at    time.Time
		// expected is the usual size of a request with its answer, by class.
		expected map[string]float64
		// waiting counts, for each rank that was seen, the requests that would go to
		// another region if the link had room.
		waiting map[int]int
		// waited is when the last of them ceased to wait.
		waited map[int]time.Time
	}
)

const (
	// linkDepth is for how long unused bytes add up.
	linkDepth = time.Second
	// linkReserve is the share of the depth that a class leaves to each class
	// above it, and maxLinkReserve the most that it leaves.
	linkReserve    = 0.25
	maxLinkReserve = 0.75
	// linkPause is how long lower classes leave the link alone after one above has
	// waited for it.
	linkPause = time.Second
	// initialLinkBytes is the expected size while none was seen, and
	// linkBytesWeight the weight of a new one.
	initialLinkBytes = 20_000.0
	linkBytesWeight  = 0.1
)

func newLinkBudget() *linkBudget {
	return &linkBudget{expected: map[string]float64{}, waiting: map[int]int{}, waited: map[int]time.Time{}}
}

// setRate changes the rate; a full budget is there at first.
func (b *linkBudget) setRate(now time.Time, rate float64) {
	b.refill(now)
	if b.rate == 0 {
		b.level = rate * linkDepth.Seconds()
	}
	b.rate = rate
}

// open reports whether a request of a class may ask another region: not while one of
// a class above waits for that.
func (b *linkBudget) open(now time.Time, rank int) bool {
	b.waiting[rank] += 0
	if b.rate == 0 {
		return true
	}
	b.refill(now)
	above := 0
	for other, waiting := range b.waiting {
		if other > rank && (waiting > 0 || now.Sub(b.waited[other]) < linkPause) {
			return false
		}
		if other > rank {
			above++
		}
	}
	reserve := min(linkReserve*float64(above), maxLinkReserve)
	return b.level > reserve*b.rate*linkDepth.Seconds()
}

// wait notes that one more or one less request of a class waits for the link.
func (b *linkBudget) wait(now time.Time, rank, change int) {
	b.waiting[rank] += change
	b.waited[rank] = now
}

// yield makes the requests of lower classes give up their places in the queues of
// other regions, because one of a class above waits for the link.
func (c *Chooser) yield(rank int) {
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		if r := c.requests[id]; r.reservation.Rank < rank {
			r.leaveRegions()
		}
	}
}

// spend takes the expected bytes of a request and returns them.
func (b *linkBudget) spend(now time.Time, class string) int64 {
	expected, ok := b.expected[class]
	if !ok {
		expected = initialLinkBytes
	}
	b.refill(now)
	b.level -= expected
	return int64(expected)
}

// settle corrects what was taken by what a request really used.
func (b *linkBudget) settle(now time.Time, class string, taken, used int64) {
	b.refill(now)
	b.level += float64(taken - used)
	expected, ok := b.expected[class]
	if !ok {
		expected = float64(used)
	}
	b.expected[class] = expected + linkBytesWeight*(float64(used)-expected)
}

func (b *linkBudget) refill(now time.Time) {
	b.level = min(b.level+b.rate*now.Sub(b.at).Seconds(), b.rate*linkDepth.Seconds())
	b.at = now
}
