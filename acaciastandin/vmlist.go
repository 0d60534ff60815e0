package acaciastandin

import (
	"context"
	"slices"
	"strconv"
	"sync"

	"github.com/acaciaroute/acaciaroute"
)

type (
	// VMList is a VM list in memory. It implements acaciaroute.VMList.
	VMList struct {
		mu      sync.Mutex
		vms     []acaciaroute.VM
		changes int
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
func (l *VMList) VMs(context.Context) ([]acaciaroute.VM, error) {
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
