package acaciagateway

import (
	"context"
	"slices"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciaschedule"
	"github.com/acaciaroute/acaciaroute/acaciasite"
)

const (
	// maxRuns bounds how often one request runs in total; the number of different endpoints
	// is bounded by its route.
	maxRuns = 4
	// maxRefusals bounds how often one request is sent again after endpoints refused it
	// or could not be reached.
	maxRefusals = 6
)

// prepareRetry decides after a failed call whether the request is sent again, and reports
// whether it is; if not, prepareRetry answers the caller.
func (x *exchange) prepareRetry(ctx context.Context, outcome callOutcome, failure acaciaschedule.Failure, err error) bool {
	switch {
	case outcome == outcomeNotRun:
		x.refusals++
		if failure != acaciaschedule.FailureOverloaded {
			x.excluded = append(x.excluded, x.endpoint.ID)
		}
		if x.refusals > maxRefusals || failure != acaciaschedule.FailureUnreachable && !x.takeRetryBudget() {
			x.failWithoutEndpoint(ctx, nil, &acaciaroute.Error{
				Code: acaciaroute.CodeShed, Detail: "endpoints refused the request", RetryAfter: shortRetryAfter, Err: err,
			})
			return false
		}
	case !x.mayRunAgain() || !x.takeRetryBudget():
		if x.headerSent {
			x.abortResponse(err.Error())
			return false
		}
		x.writeError(&acaciaroute.Error{Code: acaciaroute.CodeOutcomeUnknown, Detail: "the endpoint's answer was not whole", Err: err}, nil)
		return false
	case len(x.usedEndpoints) < x.route.MaxEndpoints:
		x.excluded = append(x.excluded, x.endpoint.ID)
	default:
		// The route allows no further endpoint, so those that may have run the request must
		// stay eligible.
		x.excluded = nil
	}
	event := x.newEvent(acaciaevent.RequestRepeated)
	event.Inputs, event.Detail = x.eventInputs(nil), err.Error()
	x.gateway.recorder.Record(event)
	return true
}

// mayRunAgain reports whether the request may run once more: its route and maxRuns allow that, and the caller
// has no part of a plain response, nor of a stream that can't go on elsewhere.
func (x *exchange) mayRunAgain() bool {
	pinned := x.headerSent && x.route.Kind != acaciasite.KindStream
	return x.route.Repeatable() && x.runs < maxRuns && !pinned && x.canResumeStream()
}

// takeRetryBudget charges one retry to the retry budget, unless it has already been charged.
// It reports whether the budget allows the retry.
func (x *exchange) takeRetryBudget() bool {
	if x.retryCharged {
		x.retryCharged = false
		return true
	}
	allowed := false
	g := x.gateway
	g.loop.Do(func() { allowed = g.mayRetry(x.service, g.loop.Now()) })
	return allowed
}

// mayRetry charges one retry to a service's retry budget, and reports whether that allows it. It must be called on the loop.
func (g *Gateway) mayRetry(service string, now time.Time) bool {
	return g.retryBudget.TryRetry(service, g.members.PossibleCount(now), now)
}

// recordRun records that the endpoint may have run the request.
func (x *exchange) recordRun() {
	x.runs++
	if !slices.Contains(x.usedEndpoints, x.endpoint.ID) {
		x.usedEndpoints = append(x.usedEndpoints, x.endpoint.ID)
	}
}
