package acaciaorder

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acacialoop"
)

type (
	// Sender sends orders to the agents of the engines.
	Sender interface {
		// Send asks the agent on the instruction's VM to execute the order in the
		// record at offset fence. It returns the errors of Guard.Execute.
		Send(ctx context.Context, fence acaciaroute.Offset, instruction Instruction) error
	}

	// Issuer issues and sends orders while it holds the lease. While no orders are
	// missing or being executed, it does not access the log.
	Issuer struct {
		lease         *Lease
		weights       acaciaroute.WeightStore
		sender        Sender
		missingOrders func() []Instruction
		recorder      *acaciaevent.Recorder
		dependency    *acaciaevent.Dependency
		worker        *acacialoop.Worker

		results chan orderResult
		// busyVMs holds the IDs of the VMs that are executing an order.
		busyVMs map[string]bool
		// pausedUntil is the time before which no new order is issued, because the
		// weight store refused a reservation or an order failed.
		pausedUntil time.Time
	}

	// orderResult is the outcome of one order.
	orderResult struct {
		instruction Instruction
		fence       acaciaroute.Offset
		err         error
	}
)

const (
	// issueInterval is the mean pause between two checks for missing orders.
	issueInterval = time.Second
	// sendTimeout limits the sending of one order, including retries.
	sendTimeout = 2 * OrderTimeout
	// minRetryPause is the minimum pause between two attempts to send an order or to
	// reserve weights. failurePause is how long no order is issued after one failed.
	minRetryPause = time.Second
	failurePause  = 10 * time.Second
)

// NewIssuer returns an issuer that has not been started. missingOrders returns the
// orders that are currently missing.
func NewIssuer(lease *Lease, weights acaciaroute.WeightStore, sender Sender, missingOrders func() []Instruction, recorder *acaciaevent.Recorder) *Issuer {
	return &Issuer{
		lease:         lease,
		weights:       weights,
		sender:        sender,
		missingOrders: missingOrders,
		recorder:      recorder,
		dependency:    acaciaevent.NewDependency(recorder, "orders to engines"),
		worker:        acacialoop.NewWorker(),
		results:       make(chan orderResult),
		busyVMs:       map[string]bool{},
	}
}

// Start starts issuing orders. It stops at Close or when ctx ends.
func (i *Issuer) Start(ctx context.Context) {
	i.worker.Start(ctx, i.issueOrders)
}

// Close stops the issuer and waits until it has stopped. It cancels the sending of
// orders that are not finished.
func (i *Issuer) Close() {
	i.worker.Close()
}

func (i *Issuer) issueOrders(ctx context.Context) {
	for ctx.Err() == nil {
		pause := time.Duration((0.5 + rand.Float64()) * float64(issueInterval))
		select {
		case <-time.After(pause):
			i.issueMissingOrders(ctx)
		case r := <-i.results:
			i.handleResult(r)
		case <-ctx.Done():
		}
	}
	for len(i.busyVMs) > 0 {
		i.handleResult(<-i.results)
	}
}

// issueMissingOrders issues the missing orders if this process holds or can take the
// lease. It also renews the lease while orders are missing or being executed.
func (i *Issuer) issueMissingOrders(ctx context.Context) {
	missing := i.missingOrders()
	if len(missing) == 0 && len(i.busyVMs) == 0 {
		return
	}
	err := i.lease.Refresh(ctx)
	i.dependency.RecordResult(err)
	if err != nil || !i.ensureLease(ctx) {
		return
	}
	for _, instruction := range missing {
		if i.busyVMs[instruction.VM] || i.lease.RecentlyIssued(instruction) {
			continue
		}
		if !i.reserveWeights(ctx, instruction) || !i.issueOrder(ctx, instruction) {
			return
		}
	}
}

// ensureLease reports whether this process holds the lease. It takes the lease if it
// is available and renews it if necessary.
func (i *Issuer) ensureLease(ctx context.Context) bool {
	held := i.lease.Held()
	if held && !i.lease.RenewalDue() || !held && !i.lease.Available() {
		return held
	}
	offset, err := i.lease.Append(ctx, nil)
	if err != nil {
		i.recorder.RecordCallFailure("take or renew the lease", acaciaevent.Event{}, err)
		return false
	}
	if !held {
		i.recorder.Record(acaciaevent.Event{Kind: acaciaevent.LeaseTaken, Count: int64(offset)})
	}
	return true
}

// reserveWeights reserves the transfer of a model's weights at the weight store and
// reports whether the order may be issued.
func (i *Issuer) reserveWeights(ctx context.Context, instruction Instruction) bool {
	if time.Now().Before(i.pausedUntil) {
		return false
	}
	err := i.weights.Reserve(ctx, instruction.Model)
	if err == nil {
		return true
	}
	i.recorder.RecordCallFailure("reserve weights", acaciaevent.Event{Model: instruction.Model, Endpoint: instruction.VM}, err)
	pause := minRetryPause
	var coded *acaciaroute.Error
	if errors.As(err, &coded) {
		pause = max(pause, coded.RetryAfter)
	}
	i.pausedUntil = time.Now().Add(pause)
	return false
}

// issueOrder appends an order to the log and sends it in the background. It reports
// whether the order was appended.
func (i *Issuer) issueOrder(ctx context.Context, instruction Instruction) bool {
	fence, err := i.lease.Append(ctx, &instruction)
	if err != nil {
		i.recorder.RecordCallFailure("append an order", acaciaevent.Event{Model: instruction.Model, Endpoint: instruction.VM}, err)
		return false
	}
	i.recordEvent(acaciaevent.OrderIssued, orderResult{instruction: instruction, fence: fence})
	i.busyVMs[instruction.VM] = true
	go func() {
		i.results <- orderResult{instruction: instruction, fence: fence, err: i.sendWithRetry(ctx, fence, instruction)}
	}()
	return true
}

// sendWithRetry sends an order to its agent. It retries as long as the agent reports
// that the order is unsettled or that the log is down, until sendTimeout.
func (i *Issuer) sendWithRetry(ctx context.Context, fence acaciaroute.Offset, instruction Instruction) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	for {
		err := i.sender.Send(ctx, fence, instruction)
		var coded *acaciaroute.Error
		if !errors.As(err, &coded) || coded.Code != acaciaroute.CodeOrderUnsettled && coded.Code != acaciaroute.CodeLogDown {
			return err
		}
		select {
		case <-time.After(max(minRetryPause, coded.RetryAfter)):
		case <-ctx.Done():
			return err
		}
	}
}

// handleResult records the outcome of an order. A failed order may be issued again
// after failurePause.
func (i *Issuer) handleResult(r orderResult) {
	delete(i.busyVMs, r.instruction.VM)
	if r.err == nil {
		i.recordEvent(acaciaevent.OrderDone, r)
		return
	}
	i.lease.ForgetIssued(r.instruction)
	i.pausedUntil = time.Now().Add(failurePause)
	i.recordEvent(acaciaevent.OrderFailed, r)
}

func (i *Issuer) recordEvent(kind acaciaevent.Kind, r orderResult) {
	event := acaciaevent.Event{
		Kind:     kind,
		Service:  r.instruction.Service,
		Model:    r.instruction.Model,
		Endpoint: r.instruction.VM,
		Count:    int64(r.fence),
		Detail:   r.instruction.Action.String(),
	}
	if r.err != nil {
		event.Detail = r.err.Error()
	}
	i.recorder.Record(event)
}
