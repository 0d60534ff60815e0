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

// fakeEngine ignores fencing numbers and remembers its orders.
type fakeEngine struct {
	acaciaroute.Engine
	log      acaciaroute.Log
	mu       sync.Mutex
	fences   []acaciaroute.Offset
	breaches []string
	err      error
}

func (e *fakeEngine) Do(ctx context.Context, order acaciaroute.Order) error {
	holder, newest := "", ""
	for next := acaciaroute.Offset(0); ; {
		records, err := e.log.Read(ctx, acaciaroute.StreamOrders, next, readLimit)
		if err != nil || len(records) == 0 {
			break
		}
		for _, entry := range records {
			next = entry.Offset + 1
			r, counts := parseRecord(entry)
			if counts {
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
		e.breaches = append(e.breaches, fmt.Sprintf("order %d of %s was carried out while %s held the lease", order.Fence, holder, newest))
	}
	if n := len(e.fences); n > 0 && e.fences[n-1] > order.Fence {
		e.breaches = append(e.breaches, fmt.Sprintf("order %d was carried out after %d", order.Fence, e.fences[n-1]))
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

func load(vm, model string) Instruction {
	return Instruction{VM: vm, Service: "s", Region: "ost", Action: acaciaroute.OrderLoad, Model: model}
}

// order is an order on its way to an agent.
type order struct {
	fence       acaciaroute.Offset
	instruction Instruction
}

// step is one operation of the property below.
type step struct {
	kind  int
	who   int
	other int
	pause time.Duration
}

// Holders that pause anywhere, a log that fails and loses answers, orders that
// arrive late and twice, and agents that restart.
func TestNoOrderOfAReplacedHolderIsCarriedOut(t *testing.T) {
	carried := 0
	rapid.Check(t, func(rt *rapid.T) {
		checks := rapid.Bool().Draw(rt, "checks")
		steps := make([]step, rapid.IntRange(50, 200).Draw(rt, "steps"))
		for i := range steps {
			steps[i] = step{
				kind:  rapid.IntRange(0, 9).Draw(rt, "kind"),
				who:   rapid.IntRange(0, 2).Draw(rt, "who"),
				other: rapid.IntRange(0, 5).Draw(rt, "other"),
				pause: time.Duration(rapid.IntRange(0, 25).Draw(rt, "pause")) * time.Second,
			}
		}
		var breaches []string
		synctest.Test(t, func(*testing.T) {
			w := newOrderWorld(checks)
			for _, s := range steps {
				w.take(s)
			}
			for _, engine := range w.engines {
				breaches = append(breaches, engine.breaches...)
				carried += len(engine.fences)
			}
		})
		assert.Equal(rt, len(breaches), 0, "%q", breaches)
	})
	assert.Check(t, carried > 200, "only %d orders were carried out", carried)
}

type orderWorld struct {
	log     *acaciastandin.Log
	leases  []*Lease
	guards  []*Guard
	engines []*fakeEngine
	checks  bool
	sent    []order
	models  int
}

func newOrderWorld(checks bool) *orderWorld {
	w := &orderWorld{log: acaciastandin.NewLog(), checks: checks}
	for i := range 3 {
		w.leases = append(w.leases, NewLease(w.log, fmt.Sprint("entry-", i)))
	}
	for i := range 2 {
		w.engines = append(w.engines, &fakeEngine{log: w.log})
		w.guards = append(w.guards, NewGuard(w.log, w.engines[i], newRecorder(), fmt.Sprint("vm-", i), checks))
	}
	time.Sleep(OrderTime)
	return w
}

func (w *orderWorld) take(s step) {
	ctx := context.Background()
	lease := w.leases[s.who]
	vm := s.other % len(w.guards)
	switch s.kind {
	case 0, 1:
		_ = lease.Refresh(ctx)
	case 2, 3, 4:
		// Without a look at the log, the holder has paused since its last one.
		if s.kind != 4 {
			_ = lease.Refresh(ctx)
		}
		if !lease.Held() && !lease.Free() {
			return
		}
		w.models++
		instruction := load(fmt.Sprint("vm-", vm), fmt.Sprint("m", w.models))
		if fence, err := lease.Write(ctx, &instruction); err == nil {
			w.sent = append(w.sent, order{fence, instruction})
		}
	case 5, 6:
		if len(w.sent) > 0 {
			late := w.sent[max(0, len(w.sent)-1-s.other/2)]
			for _, guard := range w.guards {
				if guard.vm == late.instruction.VM {
					_ = guard.Do(ctx, late.fence, late.instruction)
				}
			}
		}
	case 7:
		time.Sleep(s.pause)
	case 8:
		w.log.SetFaults(acaciastandin.LogFaults{Down: s.other == 0, LoseAnswers: s.other == 1})
	case 9:
		w.guards[vm] = NewGuard(w.log, w.engines[vm], newRecorder(), fmt.Sprint("vm-", vm), w.checks)
	}
}

func TestLeaseIsTakenOverAfterItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		log := acaciastandin.NewLog()
		first, second := NewLease(log, "a"), NewLease(log, "b")
		assert.NilError(t, first.Refresh(ctx))
		assert.Check(t, first.Free())
		_, err := first.Write(ctx, nil)
		assert.NilError(t, err)
		assert.NilError(t, second.Refresh(ctx))
		time.Sleep(LeaseTime / 2)
		_, err = first.Write(ctx, nil)
		assert.NilError(t, err)
		time.Sleep(LeaseTime * 3 / 4)
		assert.NilError(t, second.Refresh(ctx))
		time.Sleep(LeaseTime / 2)
		assert.Check(t, !second.Free())
		time.Sleep(LeaseTime + time.Second)
		assert.NilError(t, second.Refresh(ctx))
		assert.Check(t, second.Free())
		_, err = second.Write(ctx, nil)
		assert.NilError(t, err)
		assert.Check(t, second.Held())
		// The first one has slept and does not know yet.
		assert.Check(t, first.Held())
		_, err = first.Write(ctx, nil)
		assert.ErrorContains(t, err, "5005")
		assert.Check(t, !first.Held())
	})
}

func TestLostAnswerOfTheLogDoesNotLoseTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := acaciastandin.NewLog()
		lease := NewLease(log, "a")
		assert.NilError(t, lease.Refresh(context.Background()))
		log.SetFaults(acaciastandin.LogFaults{LoseAnswers: true})
		instruction := load("vm", "m")
		fence, err := lease.Write(context.Background(), &instruction)
		assert.NilError(t, err)
		assert.Equal(t, fence, acaciaroute.Offset(0))
		assert.Equal(t, log.Appends(), int64(1))
	})
}

