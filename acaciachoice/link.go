package acaciachoice

import (
	"maps"
	"slices"
	"time"
)

type (
	// linkBudget is a token bucket for one entry's share of the link to other regions.
	// Each class leaves a reserve in it for the classes above.
	linkBudget struct {
		// rate is the refill rate in bytes per second; zero means no limit.
		rate float64
		// availableBytes is the number of bytes in the bucket; it becomes negative
		// when answers are longer than expected.
		availableBytes float64
		refilledAt     time.Time
		// expectedBytes is the moving average of the size of a request with its
		// answer, by class.
		expectedBytes map[string]float64
		// waitingByRank counts, for each rank seen so far, the requests that would ask
		// another region if the budget allowed it.
		waitingByRank map[int]int
		// lastWaitByRank is when a request of the rank last began or stopped waiting.
		lastWaitByRank map[int]time.Time
	}
)

const (
	// linkBurst is the bucket's capacity, as the time for which unused bytes
	// accumulate.
	linkBurst = time.Second
	// linkReservePerClass is the share of the capacity that a class leaves for each
	// class above it, and maxLinkReserve the largest share that it leaves for all of
	// them.
	linkReservePerClass = 0.25
	maxLinkReserve      = 0.75
	// linkHoldOff is how long lower classes may not use the link after a request of a
	// higher class has waited for it.
	linkHoldOff = time.Second
	// initialLinkBytes is the expected size of a class's requests before the first was
	// measured, and linkBytesWeight the weight of a new sample in the moving average.
	initialLinkBytes = 20_000.0
	linkBytesWeight  = 0.1
)

func newLinkBudget() *linkBudget {
	return &linkBudget{expectedBytes: map[string]float64{}, waitingByRank: map[int]int{}, lastWaitByRank: map[int]time.Time{}}
}

// setRate changes the refill rate. The bucket is full when a limit is first set.
func (b *linkBudget) setRate(now time.Time, rate float64) {
	b.refill(now)
	if b.rate == 0 {
		b.availableBytes = rate * linkBurst.Seconds()
	}
	b.rate = rate
}

// allows reports whether a request of the rank may ask another region. It may not while
// a request of a higher class is waiting for the link, or has just waited for it.
func (b *linkBudget) allows(now time.Time, rank int) bool {
	// Registers the rank, so that the ranks below leave a reserve for it.
	b.waitingByRank[rank] += 0
	if b.rate == 0 {
		return true
	}
	b.refill(now)
	above := 0
	for other, waiting := range b.waitingByRank {
		if other > rank && (waiting > 0 || now.Sub(b.lastWaitByRank[other]) < linkHoldOff) {
			return false
		}
		if other > rank {
			above++
		}
	}
	reserve := min(linkReservePerClass*float64(above), maxLinkReserve)
	return b.availableBytes > reserve*b.rate*linkBurst.Seconds()
}

// addWaiting adds change to the number of requests of the rank that are waiting for the
// link.
func (b *linkBudget) addWaiting(now time.Time, rank, change int) {
	b.waitingByRank[rank] += change
	b.lastWaitByRank[rank] = now
}

// withdrawRemoteBelow withdraws the reservations that requests of lower ranks have in
// other regions, because a request of the rank is waiting for the link.
func (c *Chooser) withdrawRemoteBelow(rank int) {
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		if r := c.requests[id]; r.reservation.Rank < rank {
			r.withdrawRemote()
		}
	}
}

// debitExpected debits the expected size of a request of the class and returns it.
func (b *linkBudget) debitExpected(now time.Time, class string) int64 {
	expected, ok := b.expectedBytes[class]
	if !ok {
		expected = initialLinkBytes
	}
	b.refill(now)
	b.availableBytes -= expected
	return int64(expected)
}

// reconcileUsage replaces the bytes debited for a request by the bytes that it used, and
// updates the expected size for its class.
func (b *linkBudget) reconcileUsage(now time.Time, class string, debited, used int64) {
	b.refill(now)
	b.availableBytes += float64(debited - used)
	expected, ok := b.expectedBytes[class]
	if !ok {
		expected = float64(used)
	}
	b.expectedBytes[class] = expected + linkBytesWeight*(float64(used)-expected)
}

// refill adds the bytes accumulated since the last refill, up to the capacity.
func (b *linkBudget) refill(now time.Time) {
	b.availableBytes = min(b.availableBytes+b.rate*now.Sub(b.refilledAt).Seconds(), b.rate*linkBurst.Seconds())
	b.refilledAt = now
}
