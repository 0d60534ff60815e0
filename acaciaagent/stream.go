package acaciaagent

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaprocess"
	"github.com/acaciaroute/acaciaroute/acaciarun"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

// relay sends a run's answer from an offset on.
func (h *handler) relay(ctx context.Context, run *acaciarun.Run, offset int64, stream *connect.ServerStream[acaciawire.Chunk]) error {
	defer h.agent.book.AddReader(run)()
	clock := h.agent.process.Recorder.Clock()
	chunk := func() *acaciawire.Chunk {
		return &acaciawire.Chunk{RequestId: run.RequestID, Grant: run.Grant, Offset: offset, Clock: uint64(clock.Next())}
	}
	// The first chunk tells that the run has begun.
	if err := stream.Send(chunk()); err != nil {
		return err
	}
	alive := func() error { return stream.Send(chunk()) }
	var header *acaciaroute.AnswerHeader
	err := untilReady(ctx, alive, func(ctx context.Context) (err error) {
		header, err = run.Answer.Header(ctx)
		return err
	})
	if err != nil {
		return err
	}
	if header != nil {
		head := chunk()
		head.Status = int32(header.Status)
		head.Header = acaciawire.FromHeader(header.Header)
		if err := stream.Send(head); err != nil {
			return err
		}
	}
	for {
		var part acaciarun.Part
		err := untilReady(ctx, alive, func(ctx context.Context) (err error) {
			part, err = run.Answer.Next(ctx, offset)
			return err
		})
		if err != nil {
			return notHeld(err)
		}
		message := chunk()
		message.Data = part.Data
		offset += int64(len(part.Data))
		if part.End != nil {
			message.Final = true
			message.Total = part.End.Total
			message.Digest = part.End.Digest
			message.Code = int32(part.End.Code)
			message.Detail = part.End.Detail
		}
		if err := stream.Send(message); err != nil {
			return err
		}
		if part.End != nil {
			h.agent.book.Deliver(run)
			return nil
		}
	}
}

// untilReady waits for a part of an answer, and tells the entry meanwhile that the
// agent is alive.
func untilReady(ctx context.Context, alive func() error, wait func(ctx context.Context) error) error {
	for {
		quiet, cancel := context.WithTimeout(ctx, acaciaprocess.HeartbeatInterval)
		err := wait(quiet)
		cancel()
		if ctx.Err() != nil || !errors.Is(err, context.DeadlineExceeded) {
			return err
		}
		if err := alive(); err != nil {
			return err
		}
	}
}

// notHeld tells an entry that there is no use in asking again.
func notHeld(err error) error {
	var cut *acaciaroute.Error
	if !errors.As(err, &cut) {
		return err
	}
	return connect.NewError(connect.CodeOutOfRange, err)
}
