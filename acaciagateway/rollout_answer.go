package acaciagateway

import (
	"context"
	"runtime"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acacialoop"
	"github.com/acaciaroute/acaciaroute/acaciarollout"
	"github.com/acaciaroute/acaciaroute/acaciaschedule"
	"github.com/acaciaroute/acaciaroute/acaciasite"
)

type (
	// rolloutCall is what is observed of one call of an endpoint.
	rolloutCall struct {
		expected acaciarollout.Expected
		// far reports whether the endpoint is in another region, so that the way there counts as much as
		// the endpoint's own time.
		far bool
		// began is when the request was sent, firstByteAt when the answer began, firstEventAt and
		// lastEventAt when events came.
		began, firstByteAt, firstEventAt, lastEventAt time.Time
		events                                        int
		// stalled is for how long this process hadn't run before the call.
		stalled time.Duration
		// recorded is set once the answer has been counted, delivered once the caller has all of it.
		recorded, delivered bool
	}
)

// minIntervalEvents is the least number of events of a stream by whose interval it may be slow.
const minIntervalEvents = 8

// beginRolloutCall records that the request is sent.
func (x *exchange) beginRolloutCall() {
	if r := x.gateway.rollouts; r != nil {
		x.rolloutCall.began, x.rolloutCall.stalled = time.Now(), r.stalledTime()
	}
}

// runStallClock measures for how long this process doesn't run, while there are orders.
func (g *Gateway) runStallClock(ctx context.Context) {
	if g.rollouts == nil {
		return
	}
	clock := &g.rollouts.stalls
	for ctx.Err() == nil {
		if !g.rollouts.ordered.Load() {
			clock.Pause()
			g.rollouts.stallWatcher.Sleep(ctx, rolloutIdleInterval)
			continue
		}
		// A goroutine whose timer has expired overtakes those that wait for the processor. It is to wait as long
		// as those that read answers.
		runtime.Gosched()
		clock.Tick(time.Now())
		acacialoop.Sleep(ctx, acaciarollout.StallInterval)
	}
}

// stalledTime returns for how long this process hasn't run since its start.
func (r *rollouts) stalledTime() time.Duration {
	return r.stalls.Stalled(time.Now())
}

// observeRolloutFirstByte records that the answer begins.
func (x *exchange) observeRolloutFirstByte() {
	call := &x.rolloutCall
	if x.gateway.rollouts == nil || call.began.IsZero() {
		return
	}
	call.firstByteAt = time.Now()
	x.recordIfSlow()
}

// observeRolloutEvent records an event of a stream.
func (x *exchange) observeRolloutEvent(now time.Time) {
	call := &x.rolloutCall
	if x.gateway.rollouts == nil || call.began.IsZero() {
		return
	}
	call.events++
	if call.events == 1 {
		call.firstEventAt = now
	}
	call.lastEventAt = now
	x.recordIfSlow()
}

// recordIfSlow counts the answer at once if it is already slow.
func (x *exchange) recordIfSlow() {
	call := &x.rolloutCall
	if !call.recorded && !call.far && call.expected.IsSlow(x.rolloutTiming(time.Now())) {
		x.recordRolloutResult(acaciarollout.ResultSlow)
	}
}

// timing returns what is observed at a time. Until the answer begins, the time to its first byte is that
// since the request was sent.
func (c *rolloutCall) timing(now time.Time) acaciarollout.Timing {
	first := now
	if !c.firstByteAt.IsZero() {
		first = c.firstByteAt
	}
	timing := acaciarollout.Timing{FirstByte: first.Sub(c.began)}
	if c.events >= minIntervalEvents {
		timing.EventInterval = c.lastEventAt.Sub(c.firstEventAt) / time.Duration(c.events-1)
	}
	return timing
}

// rolloutTiming returns the timing of the call without the time for which this process didn't run.
func (x *exchange) rolloutTiming(now time.Time) acaciarollout.Timing {
	call := &x.rolloutCall
	return call.timing(now).Without(x.gateway.rollouts.stalledTime() - call.stalled)
}

