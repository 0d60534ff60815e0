package acaciaagent

import (
	"context"
	"sync/atomic"

	"connectrpc.com/connect"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciaprocess"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

// handler implements the agent's service for entries.
type handler struct {
	agent *Agent
}

// Run implements acaciawire.AgentServiceHandler.
func (h *handler) Run(ctx context.Context, request *acaciawire.RunRequest, stream *connect.ServerStream[acaciawire.Chunk]) error {
	a := h.agent
	a.process.Recorder.Clock().Observe(acaciaevent.Stamp(request.Clock))
	runCtx, cancelCause := context.WithCancelCause(a.runContext)
	cancel := func() { cancelCause(nil) }
	if request.KeyHash != "" && a.uptime() < minKeyedUptime {
		cancel()
		return stream.Send(refusalChunk(request, "the agent started too recently to accept requests with idempotency keys"))
	}
	run, ok := a.runStore.Register(request.RequestId, request.KeyHash, request.Entry, request.Grant, cancel)
	if !ok {
		cancel()
		chunk := refusalChunk(request, "the request was refused permanently, or another request holds its idempotency key")
		chunk.ForGood = true
		chunk.HolderRequestId, chunk.HolderEntry = a.runStore.KeyHolder(request.KeyHash)
		return stream.Send(chunk)
	}
	e := &execution{
		agent:  a,
		run:    run,
		cancel: cancelCause,
		state:  &atomic.Int32{},
		call: acaciaroute.Call{
			RequestID: request.RequestId,
			Method:    request.Method,
			Path:      request.Path,
			Header:    acaciawire.HeaderFromMessage(request.Header),
			Body:      request.Body,
		},
	}
	if !e.useGrant() {
		cancel()
		a.runStore.RejectUnstarted(run)
		return stream.Send(refusalChunk(request, "the grant is no longer held"))
	}
	e.reportChange(false)
	releaseMessage := acaciaprocess.HoldMessage(ctx, len(request.Body))
	go func() {
		defer releaseMessage()
		defer cancel()
		e.execute(runCtx)
	}()
	return h.sendAnswer(ctx, run, 0, stream)
}

// Attach implements acaciawire.AgentServiceHandler.
func (h *handler) Attach(ctx context.Context, request *acaciawire.AttachRequest, stream *connect.ServerStream[acaciawire.Chunk]) error {
	acaciaprocess.ReleaseMessage(ctx)
	run := h.agent.runStore.Find(request.RequestId)
	if run == nil {
		return connect.NewError(connect.CodeNotFound, acaciaroute.Errorf(acaciaroute.CodeOutcomeUnknown, "the agent has no run of this request"))
	}
	return h.sendAnswer(ctx, run, request.Offset, stream)
}

// Settle implements acaciawire.AgentServiceHandler.
func (h *handler) Settle(_ context.Context, request *acaciawire.SettleRequest) (*acaciawire.SettleReply, error) {
	a := h.agent
	clock := a.process.Recorder.Clock()
	state := acaciawire.RunUnknown
	// A grant of another incarnation of the agent leaves the state unknown, because the
	// runs of that incarnation are lost.
	if a.granter.IsOwnGrant(request.Grant) {
		state = a.runStore.Settle(request.RequestId)
	}
	a.process.Loop.Post(func() { a.granter.Withdraw(request.RequestId) })
	a.process.Recorder.Record(acaciaevent.Event{
		Kind:      acaciaevent.RequestSettled,
		RequestID: request.RequestId,
		Detail:    state.String(),
	})
	return &acaciawire.SettleReply{State: int32(state), Clock: uint64(clock.Next())}, nil
}

// LockKey implements acaciawire.AgentServiceHandler.
func (h *handler) LockKey(_ context.Context, request *acaciawire.LockKeyRequest) (*acaciawire.LockKeyReply, error) {
	a := h.agent
	if request.Release {
		a.runStore.UnlockKey(request.KeyHash, request.RequestId)
		return &acaciawire.LockKeyReply{}, nil
	}
	holder, entry, locked := a.runStore.LockKey(request.KeyHash, request.RequestId, request.Entry)
	return &acaciawire.LockKeyReply{
		Locked:          locked,
		HolderRequestId: holder,
		HolderEntry:     entry,
		UptimeUs:        a.uptime().Microseconds(),
	}, nil
}

// Cancel implements acaciawire.AgentServiceHandler.
func (h *handler) Cancel(_ context.Context, request *acaciawire.CancelRequest) (*acaciawire.CancelReply, error) {
	h.agent.runStore.Cancel(request.RequestId)
	return &acaciawire.CancelReply{}, nil
}

func (h *handler) record(kind acaciaevent.Kind, reservation acaciaroute.Reservation, inputs *acaciaevent.Inputs) {
	h.agent.process.Recorder.Record(acaciaevent.Event{
		Kind:         kind,
		RequestID:    reservation.RequestID,
		Service:      reservation.Service,
		Model:        reservation.Model,
		Class:        reservation.Class,
		Rank:         reservation.Rank,
		Organisation: reservation.Organisation,
		Endpoint:     h.agent.process.Settings.Process.ID,
		Inputs:       inputs,
	})
}

// refusalChunk returns the only chunk of a request that the agent refuses to run.
func refusalChunk(request *acaciawire.RunRequest, detail string) *acaciawire.Chunk {
	return &acaciawire.Chunk{
		RequestId: request.RequestId,
		Grant:     request.Grant,
		Final:     true,
		Code:      int32(acaciaroute.CodeRefused),
		Detail:    detail,
	}
}
