package acaciagateway

import (
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciaschedule"
	"github.com/acaciaroute/acaciaroute/acaciasite"
)

type (
	// watchdog breaks a call off whose endpoint has fallen silent, if the request can go
	// to another one now.
	watchdog struct {
		// timer ends when the endpoint has been silent for too long, slow when the stream
		// may move to a faster one.
		timer *time.Timer
		slow  *time.Timer
		ctx   context.Context
		limit time.Duration
		// movable tells whether the request may go to another endpoint at all.
		movable bool
	}
)

const (
	// silenceFactor is how many times longer than expected the first part of an answer
	// may take before another endpoint is tried, after firstSilence or plainSilence.
	silenceFactor = 4
	firstSilence  = 500 * time.Millisecond
	plainSilence  = 250 * time.Millisecond
	// eventSilence is how long a stream may pause, or gapFactor times what its route
	// allows.
	eventSilence = 900 * time.Millisecond
	gapFactor    = 3
	// moveShare is the part of a stream's time after which it may move to a faster
	// endpoint; moveAgain is the time between two looks for one.
	moveShare = 0.75
	moveAgain = 300 * time.Millisecond

	never time.Duration = math.MaxInt64
)

var (
	errSilent = errors.New("the endpoint has fallen silent")
	errSlow   = errors.New("the endpoint is too slow for the rest of the stream")
)

// callGuarded calls the endpoint under a watchdog.
func (x *exchange) callGuarded(ctx context.Context, want *acaciaschedule.Request, expected time.Duration) (result, acaciaschedule.Failure, error) {
	called, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := silenceFactor*expected + plainSilence
	if x.route.Kind == acaciasite.KindStream {
		limit = silenceFactor*expected + firstSilence
	}
	guard := &watchdog{ctx: called, limit: limit, movable: x.movable(want)}
	// The timers start once they are in place for the functions that set them anew.
	guard.timer = time.AfterFunc(never, func() { x.expire(want, guard, cancel) })
	guard.timer.Reset(limit)
	defer guard.timer.Stop()
	whole := x.deadline.Sub(x.arrived)
	guard.slow = time.AfterFunc(never, func() { x.move(want, guard, cancel) })
	guard.slow.Reset(time.Duration(moveShare*float64(whole)) - time.Since(x.arrived))
	defer guard.slow.Stop()
	ended, failure, err := x.call(called, want, guard)
	if guard.fired() {
		// The watchdog has paid for what it broke off.
		x.prepaid = true
	}
	return ended, failure, err
}

// move breaks off a stream that has used much of its time, if another endpoint has room
// and is much faster: a long answer from a slow engine would not be whole in time.
func (x *exchange) move(want *acaciaschedule.Request, guard *watchdog, cancel context.CancelCauseFunc) {
	g := x.gateway
	g.loop.Post(func() {
		if guard.ctx.Err() != nil || !guard.movable || x.route.Kind != acaciasite.KindStream {
			return
		}
		now := g.loop.Now()
		if !g.scheduler.Faster(want, now) || !g.repeats.Repeat(x.service, g.members.Count(), now) {
			guard.slow.Reset(moveAgain)
			return
		}
		cancel(errSlow)
	})
}

// movable tells whether the request may go to another endpoint than the one that gets it
// now.
func (x *exchange) movable(want *acaciaschedule.Request) bool {
	if !x.route.Repeatable() || x.runs+1 >= maxRuns {
		return false
	}
	ran := len(x.ran)
	if !slices.Contains(x.ran, x.at.ID) {
		ran++
	}
	return ran < x.route.MaxEndpoints || len(want.Only) > 1
}

// expire breaks the call off if the request may be sent again and another endpoint has
// room; if not, it looks again later.
func (x *exchange) expire(want *acaciaschedule.Request, guard *watchdog, cancel context.CancelCauseFunc) {
	g := x.gateway
	g.loop.Post(func() {
		if guard.ctx.Err() != nil {
			return
		}
		now := g.loop.Now()
		if !guard.movable {
			return
		}
		if !g.scheduler.Elsewhere(want, now) || !g.repeats.Repeat(x.service, g.members.Count(), now) {
			guard.timer.Reset(guard.limit)
			return
		}
		cancel(errSilent)
	})
}

// progress notes progress; limit is how long the next one may take.
func (d *watchdog) progress(limit time.Duration) {
	d.timer.Reset(limit)
}

// fired tells whether the watchdog has broken the call off.
func (d *watchdog) fired() bool {
	return d.reason() != nil
}

// reason is why the watchdog has broken the call off, nil if it has not.
func (d *watchdog) reason() error {
	if cause := context.Cause(d.ctx); errors.Is(cause, errSilent) || errors.Is(cause, errSlow) {
		return cause
	}
	return nil
}

// failure is what the endpoint is told to have done.
func (d *watchdog) failure() acaciaschedule.Failure {
	if errors.Is(context.Cause(d.ctx), errSlow) {
		return 0
	}
	return acaciaschedule.FailedSilent
}
