package acaciamembership

import (
	"slices"
	"strings"
	"time"

	"github.com/acaciaroute/acaciaroute"
)

type (
	// View holds the VMs in force, which are the VMs that a process works with. Its
	// methods are not safe for concurrent use.
	//
	// When the list service recovers from an outage, VMs are missing from the list
	// because they could not renew their entries in it. Dropping those VMs at once
	// would send all requests to the few whose entries return first, so missing VMs
	// stay in force for a grace period.
	View struct {
		// vms are the VMs in force, by ID.
		vms map[string]acaciaroute.VM
		// missing holds the IDs of the VMs in force that the last list did not contain.
		missing map[string]bool
		// lastReadFailed reports whether the last attempt to read the list failed.
		lastReadFailed bool
		// graceEnd is the time from which VMs that are missing from the list are
		// dropped.
		graceEnd time.Time
		// readAt is when the list was last read.
		readAt time.Time
	}

	// Change describes how a newly read list changed the VMs in force.
	Change struct {
		// Joined holds the VMs that were added, Changed those that differ from the list
		// before, and Gone those that were dropped.
		Joined, Changed, Gone []acaciaroute.VM
		// Kept are the VMs that are newly missing from the list and stay in force for
		// the grace period.
		Kept []acaciaroute.VM
	}
)

// MissingVMGrace is how long after the end of an outage of the list a VM that is missing
// from it stays in force.
const MissingVMGrace = 2 * time.Second

// NewView returns a view without VMs, which counts as never read.
func NewView() *View {
	return &View{vms: map[string]acaciaroute.VM{}}
}

// NoteReadFailure notes that the list could not be read. The VMs in force stay the same.
func (v *View) NoteReadFailure() {
	v.lastReadFailed = true
}

// Update updates the VMs in force from the list read at now and returns what changed.
func (v *View) Update(now time.Time, listed []acaciaroute.VM) Change {
	if v.lastReadFailed && v.HasRead() {
		v.graceEnd = now.Add(MissingVMGrace)
	}
	v.lastReadFailed = false
	v.readAt = now
	var change Change
	updated := make(map[string]acaciaroute.VM, len(listed))
	for _, vm := range listed {
		updated[vm.ID] = vm
		before, known := v.vms[vm.ID]
		switch {
		case !known:
			change.Joined = append(change.Joined, vm)
		case !sameVM(before, vm):
			change.Changed = append(change.Changed, vm)
		}
	}
	missing := map[string]bool{}
	for _, vm := range v.VMs() {
		if _, ok := updated[vm.ID]; ok {
			continue
		}
		if !now.Before(v.graceEnd) {
			change.Gone = append(change.Gone, vm)
			continue
		}
		updated[vm.ID] = vm
		missing[vm.ID] = true
		if !v.missing[vm.ID] {
			change.Kept = append(change.Kept, vm)
		}
	}
	v.vms, v.missing = updated, missing
	return change
}

// VMs returns the VMs in force, sorted by ID.
func (v *View) VMs() []acaciaroute.VM {
	vms := make([]acaciaroute.VM, 0, len(v.vms))
	for _, vm := range v.vms {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b acaciaroute.VM) int { return strings.Compare(a.ID, b.ID) })
	return vms
}

// HasRead reports whether the list has been read at least once.
func (v *View) HasRead() bool {
	return !v.readAt.IsZero()
}

// ReadAt returns when the list was last read, or the zero time if it never was.
func (v *View) ReadAt() time.Time {
	return v.readAt
}

// HasChanges reports whether the VMs in force changed; VMs in Kept do not count.
func (c Change) HasChanges() bool {
	return len(c.Joined)+len(c.Changed)+len(c.Gone) > 0
}

func sameVM(a, b acaciaroute.VM) bool {
	return a.Address == b.Address && a.State == b.State && a.Service == b.Service && a.Role == b.Role &&
		a.DataCentre == b.DataCentre && a.Region == b.Region && slices.Equal(a.Models, b.Models)
}
