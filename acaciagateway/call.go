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

// result is how a call of an endpoint ended.
type result int

const (
	// resultAnswered: the caller has the whole answer, or the endpoint's own failure.
	resultAnswered result = iota + 1
	// resultNotRun: the endpoint has not run the request and never will.
	resultNotRun
	// resultBroken: the endpoint may have run the request, and its answer is not whole.
	resultBroken
	// resultGone: the caller has left, or has stopped reading.
	resultGone
)

// aliveTime bounds the check whether an endpoint that broke off still listens.
const aliveTime = 300 * time.Millisecond

// call sends the request to the endpoint and relays the answer.
func (x *exchange) call(ctx context.Context, want *acaciaschedule.Request, guard *watchdog) (result, acaciaschedule.Failure, error) {
	after := x.asked.After
	if x.began {
		after = x.after
	}
	answer, err := x.gateway.upstream.Start(ctx, acaciaupstream.Call{
		Address: x.at.Address,
		Method:  x.r.Method,
		Target:  x.r.RequestURI,
		Host:    x.r.Host,
		Header: acaciaplatform.ForwardHeader(x.r.Header, acaciaplatform.Forward{
			Endpoint: x.at.ID, Organisation: x.organisationName(), Left: time.Until(x.deadline), After: after,
		}),
		Body:    x.body,
		Matches: x.matches,
	})
	if err != nil {
		return x.failedStart(ctx, guard, err)
	}
	defer answer.Close()
	head := acaciaplatform.DecodeAnswer(answer.Header)
	if head.NotRun {
		failure, err := x.notRun(answer)
		return resultNotRun, failure, err
	}
	x.ranHere()
	x.gateway.loop.Post(func() { x.gateway.scheduler.First(want, x.gateway.loop.Now()) })
	if answer.Status >= http.StatusInternalServerError && x.repeatable() && x.budget() {
		x.prepaid = true
		return resultBroken, acaciaschedule.FailedRequest, fmt.Errorf("the endpoint answered %d", answer.Status)
	}
	if x.began && answer.Status != http.StatusOK {
		return resultBroken, acaciaschedule.FailedRequest, fmt.Errorf("the endpoint answered %d to a stream that goes on", answer.Status)
	}
	if answer.Status < http.StatusMultipleChoices && !head.Sealed {
		return resultBroken, acaciaschedule.FailedBroken, errors.New("the answer carries no signature")
	}
	if x.route.Kind == acaciasite.KindStream && answer.Status == http.StatusOK {
		return x.relayStream(ctx, answer, want, guard)
	}
	return x.relayPlain(ctx, answer, guard)
}

// matches tells whether an answer belongs to the request. Some refusals do not say.
func (x *exchange) matches(header http.Header) bool {
	head := acaciaplatform.DecodeAnswer(header)
	return head.RequestID == x.asked.ID || head.RequestID == "" && head.NotRun
}

// failedStart sorts a call that brought no answer.
func (x *exchange) failedStart(ctx context.Context, guard *watchdog, err error) (result, acaciaschedule.Failure, error) {
	var failed *acaciaupstream.Error
	unreached := errors.As(err, &failed) && !failed.Reached
	if !unreached {
		x.ranHere()
	}
	switch {
	case x.r.Context().Err() != nil:
		return resultGone, 0, err
	case unreached:
		return resultNotRun, acaciaschedule.FailedUnreached, err
	}
	if guard.fired() {
		return resultBroken, guard.failure(), guard.reason()
	}
	x.suspect(ctx)
	return resultBroken, acaciaschedule.FailedBroken, err
}

// notRun sorts a refusal of an endpoint.
func (x *exchange) notRun(answer *acaciaupstream.Answer) (acaciaschedule.Failure, error) {
	failure := acaciaschedule.FailedFull
	if answer.Status == http.StatusMisdirectedRequest {
		failure = acaciaschedule.FailedReplaced
	}
	if err := answer.Drain(); err != nil {
		return failure, err
	}
	return failure, fmt.Errorf("the endpoint answered %d without running the request", answer.Status)
}

// suspect notes that an endpoint has died while it ran the request, if it has.
func (x *exchange) suspect(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	checking, cancel := context.WithTimeout(ctx, aliveTime)
	defer cancel()
	if x.gateway.upstream.Alive(checking, x.at.Address) {
		return
	}
	event := x.event(acaciaevent.EndpointDied)
	event.KeyHash = fmt.Sprintf("%016x", x.content)
	x.gateway.recorder.Record(event)
	g := x.gateway
	g.loop.Post(func() { g.suspects.died(x.content) })
}
