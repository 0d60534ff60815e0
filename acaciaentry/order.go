package acaciaentry

import (
	"context"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciaorder"
	"github.com/acaciaroute/acaciaroute/acaciaprocess"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

// orderSender sends orders to the agents in the VM list.
type orderSender struct {
	process *acaciaprocess.Process
}

// newIssuer returns the entry's issuer of orders, or nil where there is no weight
// store to load models from.
func newIssuer(process *acaciaprocess.Process) *acaciaorder.Issuer {
	if process.Weights == nil {
		return nil
	}
	lease := acaciaorder.NewLease(process.Log, process.Settings.Process.ID)
	missing := func() []acaciaorder.Instruction {
		targets := process.Keeper.Current().Targets
		if targets == nil || process.Stopping() {
			return nil
		}
		vms := process.Directory.VMs()
		if !acaciaorder.Contends(vms, process.Settings.Process.ID) {
			return nil
		}
		return acaciaorder.Plan(targets, vms)
	}
	return acaciaorder.NewIssuer(lease, process.Weights, &orderSender{process: process}, missing, process.Recorder)
}

// Send implements acaciaorder.Sender.
func (s *orderSender) Send(ctx context.Context, fence acaciaroute.Offset, instruction acaciaorder.Instruction) error {
	address := ""
	for _, vm := range s.process.Directory.VMs() {
		if vm.ID == instruction.VM {
			address = vm.Address
		}
	}
	if address == "" {
		return acaciaroute.Errorf(acaciaroute.CodePeerDown, "VM %s is not listed", instruction.VM)
	}
	clock := s.process.Recorder.Clock()
	reply, err := s.process.Clients.Agent(address).Order(ctx, &acaciawire.OrderRequest{
		Fence:   int64(fence),
		Vm:      instruction.VM,
		Service: instruction.Service,
		Region:  instruction.Region,
		Action:  instruction.Action.String(),
		Model:   instruction.Model,
		Clock:   uint64(clock.Next()),
	})
	if err != nil {
		return &acaciaroute.Error{Code: acaciaroute.CodePeerDown, Detail: "the agent does not answer", Err: err}
	}
	clock.Observe(acaciaevent.Stamp(reply.Clock))
	return acaciawire.ToOrderError(reply)
}
