package acaciagateway

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciaschedule"
	"github.com/acaciaroute/acaciaroute/acaciasite"
)

type (
	// watchdog cancels a call whose endpoint is silent, or too slow for a stream, if the
	// request can move to another endpoint now.
	watchdog struct {
		// silenceTimer fires when the endpoint has been silent for too long, slowTimer when
		// the stream may move to a faster endpoint.
		silenceTimer *time.Timer
		slowTimer    *time.Timer
		ctx          context.Context
		// cancel ends the call for a reason.
		cancel         context.CancelCauseFunc
		silenceTimeout time.Duration
		// canMove reports whether the request may move to another endpoint at all.
		canMove bool
		// decision says whether the request stays at its endpoint. It is made once.
		decision atomic.Int32
		// stall ends a stream that brings no event for too long; nil for other requests, and until the
		// request is sent. It belongs to the goroutine of the call.
		stall *stallTimer
	}
)

const (
	// The first event of a stream may take silenceFactor times the expected time to the first
	// byte plus firstEventMargin, and a complete plain response the same plus
	// plainResponseMargin, before another endpoint is tried.
	silenceFactor       = 4
	firstEventMargin    = 500 * time.Millisecond
	plainResponseMargin = 250 * time.Millisecond
	// A stream may pause between events for minEventSilenceTimeout, or for gapFactor times the
	// gap that its route allows, if that is longer, before another endpoint is tried.
	minEventSilenceTimeout = 900 * time.Millisecond
	gapFactor              = 3
	// moveAfterShare is the share of a stream's time after which it may move to a faster
	// endpoint; moveCheckInterval is the time between two checks for such an endpoint.
	moveAfterShare    = 0.75
	moveCheckInterval = 300 * time.Millisecond

	// neverExpires is the duration of a timer that is started later by Reset.
	neverExpires time.Duration = math.MaxInt64
)

// What is decided on whether a request stays at its endpoint: that it does, before a part of a response that can't be
// continued elsewhere is sent to the caller, or that it moves, before its call is cancelled for that.
const (
	undecided int32 = iota
	stays
	moves
)

var (
	errSilent = errors.New("the endpoint has fallen silent")
	errSlow   = errors.New("the endpoint is too slow for the rest of the stream")
)

// callWithWatchdog calls the endpoint under a watchdog. expected is the expected time to the
// first byte of the response.
func (x *exchange) callWithWatchdog(ctx context.Context, schedRequest *acaciaschedule.Request, expected time.Duration) (callOutcome, acaciaschedule.Failure, error) {
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x.beginCall(cancel)
	silenceTimeout := silenceFactor*expected + plainResponseMargin
	if x.route.Kind == acaciasite.KindStream {
		silenceTimeout = silenceFactor*expected + firstEventMargin
	}
	wd := &watchdog{ctx: callCtx, cancel: cancel, silenceTimeout: silenceTimeout, canMove: x.canMove(schedRequest)}
	// A timer is started only after its field is set, because its function resets it through
	// that field.
	wd.silenceTimer = time.AfterFunc(neverExpires, func() { x.moveIfSilent(schedRequest, wd) })
	wd.silenceTimer.Reset(silenceTimeout)
	defer wd.silenceTimer.Stop()
	totalTime := x.deadline.Sub(x.arrivedAt)
	wd.slowTimer = time.AfterFunc(neverExpires, func() { x.moveIfSlow(schedRequest, wd) })
	wd.slowTimer.Reset(time.Duration(moveAfterShare*float64(totalTime)) - time.Since(x.arrivedAt))
	defer wd.slowTimer.Stop()
	outcome, failure, err := x.callEndpoint(callCtx, schedRequest, wd)
	wd.stall.stop()
	if wd.fired() && !errors.Is(wd.cause(), errStalled) {
		// The watchdog has already charged the retry to the retry budget. The end of a stalled stream charges none.
		x.retryCharged = true
	}
	return outcome, failure, err
}

