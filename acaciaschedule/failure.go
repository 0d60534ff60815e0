package acaciaschedule

import "time"

type (
	// Failure says how an endpoint failed a request.
	Failure int
)

// The failures, from the slightest.
const (
	// FailedRequest is an answer of the endpoint that says that it failed.
	FailedRequest Failure = iota + 1
	// FailedFull is a refusal of an endpoint that has no room.
	FailedFull
	// FailedBroken is an answer that broke off or could not be read.
	FailedBroken
	// FailedSilent is an answer that did not go on.
	FailedSilent
	// FailedUnreached is a connection that could not be made.
	FailedUnreached
	// FailedReplaced says that another endpoint has the address.
	FailedReplaced
)

const (
	// failureFade is the weight of a new outcome in an endpoint's share of failures.
	failureFade = 0.2
	// failureCost is how many times longer an endpoint counts that always fails.
	failureCost = 6
	// fullPause is how long an endpoint is suspended that has no room.
	fullPause = 60 * time.Millisecond
	// firstPause is how long an endpoint is suspended that has broken off an answer, and
	// maxPause how long at most, after several in a row.
	firstPause = 200 * time.Millisecond
	maxPause   = 3 * time.Second
	// replacedPause suspends an address that another endpoint has.
	replacedPause = 30 * time.Second
	maxDoublings  = 5
)

// succeed notes that an endpoint has answered well.
func (e *endpoint) succeed() {
	e.failing -= failureFade * e.failing
	e.inRow = 0
	e.downUntil = time.Time{}
}

// fail notes a failure and suspends the endpoint for a while.
func (e *endpoint) fail(failure Failure, now time.Time) {
	e.failing += failureFade * (1 - e.failing)
	pause := time.Duration(0)
	switch failure {
	case FailedRequest:
		return
	case FailedFull:
		pause = fullPause
	case FailedReplaced:
		pause = replacedPause
	case FailedBroken, FailedSilent, FailedUnreached:
		pause = min(firstPause<<min(e.inRow, maxDoublings), maxPause)
		e.inRow++
	}
	if failure == FailedUnreached {
		e.downUntil = now.Add(pause)
	}
	e.suspend(now.Add(pause))
}

// suspend keeps new requests from the endpoint until a moment.
func (e *endpoint) suspend(until time.Time) {
	if until.After(e.suspendedUntil) {
		e.suspendedUntil = until
	}
}

// reliability is the factor by which an endpoint's failures lengthen its expected time.
func (e *endpoint) reliability() float64 {
	return 1 + failureCost*e.failing
}
