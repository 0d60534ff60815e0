package acaciastandin

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/acaciaroute/acaciaroute"
)

type (
	// VMList is a VM list in memory whose faults can be set. It implements
	// acaciaroute.VMList.
	VMList struct {
		mu      sync.Mutex
		faults  VMListFaults
		vms     []acaciaroute.VM
		changes int
	}

	// VMListFaults are what is wrong with a VM list.
	VMListFaults struct {
		// Down makes every reading fail.
		Down bool `json:"down"`
		// Delay is added to every reading.
		Delay time.Duration `json:"delay"`
	}
)

// NewVMList returns a list of VMs.
func NewVMList(vms ...acaciaroute.VM) *VMList {
	return &VMList{vms: vms}
}

// Set adds a VM or replaces the one with the same ID.
func (l *VMList) Set(vm acaciaroute.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = append(l.without(vm.ID), vm)
	l.changes++
}

// SetFaults replaces the faults.
func (l *VMList) SetFaults(faults VMListFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
}

// Remove takes a VM from the list.
func (l *VMList) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = l.without(id)
	l.changes++
}

// etag names the present state of the list.
func (l *VMList) etag() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strconv.Quote(strconv.Itoa(l.changes))
}

// VMs implements acaciaroute.VMList.
func (l *VMList) VMs(ctx context.Context) ([]acaciaroute.VM, error) {
	l.mu.Lock()
	faults := l.faults
	l.mu.Unlock()
	if err := pause(ctx, faults.Delay); err != nil {
		return nil, &acaciaroute.Error{Code: acaciaroute.CodeVMListDown, Detail: "no answer", Err: err}
	}
	if faults.Down {
		return nil, acaciaroute.Errorf(acaciaroute.CodeVMListDown, "the VM list is down")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.vms), nil
}

func (l *VMList) without(id string) []acaciaroute.VM {
	kept := make([]acaciaroute.VM, 0, len(l.vms)+1)
	for _, vm := range l.vms {
		if vm.ID != id {
			kept = append(kept, vm)
		}
	}
	return kept
}
