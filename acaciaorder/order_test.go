package acaciaorder

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciastandin"
	"github.com/acaciaroute/acaciaroute/acaciatarget"
)

// fakeEngine ignores fencing numbers, records the orders that it executes, and notes a
// violation if an order's holder no longer holds the lease or a later order was
// executed before it.
type fakeEngine struct {
	acaciaroute.Engine
	log        acaciaroute.Log
	mu         sync.Mutex
	fences     []acaciaroute.Offset
	violations []string
	err        error
}

func (e *fakeEngine) SendOrder(ctx context.Context, order acaciaroute.Order) error {
	holder, newest := "", ""
	for next := acaciaroute.Offset(0); ; {
		records, err := e.log.Read(ctx, acaciaroute.StreamOrders, next, readLimit)
		if err != nil || len(records) == 0 {
			break
		}
		for _, entry := range records {
			next = entry.Offset + 1
			r, valid := parseRecord(entry)
			if valid {
				newest = r.Holder
			}
			if entry.Offset == order.Fence {
				holder = r.Holder
			}
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if holder != newest {
		e.violations = append(e.violations, fmt.Sprintf("order %d of %s was executed while %s held the lease", order.Fence, holder, newest))
	}
	if n := len(e.fences); n > 0 && e.fences[n-1] > order.Fence {
		e.violations = append(e.violations, fmt.Sprintf("order %d was executed after %d", order.Fence, e.fences[n-1]))
	}
	e.fences = append(e.fences, order.Fence)
	return e.err
}

func (e *fakeEngine) orders() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.fences)
}

func newRecorder() *acaciaevent.Recorder {
	return acaciaevent.NewRecorder("test", acaciaevent.NewClock(time.Now), logr.Discard(), 1000)
}

func loadInstruction(vm, model string) Instruction {
	return Instruction{VM: vm, Service: "s", Region: "ost", Action: acaciaroute.OrderLoad, Model: model}
}

// sentOrder is an order that may still arrive at an agent, possibly more than once.
type sentOrder struct {
	fence       acaciaroute.Offset
	instruction Instruction
}

// operation is one random operation on an orderHarness.
type operation struct {
	kind     int
	process  int
	argument int
	pause    time.Duration
}

// Checks that no engine executes an order of a holder that has lost the lease, or an
// older order after a newer one. Random operations pause holders, make the log fail or
// lose responses, deliver orders late or twice, and restart agents.
func TestGuardRejectsOrdersOfReplacedHolder(t *testing.T) {
	executed, cases := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		cases++
		engineChecksFence := rapid.Bool().Draw(rt, "engineChecksFence")
		operations := make([]operation, rapid.IntRange(50, 200).Draw(rt, "operations"))
		for i := range operations {
			operations[i] = operation{
				kind:     rapid.IntRange(0, 9).Draw(rt, "kind"),
				process:  rapid.IntRange(0, 2).Draw(rt, "process"),
				argument: rapid.IntRange(0, 5).Draw(rt, "argument"),
				pause:    time.Duration(rapid.IntRange(0, 25).Draw(rt, "pause")) * time.Second,
			}
		}
		var violations []string
		synctest.Test(t, func(*testing.T) {
			h := newOrderHarness(engineChecksFence)
			for _, op := range operations {
				h.run(op)
			}
			for _, engine := range h.engines {
				violations = append(violations, engine.violations...)
				executed += len(engine.fences)
			}
		})
		assert.Equal(rt, len(violations), 0, "%q", violations)
	})
	assert.Check(t, executed > 2*cases, "only %d orders were executed in %d cases", executed, cases)
}

// orderHarness runs operations on three leases and on two guards with their engines.
type orderHarness struct {
	log               *acaciastandin.Log
	leases            []*Lease
	guards            []*Guard
	engines           []*fakeEngine
	engineChecksFence bool
	sent              []sentOrder
	models            int
}

func newOrderHarness(engineChecksFence bool) *orderHarness {
	h := &orderHarness{log: acaciastandin.NewLog(), engineChecksFence: engineChecksFence}
	for i := range 3 {
		h.leases = append(h.leases, NewLease(h.log, fmt.Sprint("entry-", i)))
	}
	for i := range 2 {
		h.engines = append(h.engines, &fakeEngine{log: h.log})
		h.guards = append(h.guards, NewGuard(h.log, h.engines[i], newRecorder(), fmt.Sprint("vm-", i), engineChecksFence))
	}
	time.Sleep(OrderTimeout)
	return h
}

