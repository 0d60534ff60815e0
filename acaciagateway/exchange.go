package acaciagateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciabudget"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciaschedule"
	"github.com/acaciaroute/acaciaroute/acaciasite"
)

// exchange is one request and its answer.
type exchange struct {
	gateway       *Gateway
	w             http.ResponseWriter
	r             *http.Request
	asked         acaciasite.Request
	arrived       time.Time
	deadline      time.Time
	configuration *published
	route         *acaciasite.Route
	organisation  *acaciasite.Organisation
	service       string
	body          []byte
	content       uint64

	// tried are the endpoints that must not get the request again, ran those that may
	// have run it. runs counts the runs, refusals the answers that it did not run.
	tried    []string
	ran      []string
	runs     int
	refusals int
	// prepaid tells that the budget for the next repeat has been taken.
	prepaid bool
	// at is the endpoint that has it now.
	at *acaciasite.Endpoint
	// began tells that the caller has the head of the answer, after which event the
	// stream goes on.
	began   bool
	beganAt time.Time
	after   string
	// events is how many events the caller has.
	events int
}

const (
	// maxRuns bounds how often one request runs, at as many endpoints as its route allows.
	maxRuns = 4
	// maxRefusals bounds how often one request is sent on after refusals.
	maxRefusals = 6
)

var errCallerGone = errors.New("the caller has left")

// run finds a place for the request and calls endpoints until one has answered.
func (x *exchange) run(ctx context.Context) {
	x.content = contentHash(x.r.Method, x.r.RequestURI, x.organisationName(), x.body)
	if err := x.admit(); err != nil {
		x.refuse(err, nil)
		return
	}
	for {
		want := x.want()
		decision, err := x.wait(ctx, want)
		if err != nil {
			x.giveUp(ctx, &decision, err)
			return
		}
		x.at = decision.Endpoint
		event := x.event(acaciaevent.RequestDispatched)
		event.Inputs = x.inputs(&decision)
		x.gateway.recorder.Record(event)
		ended, failure, err := x.callGuarded(ctx, want, decision.Inputs.ExpectedHere)
		x.release(want, failure)
		switch {
		case ended == resultAnswered:
			return
		case ended == resultGone || ctx.Err() != nil:
			x.stop(ctx, ended)
			return
		}
		if !x.again(ctx, ended, failure, err) {
			return
		}
	}
}

// admit charges the organisation and counts the request.
func (x *exchange) admit() error {
	var refusal error
	g := x.gateway
	ran := g.loop.Do(func() {
		now := g.loop.Now()
		if g.suspects.banned(x.content) {
			refusal = acaciaroute.Errorf(acaciaroute.CodePoisonContent, "endpoints die that run this content")
			return
		}
		g.repeats.Request(x.service, now)
		if x.organisation == nil {
			return
		}
		charge := acaciabudget.Charge{
			Organisation: x.organisation.Name, Cost: x.cost(), Rank: x.route.Above, Spare: g.scheduler.HasSpare(x.service, now),
		}
		if ok, wait := g.quota.Take(charge, now); !ok {
			refusal = &acaciaroute.Error{Code: acaciaroute.CodeQuota, Detail: "the organisation's quota is used up", RetryAfter: wait}
		}
	})
	if !ran {
		return acaciaroute.Errorf(acaciaroute.CodeNotReady, "the process ends")
	}
	return refusal
}

// wait waits for the scheduler's decision; an error says that the request gets no place.
func (x *exchange) wait(ctx context.Context, want *acaciaschedule.Request) (acaciaschedule.Decision, error) {
	g := x.gateway
	decided := make(chan acaciaschedule.Decision, 1)
	g.loop.Post(func() {
		g.waiters[want] = decided
		g.scheduler.Add(want)
		g.step()
	})
	select {
	case decision := <-decided:
		if decision.Endpoint == nil {
			return decision, &acaciaroute.Error{
				Code: acaciaroute.CodeShed, Detail: "no endpoint has room in time", RetryAfter: decision.RetryAfter,
			}
		}
		return decision, nil
	case <-ctx.Done():
	case <-g.loop.Done():
	}
	g.loop.Post(func() {
		delete(g.waiters, want)
		if !g.scheduler.Remove(want) {
			g.scheduler.Release(want, g.loop.Now())
			g.step()
		}
	})
	return acaciaschedule.Decision{Request: want}, acaciaroute.Errorf(acaciaroute.CodeDeadlineTooNear, "no endpoint had room until the deadline")
}

