package acaciagateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciaprefix"
	"github.com/acaciaroute/acaciaroute/acaciaschedule"
	"github.com/acaciaroute/acaciaroute/acaciasite"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

const (
	// defaultTimeout bounds a request whose route has no timeout.
	defaultTimeout = 30 * time.Second
	// shortRetryAfter is the Retry-After for refusals that are likely to be short: the gateway
	// is not ready or is stopping, or endpoints refused the request.
	shortRetryAfter = 300 * time.Millisecond
	// resumedStreamRank is the rank of a stream that the caller has begun to receive and that
	// must be resumed; it is ahead of all other requests, guaranteed ones included.
	resumedStreamRank = -2
)

// serveCaller handles callers' requests.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	arrivedAt := time.Now()
	metadata := acaciaplatform.DecodeRequest(r.Header)
	if g.stopping.Load() || len(r.TransferEncoding) > 0 {
		// The connection is closed after a chunked body, so that bytes smuggled in after the
		// body are not parsed as another request.
		w.Header().Set("Connection", "close")
	}
	x := &exchange{gateway: g, w: w, r: r, metadata: metadata, arrivedAt: arrivedAt, lastEventID: metadata.LastEventID}
	x.resetDeadlines()
	if err := errors.Join(x.resolveRoute(), x.checkLimits()); err != nil {
		x.limitUnreadBody()
		x.writeError(err, nil)
		return
	}
	if err := x.refuseBehind(); err != nil {
		x.writeError(err, nil)
		return
	}
	done, err := g.inFlight.beginRequest(x.deadline)
	if err != nil {
		x.limitUnreadBody()
		x.writeError(err, nil)
		return
	}
	defer done()
	ctx, cancelCause := context.WithCancelCause(r.Context())
	defer cancelCause(nil)
	x.holdMemory(cancelCause)
	defer x.memory.Release()
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	defer context.AfterFunc(g.requestsEnd, cancel)()
	if err := x.readBody(ctx); err != nil {
		x.writeError(err, nil)
		return
	}
	if err := x.findOrigin(ctx); err != nil {
		x.writeError(err, nil)
		return
	}
	x.dispatch(ctx)
}

// resolveRoute finds the request's route and organisation, chooses the service and sets the
// deadline.
func (x *exchange) resolveRoute() error {
	current := x.gateway.configuration.Load()
	if current == nil || !x.gateway.endpointsLoaded.Load() {
		return &acaciaroute.Error{Code: acaciaroute.CodeNotReady, Detail: "the configuration or the endpoint list has not been loaded yet", RetryAfter: shortRetryAfter}
	}
	x.configuration = current
	x.route = current.routeOf(x.r.Host, x.r.RequestURI)
	if x.route == nil {
		return acaciaroute.Errorf(acaciaroute.CodeNoRoute, "configuration version %d has no route for the host and path", current.Version)
	}
	if len(current.Organisations) > 0 && !x.route.Public {
		x.organisation = current.Organisation(x.metadata.Key)
		if x.organisation == nil {
			return acaciaroute.Errorf(acaciaroute.CodeUnauthenticated, "configuration version %d does not contain the API key", current.Version)
		}
	}
	x.service = x.route.ChooseService(rand.Float64())
	x.setDeadline()
	return nil
}

// routeOf returns the route of a request's host and target, nil if there is none.
func (c *loadedConfiguration) routeOf(host, target string) *acaciasite.Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	path, _, _ := strings.Cut(target, "?")
	return c.Route(strings.ToLower(host), path)
}

// setDeadline sets the deadline by the timeout of the route and what the caller says.
func (x *exchange) setDeadline() {
	timeout := x.route.TimeoutOr(defaultTimeout)
	if x.metadata.RemainingTime > 0 {
		timeout = min(timeout, x.metadata.RemainingTime)
	}
	x.deadline = x.arrivedAt.Add(timeout)
}

// cost returns the cost of the request, in the units of its organisation's quota.
func (x *exchange) cost() float64 {
	if x.organisation == nil || !x.organisation.QuotaInTokens {
		return 1
	}
	if tokens := x.metadata.PromptTokens + x.metadata.OutputTokens; tokens > 0 {
		return float64(tokens)
	}
	return float64(x.organisation.DefaultTokenCost)
}

// organisationName returns the name of the organisation, or "" if the request has none.
func (x *exchange) organisationName() string {
	if x.organisation == nil {
		return ""
	}
	return x.organisation.Name
}

// rank returns the scheduling rank of the request; lower ranks are more urgent, from 0.
func (x *exchange) rank() int {
	if x.organisation != nil && x.organisation.HasRank {
		return x.organisation.Rank*routeRankCount + x.route.PriorityIndex
	}
	return x.route.PriorityIndex
}

// routeRankCount is the number of ranks available to routes within one rank of an organisation.
const routeRankCount = 64

