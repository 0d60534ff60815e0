package acaciamembership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/acaciaroute/acaciaroute"
)

var startTime = time.Unix(1000, 0)

func vmsWithIDs(ids ...int) []acaciaroute.VM {
	var vms []acaciaroute.VM
	for _, id := range ids {
		vms = append(vms, acaciaroute.VM{ID: fmt.Sprint(id), State: acaciaroute.VMLive})
	}
	return vms
}

func joinIDs(vms []acaciaroute.VM) string {
	text := ""
	for _, vm := range vms {
		text += vm.ID
	}
	return text
}

func TestMissingVMIsKeptForGracePeriodAfterOutage(t *testing.T) {
	v := NewView()
	v.Update(startTime, vmsWithIDs(1, 2, 3))
	v.NoteReadFailure()
	assert.Equal(t, joinIDs(v.VMs()), "123", "the last list stays in force")

	recoveredAt := startTime.Add(time.Minute)
	change := v.Update(recoveredAt, vmsWithIDs(1))
	assert.Equal(t, joinIDs(change.Kept), "23")
	assert.Check(t, !change.HasChanges())
	change = v.Update(recoveredAt.Add(time.Second), vmsWithIDs(1, 2))
	assert.Equal(t, joinIDs(change.Kept), "", "a kept VM is reported once")
	assert.Equal(t, joinIDs(v.VMs()), "123")
	change = v.Update(recoveredAt.Add(MissingVMGrace), vmsWithIDs(1, 2))
	assert.Equal(t, joinIDs(change.Gone), "3")
	assert.Equal(t, joinIDs(v.VMs()), "12")
}

func TestVMRemovedWithoutOutageIsGoneImmediately(t *testing.T) {
	v := NewView()
	v.Update(startTime, vmsWithIDs(1, 2))
	change := v.Update(startTime.Add(time.Second), vmsWithIDs(2))
	assert.Equal(t, joinIDs(change.Gone), "1")
	assert.Equal(t, joinIDs(v.VMs()), "2")
}

func TestOutageBeforeFirstReadKeepsNoMissingVM(t *testing.T) {
	v := NewView()
	v.NoteReadFailure()
	change := v.Update(startTime, vmsWithIDs(1))
	assert.Equal(t, joinIDs(change.Joined), "1")
	change = v.Update(startTime.Add(time.Second), nil)
	assert.Equal(t, joinIDs(change.Gone), "1")
}

// A VM is dropped only if a list without it was read, and then at the latest
// MissingVMGrace after the last outage has ended.
func TestViewMatchesModelForRandomReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := NewView()
		now := startTime
		inForce := map[string]bool{}
		var lastReadFailed, hasRead bool
		var recoveredAt time.Time
		for range rapid.IntRange(1, 40).Draw(t, "reads") {
			now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "pause_ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "fails") {
				v.NoteReadFailure()
				lastReadFailed = true
				assert.Equal(t, len(v.VMs()), len(inForce))
				continue
			}
			listed := vmsWithIDs(rapid.SliceOfNDistinct(rapid.IntRange(1, 5), 0, 5, rapid.ID).Draw(t, "listed")...)
			if lastReadFailed && hasRead {
				recoveredAt = now
			}
			lastReadFailed, hasRead = false, true
			graceOver := recoveredAt.IsZero() || now.Sub(recoveredAt) >= MissingVMGrace
			updated := map[string]bool{}
			for _, vm := range listed {
				updated[vm.ID] = true
			}
			for id := range inForce {
				if !graceOver {
					updated[id] = true
				}
			}
			inForce = updated
			v.Update(now, listed)
			assert.Equal(t, len(v.VMs()), len(inForce))
			for _, vm := range v.VMs() {
				assert.Check(t, inForce[vm.ID], vm.ID)
			}
		}
	})
}