// moveIfSlow cancels the call of a stream that has used much of its time, if another endpoint
// has a free slot and is much faster: a long response from a slow engine would not be complete
// in time. If only such an endpoint or the retry budget is missing, it checks again later.
func (x *exchange) moveIfSlow(schedRequest *acaciaschedule.Request, wd *watchdog) {
	g := x.gateway
	g.loop.Post(func() {
		if wd.ctx.Err() != nil || !wd.canMove || wd.decision.Load() != undecided || x.route.Kind != acaciasite.KindStream {
			return
		}
		now := g.loop.Now()
		if !g.scheduler.HasFasterEndpoint(schedRequest, now) || !g.mayRetry(x.service, now) {
			wd.slowTimer.Reset(moveCheckInterval)
			return
		}
		if wd.claimMove() {
			wd.cancel(errSlow)
		}
	})
}

// canMove reports whether the request may move to another endpoint than the one that it is
// being sent to.
func (x *exchange) canMove(schedRequest *acaciaschedule.Request) bool {
	if !x.route.Repeatable() || x.runs+1 >= maxRuns {
		return false
	}
	endpointCount := len(x.usedEndpoints)
	if !slices.Contains(x.usedEndpoints, x.endpoint.ID) {
		endpointCount++
	}
	return endpointCount < x.route.MaxEndpoints || len(schedRequest.AllowedEndpoints) > 1
}

// moveIfSilent cancels the call if the request may move and another endpoint has a free slot.
// If only a free slot or the retry budget is missing, it checks again later.
func (x *exchange) moveIfSilent(schedRequest *acaciaschedule.Request, wd *watchdog) {
	g := x.gateway
	g.loop.Post(func() {
		if wd.ctx.Err() != nil {
			return
		}
		now := g.loop.Now()
		if !wd.canMove || wd.decision.Load() != undecided {
			return
		}
		// While the caller takes nothing, nothing is read of the endpoint's answer.
		if x.writing.Load() || !g.scheduler.HasOtherEndpoint(schedRequest, now) || !g.mayRetry(x.service, now) {
			wd.silenceTimer.Reset(wd.silenceTimeout)
			return
		}
		// The response may have begun since; then the retry was charged in vain.
		if wd.claimMove() {
			wd.cancel(errSilent)
		}
	})
}

// pin makes the request stay at its endpoint, so that a part of the response can be sent to the caller. It
// reports whether it does: the call is or is about to be cancelled otherwise, and pin waits for that.
func (wd *watchdog) pin() bool {
	if wd.decision.CompareAndSwap(undecided, stays) || wd.decision.Load() == stays {
		return true
	}
	<-wd.ctx.Done()
	return false
}

// claimMove decides that the request moves, and reports whether it does: the caller then cancels the call.
func (wd *watchdog) claimMove() bool {
	return wd.decision.CompareAndSwap(undecided, moves)
}

// resetSilenceTimer restarts the silence timer after progress; limit is how long the endpoint
// may stay silent from now on.
func (wd *watchdog) resetSilenceTimer(limit time.Duration) {
	wd.silenceTimer.Reset(limit)
}

// fired reports whether the watchdog, or a ban, has cancelled the call.
func (wd *watchdog) fired() bool {
	return wd.cause() != nil
}

// cause returns why the watchdog or a ban has cancelled the call, or nil if neither has.
func (wd *watchdog) cause() error {
	cause := context.Cause(wd.ctx)
	if errors.Is(cause, errSilent) || errors.Is(cause, errStalled) || errors.Is(cause, errSlow) || errors.Is(cause, errBanned) {
		return cause
	}
	return nil
}

// failure returns the failure that the scheduler records for the endpoint; 0 if it is not to
// blame.
func (wd *watchdog) failure() acaciaschedule.Failure {
	if cause := context.Cause(wd.ctx); errors.Is(cause, errSilent) || errors.Is(cause, errStalled) {
		return acaciaschedule.FailureStalled
	}
	return 0
}
