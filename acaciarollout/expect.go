package acaciarollout

import (
	"math"
	"time"
)

// Load pattern: one route's answers take several times as long as another's, engines differ in speed, and
// load makes all answers slower. What is slow is told by what the old versions need on the route.

type (
	// Expectations learns how long the answers of each route take, compared with what a process
	// predicts for a request of that size. It must be told only of good answers, and none
	// of a target that is being judged. It is not safe for concurrent use.
	Expectations struct {
		routes map[routeKey]*routeTimes
	}

	// Expected is what an answer should take; a time of zero isn't known yet.
	Expected struct {
		// Predicted is what the process predicted without knowledge of the route.
		Predicted time.Duration
		FirstByte time.Duration
		// EventInterval is the time between two events of a stream.
		EventInterval time.Duration
	}

	// Timing is what was observed of an answer; EventInterval is zero if it had too few events.
	Timing struct {
		FirstByte     time.Duration
		EventInterval time.Duration
	}

	routeKey struct {
		service, route string
	}

	// routeTimes holds moving averages of logarithms, so that one very late answer counts little.
	routeTimes struct {
		// firstByte is of the ratio of the time to the first byte to the predicted one, interval
		// of the time between two events in seconds.
		firstByte, interval logAverage
	}

	logAverage struct {
		value float64
		count int
	}
)

const (
	// SlowFactor is how many times longer than expected a slow answer takes.
	SlowFactor = 2.5
	// slowMargin is added to that for the first byte, and eventMargin for the interval of events,
	// so that the pauses of a busy machine don't count.
	slowMargin  = 20 * time.Millisecond
	eventMargin = 5 * time.Millisecond
	// minObservations is how many answers of a route must be known before one can be slow.
	minObservations = 8
	// averageWeight is the weight of a new answer in a moving average, and maxLogStep the most by
	// which a single one differs from it.
	averageWeight = 0.05
	maxLogStep    = 1.0
)

// NewExpectations returns expectations without observations.
func NewExpectations() *Expectations {
	return &Expectations{routes: map[routeKey]*routeTimes{}}
}

// Of returns what the answer to a request of a route should take; predicted is the time to the first
// byte that the process predicts for a request of its size.
func (e *Expectations) Of(service, route string, predicted time.Duration) Expected {
	expected := Expected{Predicted: predicted}
	times := e.routes[routeKey{service, route}]
	if times == nil {
		return expected
	}
	if ratio, known := times.firstByte.get(); known {
		expected.FirstByte = time.Duration(ratio * float64(predicted))
	}
	if seconds, known := times.interval.get(); known {
		expected.EventInterval = time.Duration(seconds * float64(time.Second))
	}
	return expected
}

// Observe adds a good answer to a request for which a time to the first byte was predicted.
func (e *Expectations) Observe(service, route string, predicted time.Duration, timing Timing) {
	key := routeKey{service, route}
	times := e.routes[key]
	if times == nil {
		times = &routeTimes{}
		e.routes[key] = times
	}
	if predicted > 0 && timing.FirstByte > 0 {
		times.firstByte.add(timing.FirstByte.Seconds() / predicted.Seconds())
	}
	if timing.EventInterval > 0 {
		times.interval.add(timing.EventInterval.Seconds())
	}
}

// IsSlow reports whether an answer took several times as long as expected. Of an answer that has not
// begun, FirstByte is the time since the request was sent.
func (x Expected) IsSlow(timing Timing) bool {
	return isSlow(timing.FirstByte, x.FirstByte, slowMargin) || isSlow(timing.EventInterval, x.EventInterval, eventMargin)
}

func isSlow(observed, expected, margin time.Duration) bool {
	return expected > 0 && observed > time.Duration(SlowFactor*float64(expected))+margin
}

func (a *logAverage) add(value float64) {
	logarithm := math.Log(value)
	a.count++
	if a.count == 1 {
		a.value = logarithm
		return
	}
	weight := max(averageWeight, 1/float64(a.count))
	a.value += weight * min(max(logarithm-a.value, -maxLogStep), maxLogStep)
}

func (a *logAverage) get() (value float64, known bool) {
	return math.Exp(a.value), a.count >= minObservations
}
