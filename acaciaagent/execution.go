package acaciaagent

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciagrant"
	"github.com/acaciaroute/acaciaroute/acaciakey"
	"github.com/acaciaroute/acaciaroute/acaciapoison"
	"github.com/acaciaroute/acaciaroute/acaciaprocess"
	"github.com/acaciaroute/acaciaroute/acaciarun"
)

type (
	// execution is one call to the endpoint.
	execution struct {
		agent       *Agent
		run         *acaciarun.Run
		reservation acaciaroute.Reservation
		call        acaciaroute.Call
		cancel      context.CancelCauseFunc
		// state changes once: when the first part of the answer arrives, or when the
		// request is taken back from a straggling endpoint.
		state *atomic.Int32
		// ended reports whether this copy tells superviseExecutions of the execution's end
		// rather than of its start.
		ended bool
		// grantUsedAt is when the grant was used.
		grantUsedAt time.Time
		// started is when the endpoint was called.
		started time.Time
	}
)

// The states of an execution.
const (
	executionUndecided int32 = iota
	executionAnswering
	executionTakenBack
)

// errTakenBack is the cancellation cause of an execution whose request is taken back.
var errTakenBack = &acaciaroute.Error{
	Code:   acaciaroute.CodeTakenBack,
	Detail: "the request was taken back from a slow endpoint before its first token",
}

// useGrant uses the request's grant and reports whether the grant was still held.
func (e *execution) useGrant() bool {
	granted := false
	a := e.agent
	a.process.Loop.Do(func() {
		e.reservation, granted = a.granter.StartRun(e.run.RequestID, e.run.Grant)
		if granted {
			e.grantUsedAt = time.Now()
			a.executions[e.run.RequestID] = e
		}
	})
	return granted
}

// takeBack cancels the call to the endpoint unless the answer has begun.
func (e *execution) takeBack() {
	if e.state.CompareAndSwap(executionUndecided, executionTakenBack) {
		e.agent.metrics.takenBack.WithLabelValues(e.reservation.Class).Inc()
		e.cancel(errTakenBack)
	}
}

// notifyGranterOfEnd tells the granter that the request is no longer running at the
// endpoint.
func (e *execution) notifyGranterOfEnd() {
	a := e.agent
	a.process.Loop.Post(func() {
		delete(a.executions, e.run.RequestID)
		a.granter.EndRun(e.run.RequestID)
	})
}

// runningDelta returns by how much the start or end that this copy reports changes the
// number of running executions.
func (e *execution) runningDelta() int {
	if e.ended {
		return -1
	}
	return 1
}

// reportChange reports the start or end of the execution to superviseExecutions.
func (e *execution) reportChange(ended bool) {
	copied := *e
	copied.ended = ended
	select {
	case e.agent.executionChanges <- &copied:
	case <-e.agent.supervisorDone:
	}
}

// execute calls the endpoint once and stores its answer. If the process was suspended after
// the grant was used, what the grant was based on may no longer hold, and the request is
// refused instead.
func (e *execution) execute(ctx context.Context) {
	defer e.reportChange(true)
	a := e.agent
	if time.Since(e.grantUsedAt) >= acaciagrant.DefaultGrantLifetime {
		e.notifyGranterOfEnd()
		e.finish(acaciaroute.CodeRefused, "the agent was delayed for longer than a grant is valid")
		return
	}
	a.requestCounts.Add(e.reservation.Class, e.reservation.Organisation, acaciaprocess.CountRunning, 1)
	e.started = time.Now()
	e.record(acaciaevent.RequestDispatched, acaciaroute.CodeOK, "")
	content := acaciakey.RequestDigest(e.call.Method, e.call.Path, e.call.Body)
	traits := acaciapoison.Traits(e.reservation.Prefixes, content)
	run := acaciapoison.Run{Traits: traits, Attempts: a.poisonRegistry.Attempts(traits)}
	a.crashDetector.runStarted(e.run.RequestID, content, run, e.reservation.Exclusive)
	code, detail := e.callEndpoint(ctx)
	endCode := code
	if ctx.Err() != nil {
		endCode = acaciaroute.CodeCancelled
	}
	a.crashDetector.runEnded(a.runContext, e.run.RequestID, endCode)
	if endCode == acaciaroute.CodeOK {
		a.poisonRegistry.AddAnswer(traits)
	}
	a.requestCounts.Add(e.reservation.Class, e.reservation.Organisation, acaciaprocess.CountRunning, -1)
	a.requestCounts.Add(e.reservation.Class, e.reservation.Organisation, acaciaprocess.CountDone, 1)
	a.metrics.runTime.WithLabelValues(e.reservation.Class).Observe(time.Since(e.started).Seconds())
	e.notifyGranterOfEnd()
	e.finish(code, detail)
}

