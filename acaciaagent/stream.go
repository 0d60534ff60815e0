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

// sendAnswer streams a run's answer to the entry, starting at an offset.
func (h *handler) sendAnswer(ctx context.Context, run *acaciarun.Run, offset int64, stream *connect.ServerStream[acaciawire.Chunk]) error {
	defer h.agent.runStore.AddReader(run)()
	clock := h.agent.process.Recorder.Clock()
	chunk := func() *acaciawire.Chunk {
		return &acaciawire.Chunk{RequestId: run.RequestID, Grant: run.Grant, Offset: offset, Clock: uint64(clock.Next())}
	}
	// The first chunk, which has no data, tells the entry that the run has begun.
	if err := stream.Send(chunk()); err != nil {
		return err
	}
	heartbeat := func() error { return stream.Send(chunk()) }
	var header *acaciaroute.AnswerHeader
	err := waitWithHeartbeat(ctx, heartbeat, func(ctx context.Context) (err error) {
		header, err = run.Answer.Header(ctx)
		return err
	})
	if err != nil {
		return err
	}
	if header != nil {
		head := chunk()
		head.Status = int32(header.Status)
		head.Header = acaciawire.HeaderToMessage(header.Header)
		if err := stream.Send(head); err != nil {
			return err
		}
	}
	for {
		var part acaciarun.Part
		err := waitWithHeartbeat(ctx, heartbeat, func(ctx context.Context) (err error) {
			part, err = run.Answer.Next(ctx, offset)
			return err
		})
		if err != nil {
			return outOfRangeError(err)
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
		h.agent.runStore.BeginSend(run)
		err = stream.Send(message)
		h.agent.runStore.EndSend(run)
		if err != nil {
			return err
		}
		if part.End != nil {
			h.agent.runStore.MarkDelivered(run)
			return nil
		}
	}
}

// waitWithHeartbeat calls wait until it returns a result, and sends the entry a heartbeat
// whenever that takes longer than HeartbeatInterval.
func waitWithHeartbeat(ctx context.Context, heartbeat func() error, wait func(ctx context.Context) error) error {
	for {
		waitCtx, cancel := context.WithTimeout(ctx, acaciaprocess.HeartbeatInterval)
		err := wait(waitCtx)
		cancel()
		if ctx.Err() != nil || !errors.Is(err, context.DeadlineExceeded) {
			return err
		}
		if err := heartbeat(); err != nil {
			return err
		}
	}
}

// outOfRangeError converts an error of the stored answer so that the entry does not
// attach again. Other errors are returned unchanged.
func outOfRangeError(err error) error {
	var coded *acaciaroute.Error
	if !errors.As(err, &coded) {
		return err
	}
	return connect.NewError(connect.CodeOutOfRange, err)
}