// schedulerRequest converts the request to the scheduler's type.
func (x *exchange) schedulerRequest() *acaciaschedule.Request {
	schedRequest := &acaciaschedule.Request{
		ID:                x.metadata.ID,
		Service:           x.service,
		Class:             x.route.Name,
		Cost:              x.cost(),
		Rank:              x.rank(),
		PromptTokens:      x.metadata.PromptTokens,
		OutputTokens:      x.metadata.OutputTokens,
		Prompt:            x.promptSegments(),
		Arrived:           x.arrivedAt,
		Objective:         x.arrivedAt.Add(x.route.FirstByteTarget),
		Deadline:          x.deadline,
		ExcludedEndpoints: x.excluded,
	}
	if x.route.Kind == acaciasite.KindStream {
		// Lengths are learnt from streams only: false hints of other requests would never be corrected.
		schedRequest.LengthHint = x.metadata.LengthHint
	}
	if x.organisation != nil {
		schedRequest.Organisation, schedRequest.Share = x.organisation.Name, x.organisation.Rate
	}
	if len(x.usedEndpoints) >= x.route.MaxEndpoints {
		schedRequest.AllowedEndpoints = x.usedEndpoints
	}
	if x.origin != nil {
		schedRequest.Bind(x.origin.Version)
		schedRequest.Rank = resumedStreamRank
	}
	if x.headerSent {
		schedRequest.Started, schedRequest.Rank, schedRequest.Objective = true, resumedStreamRank, time.Now()
	}
	return schedRequest
}

// promptSegments converts the segments of the prompt to the type of the prefix cache.
func (x *exchange) promptSegments() []acaciaprefix.Segment {
	ids, tokens := make([]uint64, len(x.metadata.PromptSegments)), make([]int, len(x.metadata.PromptSegments))
	for i, segment := range x.metadata.PromptSegments {
		ids[i], tokens[i] = segment.ID, segment.Tokens
	}
	return acaciaprefix.ChainSegments(x.metadata.Model, ids, tokens)
}

// writeError answers the caller with an error of the gateway and records the reason.
func (x *exchange) writeError(err error, decision *acaciaschedule.Decision) {
	codedErr := &acaciaroute.Error{Code: acaciaroute.CodeOutcomeUnknown, Detail: err.Error()}
	errors.As(err, &codedErr)
	kind := acaciaevent.RequestRefused
	if !codedErr.Code.NotRun() {
		kind = acaciaevent.OutcomeUnknown
	}
	if codedErr.Code == acaciaroute.CodeShed {
		kind = acaciaevent.RequestShed
	}
	event := x.newEvent(kind)
	event.Code, event.Detail = codedErr.Code, codedErr.Detail
	if codedErr.Err != nil {
		event.Detail += ": " + codedErr.Err.Error()
	}
	event.Inputs = x.eventInputs(decision)
	event.Inputs.RetryAfter = acaciaevent.RoundDuration(codedErr.RetryAfter)
	x.gateway.recorder.Record(event)
	x.gateway.metrics.countResponse(x, codedErr.Code)
	acaciaplatform.SetRequestID(x.w.Header(), x.metadata.ID)
	if codedErr.RetryAfter > 0 {
		x.w.Header().Set("Retry-After", strconv.FormatFloat(codedErr.RetryAfter.Seconds(), 'f', 3, 64))
	}
	http.Error(x.w, codedErr.Error(), codedErr.Code.HTTPStatus())
}

// newEvent returns an event about the request.
func (x *exchange) newEvent(kind acaciaevent.Kind) acaciaevent.Event {
	event := acaciaevent.Event{Kind: kind, RequestID: x.metadata.ID, Service: x.service, Organisation: x.organisationName()}
	if x.route != nil {
		event.Class, event.Rank = x.route.Name, x.rank()
	}
	if x.endpoint != nil {
		event.Endpoint = x.endpoint.ID
	}
	return event
}

// segmentNames returns the IDs of the prompt's segments as events show them.
func (x *exchange) segmentNames() []string {
	names := make([]string, len(x.metadata.PromptSegments))
	for i, segment := range x.metadata.PromptSegments {
		names[i] = strconv.FormatUint(segment.ID, 16)
	}
	return names
}

// eventInputs returns the values that led to an event about the request; decision may be nil.
func (x *exchange) eventInputs(decision *acaciaschedule.Decision) *acaciaevent.Inputs {
	inputs := &acaciaevent.Inputs{
		Waited:       acaciaevent.RoundedSince(x.arrivedAt),
		Attempts:     x.runs,
		PromptTokens: x.metadata.PromptTokens,
		OutputTokens: x.metadata.OutputTokens,
		Events:       x.eventCount,
		LengthHint:   x.metadata.LengthHint,
		Resumes:      x.metadata.Resumes,
	}
	if x.endpoint != nil {
		inputs.SoftwareVersion = x.endpoint.Version
	}
	x.addOriginInputs(inputs)
	if x.configuration != nil {
		inputs.TargetsVersion = acaciaroute.Offset(x.configuration.Version)
		inputs.TargetsAge = acaciaevent.RoundedSince(x.configuration.loadedAt)
	}
	if !x.deadline.IsZero() {
		inputs.RemainingTime = acaciaevent.RoundDuration(time.Until(x.deadline))
	}
	if decision == nil {
		return inputs
	}
	schedInputs := decision.Inputs
	inputs.Endpoints, inputs.Free = schedInputs.Endpoints, schedInputs.Free
	inputs.Queued, inputs.PeersQueued = schedInputs.Waiting, schedInputs.PeersWaiting
	inputs.ExpectedWait = acaciaevent.RoundDuration(schedInputs.ExpectedWait)
	inputs.ExpectedFirst = acaciaevent.RoundDuration(schedInputs.UsualFirstByte)
	inputs.HintAge = acaciaevent.RoundDuration(schedInputs.OldestReport)
	inputs.Window = schedInputs.Window
	inputs.ExpectedSlotTime, inputs.WorkAhead = acaciaevent.RoundDuration(schedInputs.ExpectedSlotTime), acaciaevent.RoundDuration(schedInputs.WorkAhead)
	return inputs
}
