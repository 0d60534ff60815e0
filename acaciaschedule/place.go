package acaciaschedule

import (
	"time"

	"github.com/acaciaroute/acaciaroute/acaciasite"
)

type (
	// endpoint is the state that the process keeps of one endpoint. The endpoint has
	// info.Slots slots and runs one request in each.
	endpoint struct {
		info acaciasite.Endpoint
		// removed is set once the endpoint is no longer listed.
		removed bool
		// ownRunning is how many requests of this process the endpoint runs.
		ownRunning int
		// peerRunning is how many requests it runs for each other process, peerRunningTotal
		// their sum.
		peerRunning      map[string]int
		peerRunningTotal int

		// unanswered holds this process's requests for which no byte of the response has
		// arrived, the oldest first.
		unanswered []*Request

		// holdTime is the moving average of how long a request holds a slot; zero if
		// unknown.
		holdTime time.Duration
		// eventInterval is the moving average of the time between two events of a stream;
		// zero if unknown.
		eventInterval time.Duration

		// slowdown is the moving average of the time to the first byte, relative to the
		// usual time of the service; observations is the number of samples in it.
		slowdown            float64
		observations        int
		failureRate         float64
		consecutiveFailures int
		suspendedUntil      time.Time
		// unreachableUntil is until when other processes are told that this process could not
		// connect to the endpoint; zero after a success.
		unreachableUntil time.Time
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
	return e.ownRunning + e.peerRunningTotal
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

// setPeerRunning sets how many requests of another process the endpoint runs.
func (e *endpoint) setPeerRunning(process string, count int) {
	e.peerRunningTotal += count - e.peerRunning[process]
	e.peerRunning[process] = count
	if count == 0 {
		delete(e.peerRunning, process)
	}
}

// freeSlots returns how many more requests the endpoint can be given.
func (s *Scheduler) freeSlots(e *endpoint, now time.Time) int {
	if !e.usable() || now.Before(e.suspendedUntil) {
		return 0
	}
	slots := e.info.Slots
	if e.completionInterval() <= maxPrefetchInterval {
		slots += s.settings.Prefetch
	}
	return max(0, slots-e.running())
}

// usable reports whether the endpoint is listed and not draining.
func (e *endpoint) usable() bool {
	return !e.removed && !e.info.Draining
}

// distancePenalty returns the time added for an endpoint in another data centre or region.
func (s *Scheduler) distancePenalty(e *endpoint) time.Duration {
	switch {
	case e.info.DataCentre == s.settings.DataCentre:
		return 0
	case s.settings.Regions[e.info.DataCentre] == s.settings.Regions[s.settings.DataCentre]:
		return otherDataCentrePenalty
	}
	return otherRegionPenalty
}

// chooseEndpoint returns the endpoint with a free slot that is expected to answer the
// request soonest, or nil if there is none.
func (s *Scheduler) chooseEndpoint(svc *service, request *Request, now time.Time) *endpoint {
	var best *endpoint
	var bestTime time.Duration
	for _, id := range svc.endpointIDs {
		e := svc.endpoints[id]
		if s.freeSlots(e, now) == 0 || request.excludes(id) {
			continue
		}
		expected := time.Duration(float64(svc.expectedFirstByte(e, request))*e.failureFactor()*svc.silencePenalty(e, now)) + e.queueingDelay() + s.distancePenalty(e)
		expected += time.Duration(s.settings.Random() * float64(expected) * expectedTimeJitter)
		if best == nil || expected < bestTime {
			best, bestTime = e, expected
		}
	}
	return best
}

// expectedTimeJitter is the largest random increase of an expected time, as a share of it,
// so that processes with the same view do not all choose the same endpoint.
const expectedTimeJitter = 0.1
