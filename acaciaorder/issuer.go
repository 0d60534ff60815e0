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
	// Sender brings orders to the agents beside the engines.
	Sender interface {
		// Send asks the agent on a VM to carry out the order that the record at
		// offset fence gives; the errors are those of Guard.Do.
		Send(ctx context.Context, fence acaciaroute.Offset, instruction Instruction) error
	}

	// Issuer plans orders and sends them while it holds the lease. Without missing
	// orders it leaves the log alone.
	Issuer struct {
		lease    *Lease
		weights  acaciaroute.WeightStore
		sender   Sender
		missing  func() []Instruction
		recorder *acaciaevent.Recorder
		orders   *acaciaevent.Dependency
		worker   *acacialoop.Worker

		results chan result
		// running are the VMs that carry out an order.
		running map[string]bool
		// loadFrom is when the weight store may be asked again.
		loadFrom time.Time
	}

	// result is the end of one order.
	result struct {
		instruction Instruction
		fence       acaciaroute.Offset
		err         error
	}
)

const (
	stepInterval = time.Second
	// sendTime bounds one order with its repetitions.
	sendTime = 2 * OrderTime
	// leastPause is the least time between two tries of one order, and failedPause
	// the time without new orders after one that failed.
	leastPause  = time.Second
	failedPause = 10 * time.Second
)

// NewIssuer returns an issuer that has not started; missing returns the orders that
// are missing now.
func NewIssuer(lease *Lease, weights acaciaroute.WeightStore, sender Sender, missing func() []Instruction, recorder *acaciaevent.Recorder) *Issuer {
	return &Issuer{
		lease:    lease,
		weights:  weights,
		sender:   sender,
		missing:  missing,
		recorder: recorder,
		orders:   acaciaevent.NewDependency(recorder, "orders to engines"),
		worker:   acacialoop.NewWorker(),
		results:  make(chan result),
		running:  map[string]bool{},
	}
}

// Start begins to give orders until Close or the end of ctx.
func (i *Issuer) Start(ctx context.Context) {
	i.worker.Start(ctx, i.run)
}

// Close stops the issuer and waits for it; orders under way are given up.
func (i *Issuer) Close() {
	i.worker.Close()
}

func (i *Issuer) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := time.Duration((0.5 + rand.Float64()) * float64(stepInterval))
		select {
		case <-time.After(pause):
			i.step(ctx)
		case r := <-i.results:
			i.take(r)
		case <-ctx.Done():
		}
	}
	for len(i.running) > 0 {
		i.take(<-i.results)
	}
}

// step takes or renews the lease if there is work, and gives the missing orders.
func (i *Issuer) step(ctx context.Context) {
	missing := i.missing()
	if len(missing) == 0 && len(i.running) == 0 {
		return
	}
	err := i.lease.Refresh(ctx)
	i.orders.Note(err)
	if err != nil || !i.hold(ctx) {
		return
	}
	for _, instruction := range missing {
		if i.running[instruction.VM] || i.lease.Issued(instruction) {
			continue
		}
		if !i.reserve(ctx, instruction) || !i.issue(ctx, instruction) {
			return
		}
	}
}

// hold reports whether this process holds the lease, and takes it if it is free.
func (i *Issuer) hold(ctx context.Context) bool {
	held := i.lease.Held()
	if held && !i.lease.Due() || !held && !i.lease.Free() {
		return held
	}
	offset, err := i.lease.Write(ctx, nil)
	if err != nil {
		i.recorder.Failed("take or renew the lease", acaciaevent.Event{}, err)
		return false
	}
	if !held {
		i.recorder.Record(acaciaevent.Event{Kind: acaciaevent.LeaseTaken, Count: int64(offset)})
	}
	return true
}

// reserve asks the weight store for the transfer of a model's weights.
func (i *Issuer) reserve(ctx context.Context, instruction Instruction) bool {
	if time.Now().Before(i.loadFrom) {
		return false
	}
	err := i.weights.Reserve(ctx, instruction.Model)
	if err == nil {
		return true
	}
	i.recorder.Failed("reserve weights", acaciaevent.Event{Model: instruction.Model, Endpoint: instruction.VM}, err)
	pause := leastPause
	var coded *acaciaroute.Error
	if errors.As(err, &coded) {
		pause = max(pause, coded.RetryAfter)
	}
	i.loadFrom = time.Now().Add(pause)
	return false
}

// issue writes an order down and sends it.
func (i *Issuer) issue(ctx context.Context, instruction Instruction) bool {
	fence, err := i.lease.Write(ctx, &instruction)
	if err != nil {
		i.recorder.Failed("write an order", acaciaevent.Event{Model: instruction.Model, Endpoint: instruction.VM}, err)
		return false
	}
	i.record(acaciaevent.OrderIssued, result{instruction: instruction, fence: fence})
	i.running[instruction.VM] = true
	go func() {
		i.results <- result{instruction: instruction, fence: fence, err: i.send(ctx, fence, instruction)}
	}()
	return true
}

// send brings an order to its agent and repeats it while the agent asks for that.
func (i *Issuer) send(ctx context.Context, fence acaciaroute.Offset, instruction Instruction) error {
	ctx, cancel := context.WithTimeout(ctx, sendTime)
	defer cancel()
	for {
		err := i.sender.Send(ctx, fence, instruction)
		var coded *acaciaroute.Error
		if !errors.As(err, &coded) || coded.Code != acaciaroute.CodeOrderUnsettled && coded.Code != acaciaroute.CodeLogDown {
			return err
		}
		select {
		case <-time.After(max(leastPause, coded.RetryAfter)):
		case <-ctx.Done():
			return err
		}
	}
}

// take notes the end of an order. One that failed is planned again.
func (i *Issuer) take(r result) {
	delete(i.running, r.instruction.VM)
	if r.err == nil {
		i.record(acaciaevent.OrderDone, r)
		return
	}
	i.lease.Forget(r.instruction)
	i.loadFrom = time.Now().Add(failedPause)
	i.record(acaciaevent.OrderFailed, r)
}

func (i *Issuer) record(kind acaciaevent.Kind, r result) {
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