func (h *orderHarness) run(op operation) {
	ctx := context.Background()
	lease := h.leases[op.process]
	vm := op.argument % len(h.guards)
	switch op.kind {
	case 0, 1:
		_ = lease.Refresh(ctx)
	case 2, 3, 4:
		// Kind 4 does not read the log first, like a holder that paused after its last read.
		if op.kind != 4 {
			_ = lease.Refresh(ctx)
		}
		if !lease.Held() && !lease.Available() {
			return
		}
		h.models++
		instruction := loadInstruction(fmt.Sprint("vm-", vm), fmt.Sprint("m", h.models))
		if fence, err := lease.Append(ctx, &instruction); err == nil {
			h.sent = append(h.sent, sentOrder{fence, instruction})
		}
	case 5, 6:
		if len(h.sent) > 0 {
			late := h.sent[max(0, len(h.sent)-1-op.argument/2)]
			for _, guard := range h.guards {
				if guard.vm == late.instruction.VM {
					_ = guard.Execute(ctx, late.fence, late.instruction)
				}
			}
		}
	case 7:
		time.Sleep(op.pause)
	case 8:
		h.log.SetFaults(acaciastandin.LogFaults{Down: op.argument == 0, LoseReplies: op.argument == 1})
	case 9:
		h.guards[vm] = NewGuard(h.log, h.engines[vm], newRecorder(), fmt.Sprint("vm-", vm), h.engineChecksFence)
	}
}

func TestExpiredLeaseIsTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		log := acaciastandin.NewLog()
		first, second := NewLease(log, "a"), NewLease(log, "b")
		assert.NilError(t, first.Refresh(ctx))
		assert.Check(t, first.Available())
		_, err := first.Append(ctx, nil)
		assert.NilError(t, err)
		assert.NilError(t, second.Refresh(ctx))
		time.Sleep(LeaseDuration / 2)
		_, err = first.Append(ctx, nil)
		assert.NilError(t, err)
		time.Sleep(LeaseDuration * 3 / 4)
		assert.NilError(t, second.Refresh(ctx))
		time.Sleep(LeaseDuration / 2)
		assert.Check(t, !second.Available())
		time.Sleep(LeaseDuration + time.Second)
		assert.NilError(t, second.Refresh(ctx))
		assert.Check(t, second.Available())
		_, err = second.Append(ctx, nil)
		assert.NilError(t, err)
		assert.Check(t, second.Held())
		// The first process has not read the log since, so it still considers itself the holder.
		assert.Check(t, first.Held())
		_, err = first.Append(ctx, nil)
		assert.ErrorContains(t, err, "5005")
		assert.Check(t, !first.Held())
	})
}

func TestLeaseSurvivesLostLogResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := acaciastandin.NewLog()
		lease := NewLease(log, "a")
		assert.NilError(t, lease.Refresh(context.Background()))
		log.SetFaults(acaciastandin.LogFaults{LoseReplies: true})
		instruction := loadInstruction("vm", "m")
		fence, err := lease.Append(context.Background(), &instruction)
		assert.NilError(t, err)
		assert.Equal(t, fence, acaciaroute.Offset(0))
		assert.Equal(t, log.Appends(), int64(1))
	})
}

func TestGuardWaitsForLogAndEarlierOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		log := acaciastandin.NewLog()
		engine := &fakeEngine{log: log}
		guard := NewGuard(log, engine, newRecorder(), "vm", false)
		lease := NewLease(log, "a")
		assert.NilError(t, lease.Refresh(ctx))
		instruction := loadInstruction("vm", "m")
		fence, err := lease.Append(ctx, &instruction)
		assert.NilError(t, err)
		assert.ErrorContains(t, guard.Execute(ctx, fence, instruction), "5007")
		time.Sleep(OrderTimeout)
		log.SetFaults(acaciastandin.LogFaults{Down: true})
		assert.ErrorContains(t, guard.Execute(ctx, fence, instruction), "5001")
		assert.Equal(t, len(engine.fences), 0)
		log.SetFaults(acaciastandin.LogFaults{})
		other := instruction
		other.Model = "another"
		assert.ErrorContains(t, guard.Execute(ctx, fence, other), "5005")
		engine.err = errors.New("no answer")
		assert.Check(t, guard.Execute(ctx, fence, instruction) != nil)
		engine.err = nil
		next, err := lease.Append(ctx, &other)
		assert.NilError(t, err)
		assert.ErrorContains(t, guard.Execute(ctx, next, other), "5007")
		time.Sleep(OrderTimeout)
		assert.NilError(t, guard.Execute(ctx, next, other))
		assert.ErrorContains(t, guard.Execute(ctx, next, other), "5005")
		assert.DeepEqual(t, engine.fences, []acaciaroute.Offset{fence, next})
	})
}