// endRolloutCall counts the answer of a call that has ended, unless it says nothing of the version.
func (x *exchange) endRolloutCall(ctx context.Context, outcome callOutcome, failure acaciaschedule.Failure) {
	call := &x.rolloutCall
	if x.gateway.rollouts == nil || call.began.IsZero() {
		return
	}
	began := call.began
	if result, counts := classifyCall(ctx, outcome, failure); counts && !call.recorded {
		x.recordRolloutResult(result)
	} else if !call.recorded && outcome != outcomeNotRun && outcome != outcomeWithdrawn {
		// The caller has gone, or its deadline has passed. Only slowness is the endpoint's fault.
		x.recordIfSlow()
	}
	if outcome == outcomeDelivered && failure == 0 && !call.far {
		x.learnRolloutTimes(call.timing(began))
	}
	call.began, call.delivered = time.Time{}, outcome == outcomeDelivered
}

// classifyCall returns what a call that has ended says of its endpoint's version; counts is false if that is
// nothing: the request hasn't run, or what ended it is the caller's or the gateway's.
func classifyCall(ctx context.Context, outcome callOutcome, failure acaciaschedule.Failure) (result acaciarollout.Result, counts bool) {
	switch {
	case outcome == outcomeDelivered && failure == 0:
		return acaciarollout.ResultGood, true
	case outcome == outcomeDelivered, outcome == outcomeFailed && failure != 0 && ctx.Err() == nil:
		return acaciarollout.ResultFailed, true
	}
	return 0, false
}

// recordRolloutResult counts the result of the call.
func (x *exchange) recordRolloutResult(result acaciarollout.Result) {
	x.rolloutCall.recorded = true
	g, endpoint := x.gateway, *x.endpoint
	var event acaciaevent.Event
	if result != acaciarollout.ResultGood {
		event = x.badAnswerEvent(result)
	}
	g.loop.Post(func() {
		r := g.rollouts
		if _, ordered := r.orders[endpoint.Service]; !ordered {
			return
		}
		answer := acaciarollout.Answer{Route: x.route.Name, Endpoint: endpoint.ID, Target: r.isTarget(&endpoint), Result: result}
		g.metrics.rollouts.countAnswer(endpoint.Service, answer)
		if answer.Target && result != acaciarollout.ResultGood {
			g.recorder.Record(event)
		}
		if endpoint.Version == acaciasite.VersionUnknown {
			return
		}
		if r.table.RecordAnswer(endpoint.Service, answer, g.loop.Now()) {
			r.tellNow()
		}
	})
}

// badAnswerEvent returns the event of an answer that counts against the target.
func (x *exchange) badAnswerEvent(result acaciarollout.Result) acaciaevent.Event {
	event := x.newEvent(acaciaevent.RolloutAnswerBad)
	event.Detail = resultNames[result]
	event.Inputs = &acaciaevent.Inputs{
		SoftwareVersion: x.endpoint.Version, Events: x.rolloutCall.events,
		FirstByte:     acaciaevent.RoundDuration(x.rolloutTiming(time.Now()).FirstByte),
		ExpectedFirst: acaciaevent.RoundDuration(x.rolloutCall.expected.FirstByte),
	}
	return event
}

// learnRolloutTimes adds a good answer of an old version to what is expected of the route.
func (x *exchange) learnRolloutTimes(timing acaciarollout.Timing) {
	g, endpoint, route, predicted := x.gateway, *x.endpoint, x.route.Name, x.rolloutCall.expected.Predicted
	g.loop.Post(func() {
		if !g.rollouts.isTarget(&endpoint) {
			g.rollouts.expectations.Observe(endpoint.Service, route, predicted, timing)
		}
	})
}

// endRollout records that the request is done. The caller of a stream that has broken off may resume it.
func (x *exchange) endRollout() {
	g := x.gateway
	if g.rollouts == nil {
		return
	}
	var broken *acaciasite.Origin
	if x.route.Resumable && !x.rolloutCall.delivered {
		broken = x.origin
	}
	g.loop.Post(func() { g.rollouts.end(x, broken) })
}
