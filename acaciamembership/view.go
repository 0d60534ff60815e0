package acaciamembership

import (
	"slices"
	"strings"
	"time"

	"github.com/acaciaroute/acaciaroute"
)

type (
	// View is the list of VMs to reckon with. Its methods are not safe for concurrent
	// use.
	//
	// Load pattern: the list service comes back from an outage with entries missing,
	// because VMs could not renew them. Dropping those VMs at once would send all
	// requests to the few that were quickest to return.
	View struct {
		// vms are the VMs in force, by ID.
		vms map[string]acaciaroute.VM
		// missing are the VMs in force that the last list did not hold.
		missing map[string]bool
		// failing tells that the last reading failed.
		failing bool
		// settledAt is when a VM that is still missing after an outage is gone.
		settledAt time.Time
		// readAt is when the list was last read.
		readAt time.Time
	}

	// Change is what a reading changed.
	Change struct {
		// Joined, Changed and Gone are the VMs that came, differ or went.
		Joined, Changed, Gone []acaciaroute.VM
		// Kept are the VMs that are newly missing from the list and are still reckoned
		// with.
		Kept []acaciaroute.VM
	}
)

// ReturnGrace is how long after the list's return from an outage a VM that is missing
// from it is still reckoned with.
const ReturnGrace = 2 * time.Second

// NewView returns a view that has read nothing.
func NewView() *View {
	return &View{vms: map[string]acaciaroute.VM{}}
}

// Failed notes that the list could not be read; the last one stays in force.
func (v *View) Failed() {
	v.failing = true
}

// Take notes a list that was read at a time and returns what it changes.
func (v *View) Take(now time.Time, listed []acaciaroute.VM) Change {
	if v.failing && v.Read() {
		v.settledAt = now.Add(ReturnGrace)
	}
	v.failing = false
	v.readAt = now
	var change Change
	next := make(map[string]acaciaroute.VM, len(listed))
	for _, vm := range listed {
		next[vm.ID] = vm
		before, known := v.vms[vm.ID]
		switch {
		case !known:
			change.Joined = append(change.Joined, vm)
		case !equal(before, vm):
			change.Changed = append(change.Changed, vm)
		}
	}
	missing := map[string]bool{}
	for _, vm := range v.VMs() {
		if _, ok := next[vm.ID]; ok {
			continue
		}
		if !now.Before(v.settledAt) {
			change.Gone = append(change.Gone, vm)
			continue
		}
		next[vm.ID] = vm
		missing[vm.ID] = true
		if !v.missing[vm.ID] {
			change.Kept = append(change.Kept, vm)
		}
	}
	v.vms, v.missing = next, missing
	return change
}

// VMs returns the VMs in force, in order of their IDs.
func (v *View) VMs() []acaciaroute.VM {
	vms := make([]acaciaroute.VM, 0, len(v.vms))
	for _, vm := range v.vms {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b acaciaroute.VM) int { return strings.Compare(a.ID, b.ID) })
	return vms
}

// Read reports whether the list was read at least once.
func (v *View) Read() bool {
	return !v.readAt.IsZero()
}

// ReadAt returns when the list was last read; zero if it never was.
func (v *View) ReadAt() time.Time {
	return v.readAt
}

// Any reports whether the reading changed the VMs in force.
func (c Change) Any() bool {
	return len(c.Joined)+len(c.Changed)+len(c.Gone) > 0
}

func equal(a, b acaciaroute.VM) bool {
	return a.Address == b.Address && a.State == b.State && a.Service == b.Service && a.Role == b.Role &&
		a.DataCentre == b.DataCentre && a.Region == b.Region && slices.Equal(a.Models, b.Models)
}
