package acaciaschedule

import (
	"time"

	"github.com/acaciaroute/acaciaroute/acacialength"
)

// Load pattern: a load peak in which a class can't be served in full, and whose requests hold a slot for times that
// differ by a factor of hundreds. A long one displaces many short ones.

const (
	// priorEventInterval is the assumed time between two events of a stream of a service without streams.
	priorEventInterval = 20 * time.Millisecond
	// eventIntervalWeight is the weight of a new stream in a service's moving average of the time between events.
	eventIntervalWeight = 0.05
	// maxExpectedSlotTime bounds the expected slot time, so that sums over all that can wait fit into a Duration.
	maxExpectedSlotTime = time.Hour
)

// RecordLength records the number of events of a complete stream that is not the rest of another one.
func (s *Scheduler) RecordLength(request *Request, events int) {
	request.service.lengths.Learn(request.lengthRequest(), events)
}

// lengthRequest returns what the model of lengths knows of the request.
func (r *Request) lengthRequest() acacialength.Request {
	return acacialength.Request{Class: r.Class, Organisation: r.Organisation, Hint: r.LengthHint}
}

// observeEventInterval adds a stream to the moving average of the time between two events.
func (svc *service) observeEventInterval(interval time.Duration) {
	if svc.eventInterval == 0 {
		svc.eventInterval = interval
	}
	svc.eventInterval += time.Duration(eventIntervalWeight * float64(interval-svc.eventInterval))
}

// setOrder sets the expected slot time of a request, and its place in the order of its rank.
func (svc *service) setOrder(request *Request) {
	request.expectedEvents = svc.lengths.Expect(request.lengthRequest())
	if request.OutputTokens > 0 {
		request.expectedEvents = min(request.expectedEvents, float64(request.OutputTokens))
	}
	request.expectedSlotTime = svc.holdTime
	if request.LengthHint > 0 {
		request.expectedSlotTime = svc.slotTimeOf(request)
	}
	request.sizeTerm = svc.sizes.term(request)
	request.waitShare = svc.sizes.waitShare(request)
	request.orderAt = request.objectiveAt + request.sizeTerm
}

// slotTimeOf returns the usual time to the first byte for the request's prompt, and the usual time for its events.
func (svc *service) slotTimeOf(request *Request) time.Duration {
	interval := svc.eventInterval
	if interval == 0 {
		interval = priorEventInterval
	}
	seconds := svc.usualFirstByte(request).Seconds() + request.expectedEvents*interval.Seconds()
	return time.Duration(min(seconds, maxExpectedSlotTime.Seconds()) * float64(time.Second))
}
