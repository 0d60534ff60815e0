package acaciagateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciaschedule"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

const (
	// defaultTime bounds a request whose route and caller name no time.
	defaultTime = 30 * time.Second
	// notReadyPause is when a caller should come back to a gateway that knows too little.
	notReadyPause = 300 * time.Millisecond
	// urgentRank is the rank of a stream that has begun and must go on.
	urgentRank = -1
)

// serve implements http.Handler for callers.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	asked := acaciaplatform.DecodeRequest(r.Header)
	if g.stopping.Load() || len(r.TransferEncoding) > 0 {
		// After a body in chunks the connection ends, so that nothing that was hidden
		// behind the body is taken for a request.
		w.Header().Set("Connection", "close")
	}
	x := &exchange{gateway: g, w: w, r: r, asked: asked, arrived: arrived}
	if err := x.identify(); err != nil {
		x.refuse(err, nil)
		return
	}
	done, err := g.inHand.begin(x.deadline)
	if err != nil {
		x.refuse(err, nil)
		return
	}
	defer done()
	if err := x.readBody(); err != nil {
		x.refuse(err, nil)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	x.run(ctx)
}

// identify finds the route and the organisation of a request.
func (x *exchange) identify() error {
	current := x.gateway.configuration.Load()
	if current == nil || !x.gateway.listed.Load() {
		return &acaciaroute.Error{Code: acaciaroute.CodeNotReady, Detail: "no configuration has been read", RetryAfter: notReadyPause}
	}
	x.configuration = current
	host := x.r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	x.route = current.Route(strings.ToLower(host), path)
	if x.route == nil {
		return acaciaroute.Errorf(acaciaroute.CodeNoRoute, "version %d has no route for the host and path", current.Version)
	}
	if len(current.Organisations) > 0 && !x.route.Public {
		x.organisation = current.Organisation(x.asked.Key)
		if x.organisation == nil {
			return acaciaroute.Errorf(acaciaroute.CodeUnauthenticated, "version %d has no such key", current.Version)
		}
	}
	x.service = x.route.Choose(rand.Float64())
	left := x.route.Timeout
	if left <= 0 {
		left = defaultTime
	}
	if x.asked.Left > 0 {
		left = min(left, x.asked.Left)
	}
	x.deadline = x.arrived.Add(left)
	return nil
}

// readBody reads the whole body, within the configuration's bounds.
func (x *exchange) readBody() error {
	limits := x.configuration.Limits
	reader := x.r.Body
	if limits.BodyBytes > 0 {
		reader = http.MaxBytesReader(x.w, reader, limits.BodyBytes)
	}
	if err := http.NewResponseController(x.w).SetReadDeadline(x.deadline); err != nil {
		return &acaciaroute.Error{Code: acaciaroute.CodeBadRequest, Detail: "set the time for the body", Err: err}
	}
	body, err := io.ReadAll(reader)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return acaciaroute.Errorf(acaciaroute.CodeBodyTooLarge, "the body has more than %d bytes", limits.BodyBytes)
	case err != nil:
		x.w.Header().Set("Connection", "close")
		return &acaciaroute.Error{Code: acaciaroute.CodeBodyTimeout, Detail: "the body did not come whole", Err: err}
	}
	x.body = body
	// The server resets it for the next request on the connection.
	if err := http.NewResponseController(x.w).SetReadDeadline(time.Time{}); err != nil {
		return &acaciaroute.Error{Code: acaciaroute.CodeBadRequest, Detail: "lift the time for the body", Err: err}
	}
	return nil
}

// cost is what a request counts for its organisation.
func (x *exchange) cost() float64 {
	if x.organisation == nil || !x.organisation.CountsTokens {
		return 1
	}
	if tokens := x.asked.PromptTokens + x.asked.OutputTokens; tokens > 0 {
		return float64(tokens)
	}
	return float64(x.organisation.PlainCost)
}

// organisationName is empty for a request of none.
func (x *exchange) organisationName() string {
	if x.organisation == nil {
		return ""
	}
	return x.organisation.Name
}