// finish completes the run's answer with the result of the execution.
func (e *execution) finish(code acaciaroute.Code, detail string) {
	runStore := e.agent.runStore
	if code == acaciaroute.CodeRefused {
		runStore.RejectUnstarted(e.run)
	}
	e.run.Answer.Finish(code, detail)
	runStore.MarkFinished(e.run)
	e.record(acaciaevent.AnswerFinished, code, detail)
}

func (e *execution) callEndpoint(ctx context.Context) (acaciaroute.Code, string) {
	answer, err := e.agent.endpoint.Start(ctx, e.call)
	if err != nil {
		return e.handleStartError(ctx, err)
	}
	defer func() { _ = answer.Close() }()
	e.agent.process.Loop.Post(e.agent.granter.MarkEndpointUp)
	e.run.Answer.SetHeader(answer.Header())
	return e.receiveAnswer(ctx, answer)
}

// handleStartError returns the result of a call that failed before its answer began. It
// pauses granting unless the call was cancelled. The request is refused, and may run at
// another endpoint, only if it never reached this one.
func (e *execution) handleStartError(ctx context.Context, err error) (acaciaroute.Code, string) {
	if ctx.Err() != nil {
		return e.cancellationResult()
	}
	e.record(acaciaevent.EngineFailed, acaciaroute.CodeEngineFailed, err.Error())
	e.agent.process.Loop.Post(e.agent.granter.MarkEndpointDown)
	var start *acaciaroute.StartError
	if errors.As(err, &start) && !start.Reached {
		return acaciaroute.CodeRefused, "the endpoint could not be reached"
	}
	return acaciaroute.CodeEngineFailed, "the endpoint failed before it answered"
}

// receiveAnswer stores the answer and reports its tokens to the granter.
func (e *execution) receiveAnswer(ctx context.Context, answer acaciaroute.Answer) (acaciaroute.Code, string) {
	first := true
	for {
		part, err := answer.Next()
		if errors.Is(err, io.EOF) {
			return acaciaroute.CodeOK, ""
		}
		if err != nil {
			return e.handleAnswerError(ctx, err)
		}
		if first {
			first = false
			if !e.state.CompareAndSwap(executionUndecided, executionAnswering) {
				return e.cancellationResult()
			}
			e.record(acaciaevent.FirstToken, acaciaroute.CodeOK, "")
		}
		if part.Tokens > 0 {
			e.agent.process.Loop.Post(func() { e.agent.granter.ObserveTokens(e.run.RequestID, part.Tokens) })
			e.agent.metrics.tokens.WithLabelValues(e.reservation.Class).Add(float64(part.Tokens))
		}
		if len(part.Data) == 0 {
			continue
		}
		if err := e.run.Answer.Append(ctx, part.Data); err != nil {
			return e.handleAnswerError(ctx, err)
		}
	}
}

// handleAnswerError returns the result of a call whose answer ended early.
func (e *execution) handleAnswerError(ctx context.Context, err error) (acaciaroute.Code, string) {
	if ctx.Err() != nil {
		return e.cancellationResult()
	}
	e.record(acaciaevent.EngineFailed, acaciaroute.CodeAnswerCut, err.Error())
	return acaciaroute.CodeAnswerCut, "the endpoint ended its answer early"
}

// cancellationResult returns the result of a run that the agent itself ended: its request
// was taken back or cancelled.
func (e *execution) cancellationResult() (acaciaroute.Code, string) {
	if e.state.Load() == executionTakenBack {
		return errTakenBack.Code, errTakenBack.Detail
	}
	if e.run.Answer.GaveWay() {
		return acaciaroute.CodeAnswerCut, "answers hold too much memory, and this one gave way"
	}
	return acaciaroute.CodeAnswerCut, "the request was cancelled while it ran"
}

func (e *execution) record(kind acaciaevent.Kind, code acaciaroute.Code, detail string) {
	e.agent.process.Recorder.Record(acaciaevent.Event{
		Kind:         kind,
		RequestID:    e.run.RequestID,
		KeyHash:      e.run.KeyHash,
		Service:      e.reservation.Service,
		Model:        e.reservation.Model,
		Class:        e.reservation.Class,
		Rank:         e.reservation.Rank,
		Organisation: e.reservation.Organisation,
		Endpoint:     e.agent.process.Settings.Process.ID,
		Code:         code,
		Detail:       detail,
		Inputs:       &acaciaevent.Inputs{Waited: acaciaevent.RoundedSince(e.started)},
	})
}
