package acaciaagent

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciakey"
	"github.com/acaciaroute/acaciaroute/acaciaprocess"
	"github.com/acaciaroute/acaciaroute/acaciarun"
)

type (
	// execution is one call of the endpoint.
	execution struct {
		agent       *Agent
		run         *acaciarun.Run
		reservation acaciaroute.Reservation
		call        acaciaroute.Call
		cancel      context.CancelCauseFunc
		// fate is decided once, by the first token or by a straggling endpoint.
		fate   *atomic.Int32
		ending bool
		// started is when the endpoint was called.
		started time.Time
	}
)

// The fates of an execution.
const (
	fateOpen int32 = iota
	fateAnswers
	fateTakenBack
)

// errTakenBack is why an execution's context ends when its request is taken back.
var errTakenBack = &acaciaroute.Error{
	Code:   acaciaroute.CodeTakenBack,
	Detail: "the request was taken back from a slow endpoint before its first token",
}

// begin uses the request's grant; it reports whether the grant was still held.
func (e *execution) begin() bool {
	begun := false
	a := e.agent
	a.process.Loop.Do(func() {
		e.reservation, begun = a.granter.Begin(e.run.RequestID, e.run.Grant)
		if begun {
			a.executions[e.run.RequestID] = e
		}
	})
	return begun
}

// takeBack ends the call of the endpoint unless the answer has begun.
func (e *execution) takeBack() {
	if e.fate.CompareAndSwap(fateOpen, fateTakenBack) {
		e.agent.metrics.takenBack.WithLabelValues(e.reservation.Class).Inc()
		e.cancel(errTakenBack)
	}
}

// leave tells the granter that the request is no longer at the endpoint.
func (e *execution) leave() {
	a := e.agent
	a.process.Loop.Post(func() {
		delete(a.executions, e.run.RequestID)
		a.granter.End(e.run.RequestID)
	})
}

// change returns by how much the execution's report changes the number that run.
func (e *execution) change() int {
	if e.ending {
		return -1
	}
	return 1
}

// report tells the agent's owner of the execution's beginning or end.
func (e *execution) report(ending bool) {
	copied := *e
	copied.ending = ending
	select {
	case e.agent.reports <- &copied:
	case <-e.agent.finished:
	}
}

// execute calls the endpoint once and keeps its answer.
func (e *execution) execute(ctx context.Context) {
	defer e.report(true)
	a := e.agent
	a.tally.Add(e.reservation.Class, e.reservation.Organisation, acaciaprocess.TallyRunning, 1)
	e.started = time.Now()
	e.record(acaciaevent.RequestDispatched, acaciaroute.CodeOK, "")
	a.crashes.begin(e.run.RequestID, acaciakey.BodyDigest(e.call.Method, e.call.Path, e.call.Body), e.reservation.Alone)
	code, detail := e.callEndpoint(ctx)
	ended := code
	if ctx.Err() != nil {
		ended = acaciaroute.CodeCancelled
	}
	a.crashes.end(a.runs, e.run.RequestID, ended)
	a.tally.Add(e.reservation.Class, e.reservation.Organisation, acaciaprocess.TallyRunning, -1)
	a.tally.Add(e.reservation.Class, e.reservation.Organisation, acaciaprocess.TallyDone, 1)
	a.metrics.runTime.WithLabelValues(e.reservation.Class).Observe(time.Since(e.started).Seconds())
	e.leave()
	if code == acaciaroute.CodeRefused {
		a.book.Forget(e.run)
	}
	e.run.Answer.Finish(code, detail)
	a.book.End(e.run)
	e.record(acaciaevent.AnswerFinished, code, detail)
}

func (e *execution) callEndpoint(ctx context.Context) (acaciaroute.Code, string) {
	answer, err := e.agent.endpoint.Start(ctx, e.call)
	if err != nil {
		return e.startFailed(ctx, err)
	}
	defer func() { _ = answer.Close() }()
	e.agent.process.Loop.Post(e.agent.granter.MarkEndpointUp)
	e.run.Answer.SetHeader(answer.Header())
	return e.relay(ctx, answer)
}

func (e *execution) startFailed(ctx context.Context, err error) (acaciaroute.Code, string) {
	if ctx.Err() != nil {
		return e.cancelled()
	}
	e.record(acaciaevent.EngineFailed, acaciaroute.CodeEngineFailed, err.Error())
	e.agent.process.Loop.Post(e.agent.granter.MarkEndpointDown)
	var start *acaciaroute.StartError
	if errors.As(err, &start) && !start.Reached {
		return acaciaroute.CodeRefused, "the endpoint was not reached"
	}
	return acaciaroute.CodeEngineFailed, "the endpoint broke off before it answered"
}

func (e *execution) relay(ctx context.Context, answer acaciaroute.Answer) (acaciaroute.Code, string) {
	first := true
	for {
		piece, err := answer.Next()
		if errors.Is(err, io.EOF) {
			return acaciaroute.CodeOK, ""
		}
		if err != nil {
			return e.cut(ctx, err)
		}
		if first {
			first = false
			if !e.fate.CompareAndSwap(fateOpen, fateAnswers) {
				return e.cancelled()
			}
			e.record(acaciaevent.FirstToken, acaciaroute.CodeOK, "")
		}
		if piece.Tokens > 0 {
			e.agent.process.Loop.Post(func() { e.agent.granter.Token(e.run.RequestID, piece.Tokens) })
			e.agent.metrics.tokens.WithLabelValues(e.reservation.Class).Add(float64(piece.Tokens))
		}
		if len(piece.Data) == 0 {
			continue
		}
		if err := e.run.Answer.Append(ctx, piece.Data); err != nil {
			return e.cut(ctx, err)
		}
	}
}

func (e *execution) cut(ctx context.Context, err error) (acaciaroute.Code, string) {
	if ctx.Err() != nil {
		return e.cancelled()
	}
	e.record(acaciaevent.EngineFailed, acaciaroute.CodeAnswerCut, err.Error())
	return acaciaroute.CodeAnswerCut, "the endpoint broke off its answer"
}

// cancelled returns the result of a run that was ended from here.
func (e *execution) cancelled() (acaciaroute.Code, string) {
	if e.fate.Load() == fateTakenBack {
		return errTakenBack.Code, errTakenBack.Detail
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
		Inputs:       &acaciaevent.Inputs{Waited: acaciaevent.Since(e.started)},
	})
}
