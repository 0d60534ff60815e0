package acaciaschedule

import (
	"time"

	"github.com/acaciaroute/acaciaroute/acaciaprefix"
	"github.com/acaciaroute/acaciaroute/acaciasite"
)

type (
	// endpoint is the state that the process keeps of one endpoint. The endpoint has
	// info.Slots slots and runs one request in each.
	endpoint struct {
		info    acaciasite.Endpoint
		service *service
		// registeredVersion is the software version that the endpoint registered; that of info
		// is unknown while it is in doubt.
		registeredVersion string
		// resumableUntil is until when the rests of streams may be sent here though the endpoint is
		// draining.
		resumableUntil time.Time
		// foundDead reports whether this process itself has found the endpoint's process dead.
		foundDead bool
		// removed is set once the endpoint is no longer listed.
		removed bool
		// ownRunning is how many requests of this process the endpoint runs.
		ownRunning int
		// peerLoad is the load of all other processes together.
		peerLoad EndpointLoad

		// unanswered holds this process's requests for which no byte of the response has
		// arrived, the oldest first.
		unanswered []*Request
		// cache predicts the contents of the endpoint's prefix cache.
		cache *acaciaprefix.Cache
		// ownPrefill is how many tokens the endpoint has to prefill for unanswered.
		ownPrefill int
		// awaiting is how many waiting requests of this process wait for a slot here though
		// others are free.
		awaiting int

		// holdTime is the moving average of how long a request holds a slot; zero if
		// unknown.
		holdTime time.Duration
		// pauseRate is the rate of too long pauses in its streams.
		pauseRate pauseRate
		// eventInterval is the moving average of the time between two events of a stream;
		// zero if unknown.
		eventInterval time.Duration

		// slowdown is the moving average of the time to the first byte, relative to the
		// usual time of the service; observations is the number of samples in it.
		slowdown            float64
		observations        int
		lateEvent           lateEvent
		failureRate         float64
		consecutiveFailures int
		suspendedUntil      time.Time
		// unreachableUntil is until when other processes are told that this process could not
		// connect to the endpoint; zero after a success.
		unreachableUntil time.Time
		// limiter keeps to the rate of requests that the endpoint accepts, backoff to the times
		// for which it wants none.
		limiter rateLimiter
		backoff backoff
		// pace bounds what it gets while it recovers.
		pace pace

		// index is its place in the options of its service.
		index int
		// counted is what the endpoint is counted as in the sums of its service.
		counted contribution
	}
)

const (
	// maxPrefetchInterval is the longest completion interval at which an endpoint gets
	// requests beyond its slots: at a slower endpoint they would wait longer than in the
	// queue here.
	maxPrefetchInterval = 150 * time.Millisecond

	// otherDataCentrePenalty and otherRegionPenalty are added to the expected time of an
	// endpoint elsewhere and represent the cost of the transferred bytes.
	otherDataCentrePenalty = 8 * time.Millisecond
	otherRegionPenalty     = 150 * time.Millisecond
)

// running returns how many requests run at the endpoint, as far as this process knows.
func (e *endpoint) running() int {
	return e.ownRunning + e.peerLoad.Running
}

// completionInterval returns the mean time between two completions at a fully occupied
// endpoint.
func (e *endpoint) completionInterval() time.Duration {
	return e.holdTime / time.Duration(e.info.Slots)
}

// queueingDelay returns how long a new request would wait inside the endpoint for a slot.
func (e *endpoint) queueingDelay() time.Duration {
	return e.completionInterval() * time.Duration(max(0, e.running()+1-e.info.Slots))
}

// addPeerLoad adds a load of another process, or removes it if sign is -1.
func (e *endpoint) addPeerLoad(load EndpointLoad, sign int) {
	e.markChanged()
	e.peerLoad.Running += sign * load.Running
	e.peerLoad.Prefill += sign * load.Prefill
	e.peerLoad.Awaiting += sign * load.Awaiting
}

// freeSlots returns how many more requests the endpoint can be given.
func (s *Scheduler) freeSlots(e *endpoint, now time.Time) int {
	if !e.available(now) {
		return 0
	}
	return s.openSlots(e, now)
}