func TestOrderWaitsForTheLogAndForEarlierOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		log := acaciastandin.NewLog()
		engine := &fakeEngine{log: log}
		guard := NewGuard(log, engine, newRecorder(), "vm", false)
		lease := NewLease(log, "a")
		assert.NilError(t, lease.Refresh(ctx))
		instruction := load("vm", "m")
		fence, err := lease.Write(ctx, &instruction)
		assert.NilError(t, err)
		assert.ErrorContains(t, guard.Do(ctx, fence, instruction), "5007")
		time.Sleep(OrderTime)
		log.SetFaults(acaciastandin.LogFaults{Down: true})
		assert.ErrorContains(t, guard.Do(ctx, fence, instruction), "5001")
		assert.Equal(t, len(engine.fences), 0)
		log.SetFaults(acaciastandin.LogFaults{})
		other := instruction
		other.Model = "another"
		assert.ErrorContains(t, guard.Do(ctx, fence, other), "5005")
		engine.err = errors.New("no answer")
		assert.Check(t, guard.Do(ctx, fence, instruction) != nil)
		engine.err = nil
		next, err := lease.Write(ctx, &other)
		assert.NilError(t, err)
		assert.ErrorContains(t, guard.Do(ctx, next, other), "5007")
		time.Sleep(OrderTime)
		assert.NilError(t, guard.Do(ctx, next, other))
		assert.ErrorContains(t, guard.Do(ctx, next, other), "5005")
		assert.DeepEqual(t, engine.fences, []acaciaroute.Offset{fence, next})
	})
}

