package acaciaentry

import (
	"context"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciaorder"
	"github.com/acaciaroute/acaciaroute/acaciaprocess"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

// orderSender implements acaciaorder.Sender; it sends orders to the agents in the VM list.
type orderSender struct {
	process *acaciaprocess.Process
}

// newOrderIssuer returns the issuer of model orders, or nil if no weight store is
// configured to load models from.
func newOrderIssuer(process *acaciaprocess.Process) *acaciaorder.Issuer {
	if process.WeightStore == nil {
		return nil
	}
	lease := acaciaorder.NewLease(process.Log, process.Settings.Process.ID)
	missingOrders := func() []acaciaorder.Instruction {
		targets := process.Configuration.Current().Targets
		if targets == nil || process.Stopping() {
			return nil
		}
		vms := process.Directory.VMs()
		if !acaciaorder.IsLeaseCandidate(vms, process.Settings.Process.ID) {
			return nil
		}
		return acaciaorder.Plan(targets, vms)
	}
	return acaciaorder.NewIssuer(lease, process.WeightStore, &orderSender{process: process}, missingOrders, process.Recorder)
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
		return acaciaroute.Errorf(acaciaroute.CodePeerDown, "VM %s is not in the VM list", instruction.VM)
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
		return &acaciaroute.Error{Code: acaciaroute.CodePeerDown, Detail: "the agent did not reply to the order", Err: err}
	}
	clock.Observe(acaciaevent.Stamp(reply.Clock))
	return acaciawire.OrderReplyError(reply)
}