// openSlots returns how many more requests an endpoint can be given that takes requests.
func (s *Scheduler) openSlots(e *endpoint, now time.Time) int {
	return s.limitedSlots(e, e.limitUnanswered(s.unoccupiedSlots(e), now), now)
}

// unoccupiedSlots returns how many more requests an endpoint has room for, whatever its pace and its limit.
func (s *Scheduler) unoccupiedSlots(e *endpoint) int {
	slots := e.info.Slots
	switch {
	case s.inOtherRegion(e):
		// What runs in another region is known late. While requests wait there, its slots
		// are taken before this process hears that they are free.
		if e.service.regionWaiting[s.settings.Regions[e.info.DataCentre]] > 0 {
			return 0
		}
	case e.completionInterval() <= maxPrefetchInterval:
		slots += s.settings.Prefetch
	}
	return max(0, slots-e.running())
}

// inOtherRegion reports whether the endpoint is in another region than this process.
func (s *Scheduler) inOtherRegion(e *endpoint) bool {
	return s.settings.Regions[e.info.DataCentre] != s.settings.Regions[s.settings.DataCentre]
}

// usable reports whether the endpoint is listed and not draining.
func (e *endpoint) usable() bool {
	return !e.removed && !e.info.Draining
}

// usableFor reports whether the endpoint is usable, or takes the rest of a stream while it drains.
func (e *endpoint) usableFor(request *Request, now time.Time) bool {
	return e.usable() || request.VersionBound && !e.removed && now.Before(e.resumableUntil)
}

// available reports whether the endpoint is usable and neither suspended nor backing off.
func (e *endpoint) available(now time.Time) bool {
	return e.usable() && e.takesRequests(now)
}

// takesRequests reports whether the endpoint is neither suspended nor backing off.
func (e *endpoint) takesRequests(now time.Time) bool {
	return !now.Before(e.suspendedUntil) && !e.backoff.active(now)
}

// distancePenalty returns the time added for an endpoint in another data centre or region.
func (s *Scheduler) distancePenalty(e *endpoint) time.Duration {
	switch {
	case e.info.DataCentre == s.settings.DataCentre:
		return 0
	case s.inOtherRegion(e):
		return otherRegionPenalty
	}
	return otherDataCentrePenalty
}

// expectedCost returns the expected time to the first byte at the endpoint, which includes
// slotWait for a slot, and what the risks and the distance add to it. draw is a random number in [0, 1).
func (s *Scheduler) expectedCost(svc *service, e *endpoint, request *Request, slotWait time.Duration, draw float64, now time.Time) time.Duration {
	c := s.expectedCosts(svc, e, request, slotWait, draw, now)
	return c.total()
}

// expectedCosts returns what expectedCost is made of. Being late costs the request its objective.
func (s *Scheduler) expectedCosts(svc *service, e *endpoint, request *Request, slotWait time.Duration, draw float64, now time.Time) costs {
	c := costs{
		slotWait:  slotWait,
		firstByte: time.Duration(float64(svc.expectedFirstByte(e, request)) * e.failureFactor() * svc.silencePenalty(e, now)),
		distance:  s.distancePenalty(e),
	}
	if request.late || now.Add(c.expected()).After(request.Objective) {
		c.lateness = request.Objective.Sub(request.Arrived)
	} else {
		c.pauses = svc.pausePenalty(e, request)
	}
	c.jitter = time.Duration(draw * float64(c.expected()+c.lateness+c.pauses) * expectedTimeJitter)
	return c
}

// queueWait returns how long an occupied endpoint takes to free a number of slots.
func (svc *service) queueWait(e *endpoint, slots int) time.Duration {
	interval := e.completionInterval()
	if interval == 0 {
		interval = svc.holdTime / time.Duration(e.info.Slots)
	}
	return interval * time.Duration(slots)
}

// awaitingOthers returns how many other requests wait for a slot at the endpoint though others
// are free.
func (e *endpoint) awaitingOthers(request *Request) int {
	count := e.awaiting + e.peerLoad.Awaiting
	if request.awaited == e {
		count--
	}
	return count
}

// expectedTimeJitter is the largest random increase of an expected time, as a share of it,
// so that processes with the same view do not all choose the same endpoint.
const expectedTimeJitter = 0.1
