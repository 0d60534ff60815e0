package acaciagateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciabudget"
	"github.com/acaciaroute/acaciaroute/acaciacrash"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciamemory"
	"github.com/acaciaroute/acaciaroute/acaciaorigin"
	"github.com/acaciaroute/acaciaroute/acaciaschedule"
	"github.com/acaciaroute/acaciaroute/acaciasite"
)

// exchange is one request and its response.
type exchange struct {
	gateway       *Gateway
	w             http.ResponseWriter
	r             *http.Request
	metadata      acaciasite.Request
	arrivedAt     time.Time
	deadline      time.Time
	configuration *loadedConfiguration
	route         *acaciasite.Route
	organisation  *acaciasite.Organisation
	service       string
	// origin is what began the stream of which the caller has a part; nil if it has none.
	origin *acaciasite.Origin
	// originSource is how the origin was found, and originKnownSince since when this gateway knows it.
	originSource     originSource
	originKnownSince time.Time
	// listReadBegan is when the list of endpoints that the last decision relied on was read, and
	// connectedAt when the connection to the endpoint was opened.
	listReadBegan time.Time
	connectedAt   time.Time
	// unconfirmed is the run that has begun the stream for this request, while nothing shows that its
	// endpoint hasn't started again; nil if there is none.
	unconfirmed *acaciaorigin.Run
	// proofDeadline ends the waits for a read of the list that shows which start is behind a connection.
	// versionUnproven reports whether an endpoint was left out because none did.
	proofDeadline   time.Time
	versionUnproven bool
	body            []byte
	// memory is what the request holds of the memory for requests.
	memory *acaciamemory.Request
	// traits are by what the request is recognised if it crashes endpoints; answerStage is the one that the answer to
	// the current call has reached, and eventsBeforeCall the number of stream events before that.
	traits           []acaciacrash.Trait
	answerStage      acaciacrash.Stage
	eventsBeforeCall int

	// excluded lists the endpoints that must not get the request again, usedEndpoints those
	// that may have run it. runs counts the calls in which an endpoint may have run it,
	// refusals the calls in which none ran it.
	excluded      []string
	usedEndpoints []string
	runs          int
	refusals      int
	// retryCharged reports whether the next retry has already been charged to the retry
	// budget.
	retryCharged bool
	// endpoint is the endpoint that the request was last dispatched to.
	endpoint *acaciasite.Endpoint
	// headerSent reports whether the header of a stream, or of a long plain response, has been sent to the
	// caller before all of the body was there.
	headerSent   bool
	headerSentAt time.Time
	// writing reports whether a part of an answer is being sent to the caller.
	writing atomic.Bool
	// lastEventID is the ID of the last event that the caller has, also from another attempt; the
	// stream goes on after it.
	lastEventID string
	// eventCount is the number of stream events that the caller has received.
	eventCount int
	// fieldEvents is the number of events with any field; the others are empty or comments,
	// which an endpoint may send while it is stalled.
	fieldEvents int
	// lastEventAt is when the last event arrived, longPauses how many pauses between events
	// were longer than the route allows.
	lastEventAt time.Time
	longPauses  int
	// rolloutCall is what is observed of the last call for the evidence about software versions.
	rolloutCall rolloutCall
}

var errCallerGone = errors.New("the caller disconnected")