// rank is 0 for the most urgent.
func (x *exchange) rank() int {
	if x.organisation != nil && x.organisation.HasRank {
		return x.organisation.Rank*ranksOfRoutes + x.route.Above
	}
	return x.route.Above
}

// ranksOfRoutes is how many ranks routes may have, below those of organisations.
const ranksOfRoutes = 64

// want returns the request for the scheduler.
func (x *exchange) want() *acaciaschedule.Request {
	want := &acaciaschedule.Request{
		ID:           x.asked.ID,
		Service:      x.service,
		Class:        x.route.Name,
		Cost:         x.cost(),
		Rank:         x.rank(),
		PromptTokens: x.asked.PromptTokens,
		Arrived:      x.arrived,
		Objective:    x.arrived.Add(x.route.Objective),
		Deadline:     x.deadline,
		Tried:        x.tried,
	}
	if x.organisation != nil {
		want.Organisation, want.Share = x.organisation.Name, x.organisation.Rate
	}
	if len(x.ran) >= x.route.MaxEndpoints {
		want.Only = x.ran
	}
	if x.began {
		want.Rank, want.Objective = urgentRank, time.Now()
	}
	return want
}

// refuse answers a request that has not run.
func (x *exchange) refuse(err error, decision *acaciaschedule.Decision) {
	coded := &acaciaroute.Error{Code: acaciaroute.CodeOutcomeUnknown, Detail: err.Error()}
	errors.As(err, &coded)
	kind := acaciaevent.RequestRefused
	if !coded.Code.NotRun() {
		kind = acaciaevent.OutcomeUnknown
	}
	if coded.Code == acaciaroute.CodeShed {
		kind = acaciaevent.RequestShed
	}
	event := x.event(kind)
	event.Code, event.Detail = coded.Code, coded.Detail
	if coded.Err != nil {
		event.Detail += ": " + coded.Err.Error()
	}
	event.Inputs = x.inputs(decision)
	event.Inputs.RetryAfter = acaciaevent.Span(coded.RetryAfter)
	x.gateway.recorder.Record(event)
	x.gateway.metrics.answered(x, coded.Code)
	acaciaplatform.MarkRequest(x.w.Header(), x.asked.ID)
	if coded.RetryAfter > 0 {
		x.w.Header().Set("Retry-After", strconv.FormatFloat(coded.RetryAfter.Seconds(), 'f', 3, 64))
	}
	http.Error(x.w, coded.Error(), coded.Code.HTTPStatus())
}

// event returns an event about the request.
func (x *exchange) event(kind acaciaevent.Kind) acaciaevent.Event {
	event := acaciaevent.Event{Kind: kind, RequestID: x.asked.ID, Service: x.service, Organisation: x.organisationName()}
	if x.route != nil {
		event.Class, event.Rank = x.route.Name, x.rank()
	}
	if x.at != nil {
		event.Endpoint = x.at.ID
	}
	return event
}

// inputs returns what decided an event about the request.
func (x *exchange) inputs(decision *acaciaschedule.Decision) *acaciaevent.Inputs {
	inputs := &acaciaevent.Inputs{
		Waited:       acaciaevent.Since(x.arrived),
		Attempts:     x.runs,
		PromptTokens: x.asked.PromptTokens,
		OutputTokens: x.asked.OutputTokens,
		Events:       x.events,
	}
	if x.configuration != nil {
		inputs.TargetsVersion = acaciaroute.Offset(x.configuration.Version)
		inputs.TargetsAge = acaciaevent.Since(x.configuration.at)
	}
	if !x.deadline.IsZero() {
		inputs.Left = acaciaevent.Span(time.Until(x.deadline))
	}
	if decision == nil {
		return inputs
	}
	in := decision.Inputs
	inputs.Endpoints, inputs.Free = in.Endpoints, in.Free
	inputs.Queued, inputs.PeersQueued = in.Waiting, in.PeersWaiting
	inputs.ExpectedWait = acaciaevent.Span(in.ExpectedWait)
	inputs.ExpectedFirst = acaciaevent.Span(in.ExpectedFirst)
	inputs.HintAge = acaciaevent.Span(in.OldestReport)
	return inputs
}
