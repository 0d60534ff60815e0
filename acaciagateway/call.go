package acaciagateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciaschedule"
	"github.com/acaciaroute/acaciaroute/acaciasite"
	"github.com/acaciaroute/acaciaroute/acaciaupstream"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

// callOutcome is how a call to an endpoint ended.
type callOutcome int

const (
	// outcomeDelivered means that the caller has the complete response, which may be an
	// error response of the endpoint.
	outcomeDelivered callOutcome = iota + 1
	// outcomeNotRun means that the endpoint has not run the request and never will.
	outcomeNotRun
	// outcomeFailed means that the endpoint may have run the request, but gave no usable,
	// complete response.
	outcomeFailed
	// outcomeCallerGone means that the caller has disconnected or has stopped reading.
	outcomeCallerGone
	// outcomeWithdrawn means that the request was not sent, because the endpoint has asked for no
	// requests while the connection was opened.
	outcomeWithdrawn
)

// callEndpoint sends the request to the endpoint and relays the response to the caller.
func (x *exchange) callEndpoint(ctx context.Context, schedRequest *acaciaschedule.Request, wd *watchdog) (callOutcome, acaciaschedule.Failure, error) {
	x.beginRolloutCall()
	response, err := x.gateway.upstream.Send(ctx, acaciaupstream.Call{
		Address: x.endpoint.Address,
		Method:  x.r.Method,
		Target:  x.r.RequestURI,
		Host:    x.r.Host,
		Header: acaciaplatform.ForwardHeader(x.r.Header, acaciaplatform.Forward{
			Endpoint: x.endpoint.ID, Organisation: x.organisationName(), RemainingTime: time.Until(x.deadline), LastEventID: x.lastEventID,
		}),
		Body:            x.body,
		MatchesResponse: x.matchesRequest,
		Withdrawn: func(openedAt time.Time, reused bool) bool {
			if x.isWithdrawn(ctx, schedRequest, wd, openedAt, reused) {
				return true
			}
			wd.watchStall(x.route)
			return false
		},
	})
	if err != nil {
		return x.classifySendError(ctx, wd, err)
	}
	defer response.Close()
	x.connectedAt = response.ConnectedAt()
	metadata := acaciaplatform.DecodeResponse(response.Header)
	x.observeLeaving(response, metadata)
	x.observeRateLimit(schedRequest, metadata)
	if response.Status == http.StatusServiceUnavailable && metadata.RetryAfter != "" {
		x.observeBackoff(schedRequest, metadata)
	}
	if metadata.NotRun {
		failure, err := x.classifyRefusal(response)
		return outcomeNotRun, failure, err
	}
	x.recordRun()
	x.observeRolloutFirstByte()
	x.gateway.loop.Post(func() { x.gateway.scheduler.RecordFirstByte(schedRequest, x.gateway.loop.Now()) })
	if failure, err := x.checkRelayable(response, metadata); err != nil {
		return outcomeFailed, failure, err
	}
	if x.route.Kind == acaciasite.KindStream && response.Status == http.StatusOK {
		return x.relayStream(ctx, response, schedRequest, wd)
	}
	return x.relayPlain(ctx, response, wd)
}

// checkRelayable returns an error, and the failure that it tells of, if the caller must not get a response: the
// request runs again in its place, or it would be told something untrue.
func (x *exchange) checkRelayable(response *acaciaupstream.Response, metadata acaciaplatform.ResponseInfo) (acaciaschedule.Failure, error) {
	status := response.Status
	switch {
	case status >= http.StatusInternalServerError && x.mayRunAgain() && x.takeRetryBudget():
		x.retryCharged = true
		return acaciaschedule.FailureErrorResponse, fmt.Errorf("the endpoint answered %d", status)
	case x.headerSent && status != http.StatusOK:
		return acaciaschedule.FailureErrorResponse, fmt.Errorf("the endpoint answered %d to a resumed stream", status)
	case status < http.StatusMultipleChoices && !metadata.Signed:
		return acaciaschedule.FailureInvalidResponse, errors.New("the response carries no signature")
	case promisesNotRun(status) && !x.route.Repeatable():
		return plainFailure(response), fmt.Errorf("the endpoint answered %d, but may have run the request", status)
	}
	return 0, nil
}

// promisesNotRun reports whether callers take a status as the promise that their request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// observeLeaving records whether the endpoint has said that it is leaving.
func (x *exchange) observeLeaving(response *acaciaupstream.Response, metadata acaciaplatform.ResponseInfo) {
	if !metadata.Leaving {
		return
	}
	endpoint, event := *x.endpoint, x.newEvent(acaciaevent.EndpointLeaving)
	misdirected := response.Status == http.StatusMisdirectedRequest
	g := x.gateway
	g.loop.Post(func() { g.recordLeaving(endpoint, misdirected, event) })
}

