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
	// resumeTime is how long an entry tries to reach an agent whose answer broke
	// off.
	resumeTime     = 12 * time.Second
	resumeInterval = 200 * time.Millisecond
	settleTimeout  = 2 * time.Second
)

// recover goes on after a stream broke off: it never sends the request again,
// but asks the agent what became of it.
func (r *relay) recover(ctx context.Context, cause error) acaciaroute.Error {
	deadline := time.Now().Add(resumeTime)
	for time.Now().Before(deadline) {
		if ctx.Err() != nil {
			return r.abandon()
		}
		if !r.begun {
			result, settled, err := r.settle(ctx)
			if settled {
				return result
			}
			cause = errors.Join(cause, err)
		}
		result, final, err := r.reattach(ctx)
		if final {
			return result
		}
		if r.gone(err) {
			return r.lost(err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(resumeInterval):
		}
	}
	return r.lost(cause)
}

// gone reports whether an error tells that the agent holds no run, or no longer
// what is missing of its answer. A run of another entry may be under way to the
// agent for a moment.
func (r *relay) gone(err error) bool {
	if errors.Is(err, syscall.ECONNREFUSED) || connect.CodeOf(err) == connect.CodeOutOfRange {
		return true
	}
	if connect.CodeOf(err) != connect.CodeNotFound {
		return false
	}
	return r.runID == r.req.id || time.Since(r.created) > findTimeout
}

// settle asks whether a request whose beginning was not confirmed runs.
func (r *relay) settle(ctx context.Context) (acaciaroute.Error, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	reply, err := r.client().Settle(ctx, &acaciawire.SettleRequest{RequestId: r.req.id, Grant: r.grant})
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return r.lost(err), true, err
		}
		return acaciaroute.Error{}, false, err
	}
	r.entry.process.Recorder.Clock().Observe(acaciaevent.Stamp(reply.Clock))
	switch acaciawire.RunState(reply.State) {
	case acaciawire.RunNever:
		r.barred = true
		return acaciaroute.Error{Code: acaciaroute.CodeRefused, Detail: "the agent refused the request for good"}, true, nil
	case acaciawire.RunRunning, acaciawire.RunFinished:
		r.begun = true
		return acaciaroute.Error{}, false, nil
	}
	return r.lost(nil), true, nil
}

// reattach reads the answer on from where it broke off. An agent that sends
// nothing in time is given up.
func (r *relay) reattach(ctx context.Context) (acaciaroute.Error, bool, error) {
	r.attempts++
	event := r.req.event(acaciaevent.AnswerResumed)
	event.Count = r.offset
	event.Endpoint = r.endpoint()
	event.Inputs.Attempts = r.attempts
	r.entry.process.Recorder.Record(event)
	message := &acaciawire.AttachRequest{RequestId: r.runID, Offset: r.offset, Grant: r.grant}
	watched, stop, watchdog := acaciaprocess.NewWatchdog(ctx, settleTimeout)
	defer stop()
	stream, err := r.client().Attach(watched, message)
	if err != nil {
		return acaciaroute.Error{}, false, err
	}
	result, final := r.consume(ctx, stream, watchdog)
	return result, final, stream.Err()
}

// lost returns the result of a run whose agent has no more to say.
func (r *relay) lost(cause error) acaciaroute.Error {
	if r.started {
		return acaciaroute.Error{Code: acaciaroute.CodeAnswerCut, Detail: "the answer broke off", Err: cause}
	}
	return acaciaroute.Error{
		Code:   acaciaroute.CodeOutcomeUnknown,
		Detail: "the request reached an endpoint, and whether it ran is not known",
		Err:    cause,
	}
}
