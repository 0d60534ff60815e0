package acaciaentry

import (
	"context"
	"errors"
	"syscall"
	"time"

	"connectrpc.com/connect"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciaprocess"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

const (
	// resumeTimeout limits how long an entry tries to resume a response that broke off.
	resumeTimeout  = 12 * time.Second
	resumeInterval = 200 * time.Millisecond
	settleTimeout  = 2 * time.Second
)

// resume continues a response after its stream broke off. It never sends the request again;
// it asks the agent for the run's state and reads the rest of the response.
func (r *relay) resume(ctx context.Context, cause error) acaciaroute.Error {
	deadline := time.Now().Add(resumeTimeout)
	for time.Now().Before(deadline) {
		if ctx.Err() != nil {
			return r.abandon()
		}
		if !r.runConfirmed {
			result, settled, err := r.settleRun(ctx)
			if settled {
				return result
			}
			cause = errors.Join(cause, err)
		}
		result, final, err := r.reattach(ctx)
		if final {
			return result
		}
		if r.runGone(err) {
			return r.lostResult(err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(resumeInterval):
		}
	}
	return r.lostResult(cause)
}

// runGone reports whether an error means that the agent is down, has no such run, or no
// longer has the missing part of its response. A run that another entry has dispatched may
// not have reached the agent yet, so an unknown one counts as gone only after findTimeout.
func (r *relay) runGone(err error) bool {
	if errors.Is(err, syscall.ECONNREFUSED) || connect.CodeOf(err) == connect.CodeOutOfRange {
		return true
	}
	if connect.CodeOf(err) != connect.CodeNotFound {
		return false
	}
	return r.runID == r.req.id || time.Since(r.created) > findTimeout
}

// settleRun asks the agent to decide whether the request runs, because the start of its run
// was not confirmed. The boolean reports whether the result is final.
func (r *relay) settleRun(ctx context.Context) (acaciaroute.Error, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	reply, err := r.client().Settle(ctx, &acaciawire.SettleRequest{RequestId: r.req.id, Grant: r.grant})
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return r.lostResult(err), true, err
		}
		return acaciaroute.Error{}, false, err
	}
	r.entry.process.Recorder.Clock().Observe(acaciaevent.Stamp(reply.Clock))
	switch acaciawire.RunState(reply.State) {
	case acaciawire.RunWillNotRun:
		r.permanentlyRefused = true
		return acaciaroute.Error{Code: acaciaroute.CodeRefused, Detail: "the agent refused the request permanently"}, true, nil
	case acaciawire.RunRunning, acaciawire.RunFinished:
		r.runConfirmed = true
		return acaciaroute.Error{}, false, nil
	}
	return r.lostResult(nil), true, nil
}

// reattach reads the rest of the response from where it broke off. It stops if the agent
// sends nothing for settleTimeout.
func (r *relay) reattach(ctx context.Context) (acaciaroute.Error, bool, error) {
	r.resumeAttempts++
	event := r.req.newEvent(acaciaevent.AnswerResumed)
	event.Count = r.offset
	event.Endpoint = r.endpoint()
	event.Inputs.Attempts = r.resumeAttempts
	r.entry.process.Recorder.Record(event)
	message := &acaciawire.AttachRequest{RequestId: r.runID, Offset: r.offset, Grant: r.grant}
	watchedCtx, stop, watchdog := acaciaprocess.NewWatchdog(ctx, settleTimeout)
	defer stop()
	stream, err := r.client().Attach(watchedCtx, message)
	if err != nil {
		return acaciaroute.Error{}, false, err
	}
	result, final := r.relayStream(ctx, stream, watchdog)
	return result, final, stream.Err()
}

// lostResult returns the result of a run whose response cannot be resumed.
func (r *relay) lostResult(cause error) acaciaroute.Error {
	if r.headerSent {
		return acaciaroute.Error{Code: acaciaroute.CodeAnswerCut, Detail: "the response broke off before it was complete", Err: cause}
	}
	return acaciaroute.Error{
		Code:   acaciaroute.CodeOutcomeUnknown,
		Detail: "the request was sent to an endpoint; whether it ran is unknown",
		Err:    cause,
	}
}