// observeRateLimit tells the scheduler whether the endpoint limits the requests that it accepts.
func (x *exchange) observeRateLimit(schedRequest *acaciaschedule.Request, metadata acaciaplatform.ResponseInfo) {
	limit := acaciaschedule.RateLimit{Limited: metadata.Limited, Rate: metadata.RateLimit}
	event := x.newEvent(acaciaevent.EndpointLimited)
	event.Detail = limit.String()
	g := x.gateway
	g.loop.Post(func() {
		if g.scheduler.RecordRateLimit(schedRequest, limit, g.loop.Now()) {
			g.recorder.Record(event)
		}
	})
}

// observeBackoff tells the scheduler for how long the endpoint wants no requests, and records when
// that begins and ends.
func (x *exchange) observeBackoff(schedRequest *acaciaschedule.Request, metadata acaciaplatform.ResponseInfo) {
	asked := acaciaschedule.Backoff{Duration: metadata.Backoff, Readable: metadata.BackoffReadable}
	event := x.newEvent(acaciaevent.EndpointBackoff)
	event.Detail = fmt.Sprintf("Retry-After %.40q", metadata.RetryAfter)
	g := x.gateway
	g.loop.Post(func() {
		now := g.loop.Now()
		until, changed := g.scheduler.RecordBackoff(schedRequest, asked, now)
		if !changed {
			return
		}
		event.Inputs = &acaciaevent.Inputs{RetryAfter: acaciaevent.RoundDuration(until.Sub(now))}
		g.recorder.Record(event)
		if !asked.Readable {
			return
		}
		g.loop.After(until.Sub(now), func() {
			event.Kind, event.RequestID, event.Inputs = acaciaevent.EndpointBackoffEnded, "", nil
			g.recorder.Record(event)
			g.runScheduler()
		})
	})
}

// isWithdrawn reports whether the request must not be sent over a connection: the endpoint wants none any
// more, which is asked for if much time may have passed since the decision, or the request is for the rest of
// a stream and nothing shows that the connection leads to the version that began it.
func (x *exchange) isWithdrawn(ctx context.Context, schedRequest *acaciaschedule.Request, wd *watchdog, openedAt time.Time, reused bool) bool {
	if x.origin != nil && !x.mayContinueOver(ctx, schedRequest, wd, openedAt) {
		return true
	}
	return (x.origin != nil || !reused) && x.endpointBacksOff(schedRequest)
}

// endpointBacksOff reports whether the endpoint of a request wants no requests now.
func (x *exchange) endpointBacksOff(schedRequest *acaciaschedule.Request) bool {
	backsOff := false
	g := x.gateway
	g.loop.Do(func() { backsOff = g.scheduler.BacksOff(schedRequest, g.loop.Now()) })
	return backsOff
}

// matchesRequest reports whether a response belongs to the request. A refusal without a
// request ID does on a new connection; on a reused one it may be a late copy of the refusal of
// another request, while this one runs.
func (x *exchange) matchesRequest(header http.Header, reused bool) bool {
	metadata := acaciaplatform.DecodeResponse(header)
	return metadata.RequestID == x.metadata.ID || metadata.RequestID == "" && metadata.NotRun && !reused
}

// classifySendError returns the outcome of a call that returned no response.
func (x *exchange) classifySendError(ctx context.Context, wd *watchdog, err error) (callOutcome, acaciaschedule.Failure, error) {
	if errors.Is(err, acaciaupstream.ErrWithdrawn) {
		return outcomeWithdrawn, 0, err
	}
	var upstreamErr *acaciaupstream.Error
	unreachable := errors.As(err, &upstreamErr) && !upstreamErr.Reached
	if !unreachable {
		x.recordRun()
	}
	switch {
	case x.r.Context().Err() != nil:
		return outcomeCallerGone, 0, err
	case unreachable:
		if acaciaupstream.IsRefused(err) {
			x.recordEndpointDead()
		}
		return outcomeNotRun, acaciaschedule.FailureUnreachable, err
	}
	if wd.fired() {
		return outcomeFailed, wd.failure(), wd.cause()
	}
	x.checkEndpointCrash(ctx)
	return outcomeFailed, acaciaschedule.FailureInvalidResponse, err
}

// classifyRefusal returns why an endpoint refused the request without running it. The connection is
// closed: if the request is sent to the endpoint again, a second copy of the refusal would be taken
// for the answer to that.
func (x *exchange) classifyRefusal(response *acaciaupstream.Response) (acaciaschedule.Failure, error) {
	response.CloseConnection()
	failure := acaciaschedule.FailureOverloaded
	if response.Status == http.StatusMisdirectedRequest {
		failure = acaciaschedule.FailureAddressReused
	}
	return failure, fmt.Errorf("the endpoint answered %d without running the request", response.Status)
}
