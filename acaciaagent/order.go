package acaciaagent

import (
	"context"
	"errors"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciaorder"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

// Order implements acaciawire.AgentServiceHandler.
func (h *handler) Order(ctx context.Context, request *acaciawire.OrderRequest) (*acaciawire.OrderReply, error) {
	clock := h.agent.process.Recorder.Clock()
	clock.Observe(acaciaevent.Stamp(request.Clock))
	reply := acaciawire.NewOrderReply(h.executeOrder(ctx, request))
	reply.Clock = uint64(clock.Next())
	return reply, nil
}

func (h *handler) executeOrder(ctx context.Context, request *acaciawire.OrderRequest) error {
	if h.agent.orderGuard == nil {
		return acaciaroute.Errorf(acaciaroute.CodeOrderFenced, "a plain service accepts no orders")
	}
	err := h.agent.orderGuard.Execute(ctx, acaciaroute.Offset(request.Fence), acaciaorder.Instruction{
		VM:      request.Vm,
		Service: request.Service,
		Region:  request.Region,
		Action:  acaciaroute.OrderAction(request.Action),
		Model:   request.Model,
	})
	var coded *acaciaroute.Error
	if err != nil && !errors.As(err, &coded) {
		return &acaciaroute.Error{Code: acaciaroute.CodeOutcomeUnknown, Detail: "the engine did not reply to the order", Err: err}
	}
	return err
}
