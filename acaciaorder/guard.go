package acaciaorder

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
)

type (
	// Guard stands before one engine and carries out the orders of the lease's
	// present holder alone, whether the engine checks fencing numbers or not.
	Guard struct {
		log      acaciaroute.Log
		engine   acaciaroute.Engine
		recorder *acaciaevent.Recorder
		// vm is the ID of the engine's VM.
		vm string
		// checks tells that the engine refuses old fencing numbers itself.
		checks bool

		// busy is held while one order is carried out.
		busy sync.Mutex
		// done is the highest fencing number that was sent to the engine.
		done acaciaroute.Offset
		// quietUntil is when no earlier order can take effect any more.
		quietUntil time.Time
	}

	// inspection follows what the stream says of one order.
	inspection struct {
		fence       acaciaroute.Offset
		instruction Instruction
		// holder is who gave the order, once its record was read.
		holder string
	}
)

const (
	// OrderTime bounds how long an engine takes for one order.
	OrderTime = 2 * time.Minute
	// busyRetry is when to come back to a guard that carries out another order.
	busyRetry = time.Second
)

// NewGuard returns the guard of an engine. An engine that does not check fencing
// numbers gets its first order only after OrderTime, because an agent before this
// one may have sent one that still takes effect.
func NewGuard(log acaciaroute.Log, engine acaciaroute.Engine, recorder *acaciaevent.Recorder, vm string, checks bool) *Guard {
	g := &Guard{log: log, engine: engine, recorder: recorder, vm: vm, checks: checks, done: noRecord}
	g.beQuiet()
	return g
}

// Do carries out the order that the record at offset fence gives. CodeOrderFenced
// says that it will never be carried out, CodeOrderUnsettled when to come back,
// CodeLogDown that the log could not be asked.
func (g *Guard) Do(ctx context.Context, fence acaciaroute.Offset, instruction Instruction) error {
	if !g.busy.TryLock() {
		return unsettled(busyRetry, "another order is being carried out")
	}
	defer g.busy.Unlock()
	if fence <= g.done {
		return acaciaroute.Errorf(acaciaroute.CodeOrderFenced, "order %d was sent before", g.done)
	}
	if wait := time.Until(g.quietUntil); !g.checks && wait > 0 {
		return unsettled(wait, "an earlier order may still take effect")
	}
	if err := g.verify(ctx, fence, instruction); err != nil {
		g.record(acaciaevent.OrderRefused, fence, instruction, err.Error())
		return err
	}
	g.done = fence
	g.record(acaciaevent.OrderSent, fence, instruction, instruction.Action.String())
	ctx, cancel := context.WithTimeout(ctx, OrderTime)
	defer cancel()
	err := g.engine.Do(ctx, acaciaroute.Order{Fence: fence, Action: instruction.Action, Model: instruction.Model})
	if err != nil && !answered(err) {
		g.beQuiet()
	}
	return err
}

// verify reads the stream from the order's record to its end: the record must
// count and be this order, nobody else may have taken the lease since, and there
// is no later order to this engine.
func (g *Guard) verify(ctx context.Context, fence acaciaroute.Offset, instruction Instruction) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	i := inspection{fence: fence, instruction: instruction}
	for next := fence; ; {
		records, err := g.log.Read(ctx, acaciaroute.StreamOrders, next, readLimit)
		if err != nil {
			return err
		}
		if len(records) == 0 {
			break
		}
		for _, entry := range records {
			next = entry.Offset + 1
			if err := i.take(entry); err != nil {
				return err
			}
		}
	}
	if i.holder == "" || instruction.VM != g.vm {
		return acaciaroute.Errorf(acaciaroute.CodeOrderFenced, "no order to %s has the number %d", g.vm, fence)
	}
	return nil
}

// take judges the next record of the stream.
func (i *inspection) take(entry acaciaroute.Record) error {
	r, counts := parseRecord(entry)
	if entry.Offset == i.fence {
		if !counts || r.Instruction == nil || *r.Instruction != i.instruction {
			return acaciaroute.Errorf(acaciaroute.CodeOrderFenced, "record %d does not give this order", i.fence)
		}
		i.holder = r.Holder
		return nil
	}
	if !counts {
		return nil
	}
	if r.Holder != i.holder {
		return acaciaroute.Errorf(acaciaroute.CodeOrderFenced, "the holder of order %d was replaced", i.fence)
	}
	if r.Instruction != nil && r.Instruction.VM == i.instruction.VM {
		return acaciaroute.Errorf(acaciaroute.CodeOrderFenced, "order %d came after order %d", entry.Offset, i.fence)
	}
	return nil
}

func (g *Guard) record(kind acaciaevent.Kind, fence acaciaroute.Offset, instruction Instruction, detail string) {
	g.recorder.Record(acaciaevent.Event{
		Kind:     kind,
		Service:  instruction.Service,
		Model:    instruction.Model,
		Endpoint: g.vm,
		Count:    int64(fence),
		Detail:   detail,
	})
}

func (g *Guard) beQuiet() {
	g.quietUntil = time.Now().Add(OrderTime)
}

// answered reports whether the engine has told the order's result.
func answered(err error) bool {
	var coded *acaciaroute.Error
	return errors.As(err, &coded) && (coded.Code == acaciaroute.CodeOrderFenced || coded.Code == acaciaroute.CodeEngineFailed)
}

func unsettled(wait time.Duration, detail string) error {
	return &acaciaroute.Error{Code: acaciaroute.CodeOrderUnsettled, Detail: detail, RetryAfter: wait}
}
