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
	// VMList is an in-memory VM list with fault injection. It implements
	// acaciaroute.VMList.
	VMList struct {
		mu      sync.Mutex
		faults  VMListFaults
		vms     []acaciaroute.VM
		changes int
	}

	// VMListFaults are the faults injected into a VM list.
	VMListFaults struct {
		// Down makes every read fail.
		Down bool `json:"down"`
		// Delay is the time that every read waits first.
		Delay time.Duration `json:"delay"`
	}
)

// NewVMList returns a list of the given VMs, without faults.
func NewVMList(vms ...acaciaroute.VM) *VMList {
	return &VMList{vms: vms}
}

// Set adds a VM or replaces the one with the same ID.
func (l *VMList) Set(vm acaciaroute.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = append(l.vmsExcept(vm.ID), vm)
	l.changes++
}

// SetFaults replaces the faults.
func (l *VMList) SetFaults(faults VMListFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
}

// Remove removes the VM with an ID from the list.
func (l *VMList) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = l.vmsExcept(id)
	l.changes++
}

// etag returns an entity tag that changes with every change to the list.
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
	if err := sleepContext(ctx, faults.Delay); err != nil {
		return nil, &acaciaroute.Error{Code: acaciaroute.CodeVMListDown, Detail: "the VM list did not answer in time", Err: err}
	}
	if faults.Down {
		return nil, acaciaroute.Errorf(acaciaroute.CodeVMListDown, "the VM list is down")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.vms), nil
}

// vmsExcept returns the VMs other than the one with the ID.
func (l *VMList) vmsExcept(id string) []acaciaroute.VM {
	kept := make([]acaciaroute.VM, 0, len(l.vms)+1)
	for _, vm := range l.vms {
		if vm.ID != id {
			kept = append(kept, vm)
		}
	}
	return kept
}
