package acaciaschedule

import (
	"cmp"
	"time"
)

const (
	// lateRankOffset is added to the rank of requests that can no longer meet their objective;
	// it is larger than all ranks.
	lateRankOffset = 1 << 20
	// maxWaitShare bounds the expected time from a request's arrival to its first byte, as a
	// share of the time from its arrival to its deadline. A waiting request that is
	// expected to take longer is rejected at once.
	maxWaitShare = 0.3
	// holdTimeWeight is the weight of a new observation in a service's moving average of
	// how long a request holds a slot.
	holdTimeWeight = 0.05
	// priorHoldTime is the assumed time that a request holds a slot while a service has
	// completed none.
	priorHoldTime = 500 * time.Millisecond
	// minRetryAfter is the shortest delay after which a caller is told to retry, unless
	// maxRetryAfterShare requires a shorter one.
	minRetryAfter = 200 * time.Millisecond
	// maxRetryAfterShare bounds the delay after which a caller is told to retry, as a share
	// of the time until the deadline: callers do not wait longer before a retry.
	maxRetryAfterShare = 1.0 / 3
)

// sortWaiting sorts a service's waiting requests: first those that can still meet their
// objective, then by rank, then the organisation that recently used least of its share, then by
// objective and expected slot time. In a load peak, late requests of an urgent class would otherwise make those of all
// other classes late, too.
func (s *Scheduler) sortWaiting(svc *service, now time.Time) {
	for _, use := range svc.recentUse {
		use.level = int(use.at(now) / fairnessStep)
	}
	at := now.Sub(s.epoch)
	for _, request := range svc.waiting {
		request.usual = svc.usualFirstByte(request)
		request.late = at+request.usual > request.objectiveAt
		request.sortLevel = request.recentUse.level
	}
	s.applyGuarantees(svc)
	for _, request := range svc.waiting {
		if request.countedRank != request.queueRank() {
			svc.uncount(request)
			svc.count(request)
		}
	}
	svc.waiting = sortMostlySorted(svc.waiting, compareInQueue)
}

// compareInQueue compares two requests by their places in the queue.
func compareInQueue(a, b *Request) int {
	if a.countedRank != b.countedRank {
		return cmp.Compare(a.countedRank, b.countedRank)
	}
	if a.sortLevel != b.sortLevel {
		return cmp.Compare(a.sortLevel, b.sortLevel)
	}
	return cmp.Compare(a.orderAt, b.orderAt)
}

// count counts a waiting request by its rank.
func (svc *service) count(request *Request) {
	request.countedRank, request.counted = request.queueRank(), true
	svc.ownRanks.add(request.countedRank, 1)
}

// uncount ends what count began.
func (svc *service) uncount(request *Request) {
	request.counted = false
	svc.ownRanks.add(request.countedRank, -1)
}

// countAhead counts the requests of the request's rank or a more urgent one that wait in all
// processes, itself not included.
func (svc *service) countAhead(request *Request) int {
	rank := request.queueRank()
	ahead := svc.peerRanks.upTo(rank) + svc.ownRanks.upTo(rank)
	if request.counted && request.countedRank <= rank {
		ahead--
	}
	return ahead
}

// queueRank returns the rank by which the request waits. Requests that can no longer meet their
// objective come after all others, unless the caller has received part of the response.
func (r *Request) queueRank() int {
	switch {
	case r.guaranteed:
		return guaranteedRank
	case r.late && !r.Started:
		return r.Rank + lateRankOffset
	}
	return r.Rank
}

// fairnessStep is the difference in recent use that organisations may have before the one
// with less goes first, in seconds of an organisation's quota. It is coarse so that within a step
// the objective decides.
const fairnessStep = 1.0

// expectedWait estimates how long a request waits for a slot: the time for which those that go before it hold a slot, and
// until the next slot is free, divided by the number of slots. ownWork is the sum of the waitShare of the requests that go before
// it in this process. Without a usable endpoint that is not suspended, it returns priorHoldTime, after the first endpoint's backoff.
func (svc *service) expectedWait(request *Request, ownWork float64, now time.Time) time.Duration {
	return svc.waitWith(svc.takenSlots(request, now), request, ownWork, now)
}

// waitWith returns the expected wait with a number of slots.
func (svc *service) waitWith(slots float64, request *Request, ownWork float64, now time.Time) time.Duration {
	if slots == 0 {
		return svc.untilFirstBackoffEnds(now) + priorHoldTime
	}
	return time.Duration(min((svc.workAhead(request, ownWork)+float64(svc.holdTime))/slots, float64(maxExpectedWait)))
}

// workAhead returns the expected slot time, in nanoseconds, of the requests that go before a request in all processes. Before
// there was a request with a hint, these are all of its rank or a more urgent one.
func (svc *service) workAhead(request *Request, ownWork float64) float64 {
	if !svc.sizes.hinted {
		return float64(svc.holdTime) * float64(svc.countAhead(request))
	}
	band := sizeBands - 1
	if request.expectedSlotTime < svc.sizes.boundOf(request.Class) {
		band = sizeBand(request.waitShare)
	}
	return ownWork + svc.peerSizes.workAhead(request.queueRank(), band, svc.holdTime)
}

// retryAfter returns the delay after which the caller of a rejected request should retry: at least the
// expected wait for a slot.
func (s *Scheduler) retryAfter(request *Request, expectedWait time.Duration, now time.Time) time.Duration {
	return spreadRetry(expectedWait, request.Deadline.Sub(now), s.settings.Random())
}