func TestGuardRejectsInvalidOrder(t *testing.T) {
	ctx := context.Background()
	log := acaciastandin.NewLog()
	engine := &fakeEngine{log: log}
	guard := NewGuard(log, engine, newRecorder(), "vm", true)
	first, second := NewLease(log, "a"), NewLease(log, "b")
	instruction := loadInstruction("vm", "m")
	_, err := first.Append(ctx, nil)
	assert.NilError(t, err)
	// The second process has not read the stream, so its record is invalid.
	_, err = second.Append(ctx, &instruction)
	assert.ErrorContains(t, err, "5005")
	for _, fence := range []acaciaroute.Offset{0, 1, 2, 99} {
		assert.ErrorContains(t, guard.Execute(ctx, fence, instruction), "5005", "order %d", fence)
	}
	assert.Equal(t, engine.orders(), 0)
}

func TestPlanLoadsEveryModelInEveryRegion(t *testing.T) {
	targets := &acaciatarget.Targets{Services: []acaciatarget.Service{
		{Name: "s", Kind: acaciatarget.KindModel, Models: []string{"a", "b", "c"}},
		{Name: "p", Kind: acaciatarget.KindPlain},
	}}
	vm := func(id, region string, state acaciaroute.VMState, models ...string) acaciaroute.VM {
		return acaciaroute.VM{ID: id, Role: acaciaroute.RoleEndpoint, Service: "s", Region: region, State: state, Models: models}
	}
	vms := []acaciaroute.VM{
		vm("1", "ost", acaciaroute.VMLive, "a"),
		vm("2", "ost", acaciaroute.VMLive, "a", "x"),
		vm("3", "ost", acaciaroute.VMLeaving, "b", "c"),
		vm("4", "west", acaciaroute.VMLive, "a", "b", "c"),
		vm("5", "nord", acaciaroute.VMLeaving),
	}
	assert.DeepEqual(t, Plan(targets, vms), []Instruction{loadInstruction("1", "b"), loadInstruction("1", "c")})
}

func TestIsLeaseCandidateSelectsFewEntries(t *testing.T) {
	var vms []acaciaroute.VM
	for i := range 340 {
		vms = append(vms, acaciaroute.VM{ID: fmt.Sprint("entry-", i), Role: acaciaroute.RoleEntry, State: acaciaroute.VMLive})
	}
	var chosen []int
	for i := range vms {
		if IsLeaseCandidate(vms, vms[i].ID) {
			chosen = append(chosen, i)
		}
	}
	assert.Equal(t, len(chosen), maxCandidates)
	vms[chosen[0]].State = acaciaroute.VMLeaving
	assert.Check(t, !IsLeaseCandidate(vms, vms[chosen[0]].ID))
	assert.Check(t, IsLeaseCandidate(vms, vms[chosen[1]].ID))
}

// fakeSender passes orders to one guard, or fails if the agent is unreachable.
type fakeSender struct {
	guard       *Guard
	unreachable bool
}

func (s *fakeSender) Send(ctx context.Context, fence acaciaroute.Offset, instruction Instruction) error {
	if s.unreachable {
		return acaciaroute.Errorf(acaciaroute.CodePeerDown, "agent unreachable")
	}
	return s.guard.Execute(ctx, fence, instruction)
}

func TestConcurrentIssuersLoadModelOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := acaciastandin.NewLog()
		engine := &fakeEngine{log: log}
		guard := NewGuard(log, engine, newRecorder(), "vm", true)
		missing := func() []Instruction { return []Instruction{loadInstruction("vm", "m")} }
		weights := acaciastandin.NewWeightStore(time.Second)
		var issuers []*Issuer
		for i := range 4 {
			// The first issuer cannot reach the agent, and it may be the one to issue the order.
			sender := &fakeSender{guard: guard, unreachable: i == 0}
			issuer := NewIssuer(NewLease(log, fmt.Sprint(i)), weights, sender, missing, newRecorder())
			issuers = append(issuers, issuer)
			issuer.Start(context.Background())
		}
		time.Sleep(time.Minute)
		for _, issuer := range issuers {
			issuer.Close()
		}
		assert.Check(t, engine.orders() <= 1)
		lateIssuer := NewIssuer(NewLease(log, "again"), weights, &fakeSender{guard: guard}, missing, newRecorder())
		lateIssuer.Start(context.Background())
		time.Sleep(2 * LeaseDuration)
		assert.Check(t, engine.orders() <= 1, "a recently issued order was issued again")
		time.Sleep(reissueDelay)
		lateIssuer.Close()
		assert.Check(t, engine.orders() >= 1)
		assert.Equal(t, len(engine.violations), 0)
	})
}