// dispatch gets an endpoint from the scheduler and calls it, and tries again until the request
// is answered or may not be retried.
func (x *exchange) dispatch(ctx context.Context) {
	x.traits = requestTraits(&x.metadata, x.r.Method, x.r.RequestURI, x.organisationName(), x.body)
	if err := x.admit(); err != nil {
		x.writeError(err, nil)
		return
	}
	defer x.endRollout()
	for {
		x.confirmVersions(ctx)
		schedRequest := x.schedulerRequest()
		decision, err := x.awaitDecision(ctx, schedRequest)
		if err != nil {
			x.failWithoutEndpoint(ctx, &decision, err)
			return
		}
		if decision.Expired(time.Now()) {
			// The process was suspended meanwhile. Asking again costs nothing.
			x.releaseSlot(schedRequest, 0)
			continue
		}
		if err := x.passOn(); err != nil {
			x.releaseSlot(schedRequest, 0)
			x.failWithoutEndpoint(ctx, &decision, err)
			return
		}
		x.endpoint, x.listReadBegan, x.connectedAt = decision.Endpoint, x.gateway.listReadTime(), time.Time{}
		event := x.newEvent(acaciaevent.RequestDispatched)
		event.Inputs = x.eventInputs(&decision)
		event.Inputs.PromptSegments = x.segmentNames()
		x.gateway.recorder.Record(event)
		outcome, failure, err := x.callWithWatchdog(ctx, schedRequest, decision.Inputs.ExpectedFirstByte)
		x.gateway.metrics.observeSlotTime(x.service, decision.Inputs.ExpectedSlotTime, time.Since(decision.DecidedAt))
		x.endRolloutCall(ctx, outcome, failure)
		x.releaseSlot(schedRequest, failure)
		switch {
		case outcome == outcomeDelivered:
			return
		case outcome == outcomeCallerGone || ctx.Err() != nil:
			x.endCancelled(ctx, outcome)
			return
		case outcome == outcomeWithdrawn:
			continue
		}
		if !x.prepareRetry(ctx, outcome, failure, err) {
			return
		}
	}
}

// admit counts the request for the retry budget and charges the organisation's quota.
func (x *exchange) admit() error {
	var refusal error
	g := x.gateway
	loopRunning := g.loop.Do(func() {
		now := g.loop.Now()
		g.retryBudget.RecordRequest(x.service, now)
		if x.organisation == nil {
			return
		}
		if ok, retryAfter := g.quota.Take(x.newCharge(g.scheduler.HasSpareCapacity(x.service, now)), now); !ok {
			refusal = quotaError(retryAfter)
		}
	})
	if !loopRunning {
		return shutdownError()
	}
	return refusal
}

// newCharge returns what the request takes from its organisation's quota.
func (x *exchange) newCharge(spareCapacity bool) acaciabudget.Charge {
	return acaciabudget.Charge{Organisation: x.organisation.Name, Cost: x.cost(), Rank: x.route.PriorityIndex, SpareCapacity: spareCapacity}
}

// quotaError returns the error of a request whose organisation has used up its quota.
func quotaError(retryAfter time.Duration) error {
	return &acaciaroute.Error{Code: acaciaroute.CodeQuota, Detail: "the organisation's quota is used up", RetryAfter: retryAfter}
}

// shedError returns the error of a request that the scheduler refuses.
func shedError(retryAfter time.Duration) error {
	return &acaciaroute.Error{Code: acaciaroute.CodeShed, Detail: "no endpoint has capacity in time", RetryAfter: retryAfter}
}

// awaitDecision queues the request at the scheduler and waits for the decision. It returns an
// error if the request gets no endpoint, or must not get one because requests like it crash
// endpoints.
func (x *exchange) awaitDecision(ctx context.Context, schedRequest *acaciaschedule.Request) (acaciaschedule.Decision, error) {
	g := x.gateway
	results := make(chan waitResult, 1)
	g.loop.Post(func() {
		now := g.loop.Now()
		if ban := g.crashes.Refusal(x.traits, now); ban != nil {
			results <- waitResult{err: x.banError(ban, now)}
			return
		}
		g.waiters[schedRequest] = waiter{exchange: x, results: results}
		g.rollouts.begin(x, schedRequest)
		g.scheduler.Enqueue(schedRequest)
		g.scheduleRun()
	})
	select {
	case result := <-results:
		decision := result.decision
		x.rolloutCall = result.rolloutCall
		if result.err != nil {
			return decision, result.err
		}
		if decision.VersionGone && x.versionUnproven {
			return decision, &acaciaroute.Error{
				Code: acaciaroute.CodeOriginUnknown, Detail: "the store doesn't tell which endpoints are of the version that began the stream", RetryAfter: shortRetryAfter,
			}
		}
		if decision.VersionGone {
			return decision, acaciaroute.Errorf(acaciaroute.CodeStreamLost, "no endpoint is left of version %q, which began the stream", schedRequest.Version)
		}
		if decision.Endpoint == nil {
			return decision, shedError(decision.RetryAfter)
		}
		return decision, nil
	case <-ctx.Done():
	case <-g.loop.Done():
	}
	g.loop.Post(func() {
		if _, waiting := g.waiters[schedRequest]; waiting {
			delete(g.waiters, schedRequest)
			g.scheduler.Dequeue(schedRequest)
			return
		}
		g.scheduler.Release(schedRequest, g.loop.Now())
		g.scheduleRun()
	})
	if errors.Is(context.Cause(ctx), errGaveWay) {
		return acaciaschedule.Decision{Request: schedRequest}, x.noMemoryError()
	}
	if g.requestsEnd.Err() != nil {
		return acaciaschedule.Decision{Request: schedRequest}, shutdownError()
	}
	return acaciaschedule.Decision{Request: schedRequest}, acaciaroute.Errorf(acaciaroute.CodeDeadlineTooNear, "no endpoint had capacity before the deadline")
}

