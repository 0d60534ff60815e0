package acaciaschedule

import (
	"math"
	"time"
)

// Load pattern: engines of different speed under load. A slow engine that prefills a long
// prompt pauses its streams for longer than their routes allow, so that they are late even if
// they began in time. The risk of a stream grows with its number of events.

type (
	// pauseRate is the rate of too long pauses in the streams of an endpoint.
	pauseRate struct {
		pauses float64
		events float64
	}

	// StreamObservation is what a process has observed of one stream.
	StreamObservation struct {
		// Events is the number of events, LongPauses the number of pauses between them that
		// were longer than the route allows.
		Events     int
		LongPauses int
		// Interval is the mean time between two events.
		Interval time.Duration
	}
)

const (
	// pauseRateDecay is the factor by which each stream reduces the weight of the older ones.
	pauseRateDecay = 0.95
	// priorPauseEvents is the number of events without a long pause that an endpoint counts
	// as having sent before its first stream.
	priorPauseEvents = 50
	// eventCountWeight is the weight of a new stream in the moving average of the number of
	// events of a class.
	eventCountWeight = 0.05
)

// add adds a stream.
func (p *pauseRate) add(observation StreamObservation) {
	p.pauses = pauseRateDecay*p.pauses + float64(observation.LongPauses)
	p.events = pauseRateDecay*p.events + float64(observation.Events)
}

// probability returns the probability of a long pause in a stream with a number of events.
func (p *pauseRate) probability(events float64) float64 {
	return 1 - math.Exp(-events*p.pauses/(p.events+priorPauseEvents))
}

// RecordStream records what was observed of the request's stream.
func (s *Scheduler) RecordStream(request *Request, observation StreamObservation) {
	e, svc := request.endpoint, request.service
	e.pauseRate.add(observation)
	e.markChanged()
	svc.observeEventCount(request.Class, float64(observation.Events))
	svc.observeEventInterval(observation.Interval)
	if e.eventInterval == 0 {
		e.eventInterval = observation.Interval
		return
	}
	e.eventInterval += time.Duration(endpointAverageWeight * float64(observation.Interval-e.eventInterval))
}

// observeEventCount adds a stream to the moving average of its class.
func (svc *service) observeEventCount(class string, events float64) {
	mean, known := svc.meanEvents[class]
	if !known {
		mean = events
	}
	svc.meanEvents[class] = mean + eventCountWeight*(events-mean)
}

// pausePenalty returns the time that the risk of a long pause at the endpoint adds to the
// expected time: a long pause costs the request its objective.
func (svc *service) pausePenalty(e *endpoint, request *Request) time.Duration {
	probability := e.pauseRate.probability(svc.meanEvents[request.Class])
	return time.Duration(probability * float64(request.Objective.Sub(request.Arrived)))
}