func TestOrderThatDoesNotCountIsNotCarriedOut(t *testing.T) {
	ctx := context.Background()
	log := acaciastandin.NewLog()
	engine := &fakeEngine{log: log}
	guard := NewGuard(log, engine, newRecorder(), "vm", true)
	first, second := NewLease(log, "a"), NewLease(log, "b")
	instruction := load("vm", "m")
	_, err := first.Write(ctx, nil)
	assert.NilError(t, err)
	// The second one has read nothing.
	_, err = second.Write(ctx, &instruction)
	assert.ErrorContains(t, err, "5005")
	for _, fence := range []acaciaroute.Offset{0, 1, 2, 99} {
		assert.ErrorContains(t, guard.Do(ctx, fence, instruction), "5005", "order %d", fence)
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
	assert.DeepEqual(t, Plan(targets, vms), []Instruction{load("1", "b"), load("1", "c")})
}

func TestFewEntriesContend(t *testing.T) {
	var vms []acaciaroute.VM
	for i := range 340 {
		vms = append(vms, acaciaroute.VM{ID: fmt.Sprint("entry-", i), Role: acaciaroute.RoleEntry, State: acaciaroute.VMLive})
	}
	var chosen []int
	for i := range vms {
		if Contends(vms, vms[i].ID) {
			chosen = append(chosen, i)
		}
	}
	assert.Equal(t, len(chosen), contenders)
	vms[chosen[0]].State = acaciaroute.VMLeaving
	assert.Check(t, !Contends(vms, vms[chosen[0]].ID))
	assert.Check(t, Contends(vms, vms[chosen[1]].ID))
}

// fakeSender carries out orders through one guard.
type fakeSender struct {
	guard *Guard
	cut   bool
}

func (s *fakeSender) Send(ctx context.Context, fence acaciaroute.Offset, instruction Instruction) error {
	if s.cut {
		return acaciaroute.Errorf(acaciaroute.CodePeerDown, "cut")
	}
	return s.guard.Do(ctx, fence, instruction)
}

func TestOneOfSeveralIssuersLoadsAMissingModelOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := acaciastandin.NewLog()
		engine := &fakeEngine{log: log}
		guard := NewGuard(log, engine, newRecorder(), "vm", true)
		missing := func() []Instruction { return []Instruction{load("vm", "m")} }
		weights := acaciastandin.NewWeightStore(time.Second)
		var issuers []*Issuer
		for i := range 4 {
			// The holder of the first order may be cut off from the agent.
			sender := &fakeSender{guard: guard, cut: i == 0}
			issuer := NewIssuer(NewLease(log, fmt.Sprint(i)), weights, sender, missing, newRecorder())
			issuers = append(issuers, issuer)
			issuer.Start(context.Background())
		}
		time.Sleep(time.Minute)
		for _, issuer := range issuers {
			issuer.Close()
		}
		assert.Check(t, engine.orders() <= 1)
		again := NewIssuer(NewLease(log, "again"), weights, &fakeSender{guard: guard}, missing, newRecorder())
		again.Start(context.Background())
		time.Sleep(2 * LeaseTime)
		assert.Check(t, engine.orders() <= 1, "an order that was lately given is given again")
		time.Sleep(issuedLife)
		again.Close()
		assert.Check(t, engine.orders() >= 1)
		assert.Equal(t, len(engine.breaches), 0)
	})
}