// failWithoutEndpoint ends a request that got no endpoint, or none again for a retry.
func (x *exchange) failWithoutEndpoint(ctx context.Context, decision *acaciaschedule.Decision, err error) {
	switch {
	case x.r.Context().Err() != nil:
		x.endCancelled(ctx, outcomeCallerGone)
	case x.headerSent:
		x.abortResponse("no other endpoint had capacity: " + err.Error())
	case x.runs > 0:
		x.writeError(&acaciaroute.Error{Code: acaciaroute.CodeOutcomeUnknown, Detail: "an endpoint failed and no other had capacity", Err: err}, decision)
	default:
		x.refundQuota()
		x.writeError(err, decision)
	}
}

// releaseSlot frees the request's slot at the endpoint and reports the endpoint's failure, if
// any, to the scheduler.
func (x *exchange) releaseSlot(schedRequest *acaciaschedule.Request, failure acaciaschedule.Failure) {
	g := x.gateway
	g.loop.Post(func() {
		now := g.loop.Now()
		g.endCall(x)
		if failure != 0 {
			g.scheduler.RecordFailure(schedRequest, failure, now)
		}
		g.scheduler.Release(schedRequest, now)
		g.scheduleRun()
	})
}

// refundQuota returns the charge for a request that has not run to the organisation's quota.
func (x *exchange) refundQuota() {
	if x.organisation == nil || x.runs > 0 {
		return
	}
	g := x.gateway
	g.loop.Post(func() { g.quota.Refund(x.organisation.Name, x.cost()) })
}

// endCancelled ends a request whose deadline has passed or whose caller has disconnected.
func (x *exchange) endCancelled(ctx context.Context, outcome callOutcome) {
	x.refundQuota()
	if x.r.Context().Err() != nil || outcome == outcomeCallerGone {
		event := x.newEvent(acaciaevent.RequestCancelled)
		event.Inputs, event.Detail = x.eventInputs(nil), errCallerGone.Error()
		x.gateway.recorder.Record(event)
		x.gateway.metrics.countResponse(x, acaciaroute.CodeAbandoned)
		panic(http.ErrAbortHandler)
	}
	if x.headerSent {
		x.abortResponse("the request's deadline has passed")
		return
	}
	if x.runs == 0 && x.gateway.requestsEnd.Err() != nil {
		x.writeError(shutdownError(), nil)
		return
	}
	x.writeError(&acaciaroute.Error{
		Code: acaciaroute.CodeTimeout, Detail: "the endpoint did not answer in time", Err: ctx.Err(),
	}, nil)
}

// abortResponse aborts the connection in the middle of a response, so that the caller does not
// take the part received for the complete response.
func (x *exchange) abortResponse(reason string) {
	event := x.newEvent(acaciaevent.AnswerCut)
	event.Code, event.Inputs, event.Detail = acaciaroute.CodeAnswerCut, x.eventInputs(nil), reason
	x.gateway.recorder.Record(event)
	x.gateway.metrics.countResponse(x, acaciaroute.CodeAnswerCut)
	panic(http.ErrAbortHandler)
}
