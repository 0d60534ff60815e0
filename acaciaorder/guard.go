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
	// Guard executes orders on one engine. It accepts orders of the current lease
	// holder only, whether or not the engine checks fencing numbers itself.
	// A Guard is safe for concurrent use.
	Guard struct {
		log      acaciaroute.Log
		engine   acaciaroute.Engine
		recorder *acaciaevent.Recorder
		// vm is the ID of the engine's VM.
		vm string
		// engineChecksFence reports whether the engine itself refuses outdated
		// fencing numbers.
		engineChecksFence bool

		// executing is locked while an order is executed. It guards the fields
		// below.
		executing sync.Mutex
		// lastSent is the highest fencing number sent to the engine.
		lastSent acaciaroute.Offset
		// unsettledUntil is the time from which no earlier order can take effect.
		unsettledUntil time.Time
	}

	// orderCheck validates one order against the records of the stream.
	orderCheck struct {
		fence       acaciaroute.Offset
		instruction Instruction
		// holder is the lease holder that issued the order; empty until the order's
		// record has been read.
		holder string
	}
)

const (
	// OrderTimeout limits how long an engine may take to execute one order.
	OrderTimeout = 2 * time.Minute
	// busyRetryAfter is the delay before a caller should retry while the guard
	// executes another order.
	busyRetryAfter = time.Second
)

// NewGuard returns the guard of an engine. An engine that does not check fencing
// numbers gets its first order only after OrderTimeout, because an earlier agent
// process may have sent an order that can still take effect.
func NewGuard(log acaciaroute.Log, engine acaciaroute.Engine, recorder *acaciaevent.Recorder, vm string, engineChecksFence bool) *Guard {
	g := &Guard{log: log, engine: engine, recorder: recorder, vm: vm, engineChecksFence: engineChecksFence, lastSent: noRecord}
	g.markUnsettled()
	return g
}

// Execute executes the order in the record at offset fence. CodeOrderFenced means
// that the order will never be executed, CodeOrderUnsettled that the caller should
// retry after the given delay, and CodeLogDown that the log could not be read.
func (g *Guard) Execute(ctx context.Context, fence acaciaroute.Offset, instruction Instruction) error {
	if !g.executing.TryLock() {
		return unsettledError(busyRetryAfter, "another order is being executed")
	}
	defer g.executing.Unlock()
	if fence <= g.lastSent {
		return acaciaroute.Errorf(acaciaroute.CodeOrderFenced, "order %d was already sent; only later orders are accepted", g.lastSent)
	}
	if wait := time.Until(g.unsettledUntil); !g.engineChecksFence && wait > 0 {
		return unsettledError(wait, "an earlier order may still take effect")
	}
	if err := g.verifyOrder(ctx, fence, instruction); err != nil {
		g.recordEvent(acaciaevent.OrderRefused, fence, instruction, err.Error())
		return err
	}
	g.lastSent = fence
	g.recordEvent(acaciaevent.OrderSent, fence, instruction, instruction.Action.String())
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	err := g.engine.SendOrder(ctx, acaciaroute.Order{Fence: fence, Action: instruction.Action, Model: instruction.Model})
	if err != nil && !resultKnown(err) {
		g.markUnsettled()
	}
	return err
}

// verifyOrder reads the stream from the order's record to its end. It returns an error
// unless the record is valid and contains this order, no other process has taken the
// lease since, and no later record contains an order for this engine.
func (g *Guard) verifyOrder(ctx context.Context, fence acaciaroute.Offset, instruction Instruction) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	check := orderCheck{fence: fence, instruction: instruction}
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
			if err := check.checkRecord(entry); err != nil {
				return err
			}
		}
	}
	if check.holder == "" || instruction.VM != g.vm {
		return acaciaroute.Errorf(acaciaroute.CodeOrderFenced, "there is no order for VM %s at offset %d", g.vm, fence)
	}
	return nil
}

// checkRecord checks the order against the next record of the stream.
func (c *orderCheck) checkRecord(entry acaciaroute.Record) error {
	r, valid := parseRecord(entry)
	if entry.Offset == c.fence {
		if !valid || r.Instruction == nil || *r.Instruction != c.instruction {
			return acaciaroute.Errorf(acaciaroute.CodeOrderFenced, "record %d does not contain this order", c.fence)
		}
		c.holder = r.Holder
		return nil
	}
	if !valid {
		return nil
	}
	if r.Holder != c.holder {
		return acaciaroute.Errorf(acaciaroute.CodeOrderFenced, "another process has taken the lease since order %d", c.fence)
	}
	if r.Instruction != nil && r.Instruction.VM == c.instruction.VM {
		return acaciaroute.Errorf(acaciaroute.CodeOrderFenced, "order %d replaces order %d", entry.Offset, c.fence)
	}
	return nil
}

func (g *Guard) recordEvent(kind acaciaevent.Kind, fence acaciaroute.Offset, instruction Instruction, detail string) {
	g.recorder.Record(acaciaevent.Event{
		Kind:     kind,
		Service:  instruction.Service,
		Model:    instruction.Model,
		Endpoint: g.vm,
		Count:    int64(fence),
		Detail:   detail,
	})
}

// markUnsettled records that an order sent before now can take effect until
// OrderTimeout has passed.
func (g *Guard) markUnsettled() {
	g.unsettledUntil = time.Now().Add(OrderTimeout)
}

// resultKnown reports whether an error from the engine states the order's result.
func resultKnown(err error) bool {
	var coded *acaciaroute.Error
	return errors.As(err, &coded) && (coded.Code == acaciaroute.CodeOrderFenced || coded.Code == acaciaroute.CodeEngineFailed)
}

func unsettledError(wait time.Duration, detail string) error {
	return &acaciaroute.Error{Code: acaciaroute.CodeOrderUnsettled, Detail: detail, RetryAfter: wait}
}
