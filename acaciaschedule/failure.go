package acaciaschedule

import "time"

type (
	// Failure is the way in which an endpoint failed a request.
	Failure int
)

// Kinds of failure, the least severe first.
const (
	// FailureErrorResponse means that the endpoint answered with an error.
	FailureErrorResponse Failure = iota + 1
	// FailureOverloaded means that the endpoint refused the request because it had
	// no free capacity.
	FailureOverloaded
	// FailureInvalidResponse means that the response was incomplete or could not be
	// parsed.
	FailureInvalidResponse
	// FailureStalled means that the response stalled.
	FailureStalled
	// FailureUnreachable means that the connection to the endpoint could not be
	// established.
	FailureUnreachable
	// FailureAddressReused means that the address now belongs to another endpoint.
	FailureAddressReused
)

const (
	// failureRateWeight is the weight of a new outcome in the moving average of an
	// endpoint's failure rate.
	failureRateWeight = 0.2
	// failurePenalty is how much the expected time of an endpoint that always fails is
	// increased, as a multiple of that time.
	failurePenalty = 6
	// overloadedSuspension is how long an endpoint is suspended that refused a request
	// because it had no free capacity.
	overloadedSuspension = 60 * time.Millisecond
	// initialSuspension is how long an endpoint is suspended after an invalid or stalled
	// response, or a connection that could not be established. It doubles with each
	// consecutive failure, up to maxSuspension.
	initialSuspension = 200 * time.Millisecond
	maxSuspension     = 3 * time.Second
	// addressReusedSuspension is how long an endpoint is suspended whose address
	// belongs to another one.
	addressReusedSuspension = 30 * time.Second
	maxSuspensionDoublings  = 5
)

// recordSuccess records that the endpoint has begun to answer a request: its failure rate
// decays and it counts as reachable again.
func (e *endpoint) recordSuccess() {
	e.failureRate -= failureRateWeight * e.failureRate
	e.consecutiveFailures = 0
	e.unreachableUntil = time.Time{}
}

// recordFailure records a failure and, unless the endpoint merely answered with an error,
// suspends the endpoint.
func (e *endpoint) recordFailure(failure Failure, now time.Time) {
	e.failureRate += failureRateWeight * (1 - e.failureRate)
	e.markChanged()
	suspension := time.Duration(0)
	switch failure {
	case FailureErrorResponse:
		return
	case FailureOverloaded:
		suspension = overloadedSuspension
	case FailureAddressReused:
		suspension = addressReusedSuspension
	case FailureInvalidResponse, FailureStalled, FailureUnreachable:
		suspension = min(initialSuspension<<min(e.consecutiveFailures, maxSuspensionDoublings), maxSuspension)
		e.consecutiveFailures++
		// One invalid response among good ones is no outage.
		if failure != FailureInvalidResponse || e.consecutiveFailures > 1 {
			e.beginRecovery(now)
		}
	}
	if failure == FailureUnreachable {
		e.unreachableUntil = now.Add(suspension)
	}
	e.suspendUntil(now.Add(suspension))
}

// suspendUntil keeps new requests from the endpoint until the given time.
func (e *endpoint) suspendUntil(end time.Time) {
	e.markChanged()
	if end.After(e.suspendedUntil) {
		e.suspendedUntil = end
	}
}

// failureFactor returns the factor by which the failure rate increases the expected time.
func (e *endpoint) failureFactor() float64 {
	return 1 + failurePenalty*e.failureRate
}
