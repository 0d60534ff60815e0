package acaciaschedule

import (
	"time"

	"github.com/acaciaroute/acaciaroute/acaciasite"
)

type (
	// endpoint is what the process knows of one endpoint.
	endpoint struct {
		info acaciasite.Endpoint
		// gone tells that it is not listed any more.
		gone bool
		// own is how many requests of this process it runs.
		own int
		// peers is how many requests of each other process it runs, others their sum.
		peers  map[string]int
		others int

		// unanswered are requests of this process without a first part of the answer, the
		// oldest first.
		unanswered []*Request

		// hold is how long a request takes a place; zero if it is not known.
		hold time.Duration
		// pace is the time between two events of a stream; zero if it is not known.
		pace time.Duration

		slowness       float64
		observed       int
		failing        float64
		inRow          int
		suspendedUntil time.Time
		// downUntil is until when the others are told that this process could not connect;
		// zero while it can.
		downUntil time.Time
	}
)

const (
	// maxTurnover is the longest turnover at which an endpoint gets requests beyond its
	// places: at a slow one they would wait for longer than here.
	maxTurnover = 150 * time.Millisecond

	// otherDataCentre and otherRegion stand for the price of the bytes that cross.
	otherDataCentre = 8 * time.Millisecond
	otherRegion     = 150 * time.Millisecond
)

// occupied is how many requests run at the endpoint, as far as the process knows.
func (e *endpoint) occupied() int {
	return e.own + e.others
}

// turnover is the time between the ends of two requests at a full endpoint.
func (e *endpoint) turnover() time.Duration {
	return e.hold / time.Duration(e.info.Places)
}

// queueing is how long a request waits inside the endpoint for a place.
func (e *endpoint) queueing() time.Duration {
	return e.turnover() * time.Duration(max(0, e.occupied()+1-e.info.Places))
}

// tell takes how many requests of another process the endpoint runs.
func (e *endpoint) tell(process string, count int) {
	e.others += count - e.peers[process]
	e.peers[process] = count
	if count == 0 {
		delete(e.peers, process)
	}
}

// free is how many more requests the endpoint can take.
func (s *Scheduler) free(e *endpoint, now time.Time) int {
	if !e.usable() || now.Before(e.suspendedUntil) {
		return 0
	}
	places := e.info.Places
	if e.turnover() <= maxTurnover {
		places += s.settings.Prefetch
	}
	return max(0, places-e.occupied())
}

func (e *endpoint) usable() bool {
	return !e.gone && !e.info.Leaving
}

// distance is the extra cost of an endpoint that stands elsewhere.
func (s *Scheduler) distance(e *endpoint) time.Duration {
	switch {
	case e.info.DataCentre == s.settings.DataCentre:
		return 0
	case s.settings.Regions[e.info.DataCentre] == s.settings.Regions[s.settings.DataCentre]:
		return otherDataCentre
	}
	return otherRegion
}

// place returns the endpoint with a free place that should answer a request soonest, nil
// if none has one.
func (s *Scheduler) place(v *service, request *Request, now time.Time) *endpoint {
	var best *endpoint
	var bestTime time.Duration
	for _, id := range v.order {
		e := v.endpoints[id]
		if s.free(e, now) == 0 || request.tried(id) {
			continue
		}
		expected := time.Duration(float64(v.expect(e, request))*e.reliability()*v.silence(e, now)) + e.queueing() + s.distance(e)
		expected += time.Duration(s.settings.Draw() * float64(expected) * spread)
		if best == nil || expected < bestTime {
			best, bestTime = e, expected
		}
	}
	return best
}

// spread is the random part of an expected time, so that processes that see the same
// do not choose the same.
const spread = 0.1