// giveUp ends a request that got no place.
func (x *exchange) giveUp(ctx context.Context, decision *acaciaschedule.Decision, err error) {
	switch {
	case x.r.Context().Err() != nil:
		x.stop(ctx, resultGone)
	case x.began:
		x.cut("no other endpoint had room: " + err.Error())
	case x.runs > 0:
		x.refuse(&acaciaroute.Error{Code: acaciaroute.CodeOutcomeUnknown, Detail: "an endpoint failed and no other had room", Err: err}, decision)
	default:
		x.refund()
		x.refuse(err, decision)
	}
}

// release gives the place back and notes how the endpoint did.
func (x *exchange) release(want *acaciaschedule.Request, failure acaciaschedule.Failure) {
	g := x.gateway
	g.loop.Post(func() {
		now := g.loop.Now()
		if failure != 0 {
			g.scheduler.Fail(want, failure, now)
		}
		g.scheduler.Release(want, now)
		g.step()
	})
}

// again decides whether a request that an endpoint has failed goes to another one; if
// not, it answers the caller.
func (x *exchange) again(ctx context.Context, ended result, failure acaciaschedule.Failure, err error) bool {
	switch {
	case ended == resultNotRun:
		x.refusals++
		if failure != acaciaschedule.FailedFull {
			x.tried = append(x.tried, x.at.ID)
		}
		if x.refusals > maxRefusals || failure != acaciaschedule.FailedUnreached && !x.budget() {
			x.giveUp(ctx, nil, &acaciaroute.Error{
				Code: acaciaroute.CodeShed, Detail: "endpoints refused the request", RetryAfter: notReadyPause, Err: err,
			})
			return false
		}
	case !x.repeatable() || !x.budget():
		if x.began {
			x.cut(err.Error())
			return false
		}
		x.refuse(&acaciaroute.Error{Code: acaciaroute.CodeOutcomeUnknown, Detail: "the endpoint's answer was not whole", Err: err}, nil)
		return false
	case len(x.ran) < x.route.MaxEndpoints:
		x.tried = append(x.tried, x.at.ID)
	default:
		// Only those that had it may have it once more.
		x.tried = nil
	}
	event := x.event(acaciaevent.RequestRepeated)
	event.Inputs, event.Detail = x.inputs(nil), err.Error()
	x.gateway.recorder.Record(event)
	return true
}

// repeatable tells whether the request may run once more.
func (x *exchange) repeatable() bool {
	return x.route.Repeatable() && x.runs < maxRuns
}

// budget reports whether the request may be sent once more.
func (x *exchange) budget() bool {
	if x.prepaid {
		x.prepaid = false
		return true
	}
	allowed := false
	g := x.gateway
	g.loop.Do(func() { allowed = g.repeats.Repeat(x.service, g.members.Count(), g.loop.Now()) })
	return allowed
}

// ranHere notes that the endpoint may have run the request.
func (x *exchange) ranHere() {
	x.runs++
	if !slices.Contains(x.ran, x.at.ID) {
		x.ran = append(x.ran, x.at.ID)
	}
}

// refund gives back what the organisation was charged for a request that has not run.
func (x *exchange) refund() {
	if x.organisation == nil || x.runs > 0 {
		return
	}
	g := x.gateway
	g.loop.Post(func() { g.quota.Return(x.organisation.Name, x.cost()) })
}

// stop ends a request whose time is over or whose caller has left.
func (x *exchange) stop(ctx context.Context, ended result) {
	x.refund()
	if x.r.Context().Err() != nil || ended == resultGone {
		event := x.event(acaciaevent.RequestCancelled)
		event.Inputs, event.Detail = x.inputs(nil), errCallerGone.Error()
		x.gateway.recorder.Record(event)
		x.gateway.metrics.answered(x, acaciaroute.CodeAbandoned)
		panic(http.ErrAbortHandler)
	}
	if x.began {
		x.cut("the time of the request is over")
		return
	}
	x.refuse(&acaciaroute.Error{
		Code: acaciaroute.CodeTimeout, Detail: "the endpoint did not answer in time", Err: ctx.Err(),
	}, nil)
}

// cut breaks off an answer that has begun, so that it does not look whole.
func (x *exchange) cut(reason string) {
	event := x.event(acaciaevent.AnswerCut)
	event.Code, event.Inputs, event.Detail = acaciaroute.CodeAnswerCut, x.inputs(nil), reason
	x.gateway.recorder.Record(event)
	x.gateway.metrics.answered(x, acaciaroute.CodeAnswerCut)
	panic(http.ErrAbortHandler)
}
