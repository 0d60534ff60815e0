package acaciamembership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/acaciaroute/acaciaroute"
)

var start = time.Unix(1000, 0)

func list(ids ...int) []acaciaroute.VM {
	var vms []acaciaroute.VM
	for _, id := range ids {
		vms = append(vms, acaciaroute.VM{ID: fmt.Sprint(id), State: acaciaroute.VMLive})
	}
	return vms
}

func ids(vms []acaciaroute.VM) string {
	text := ""
	for _, vm := range vms {
		text += vm.ID
	}
	return text
}

func TestVMMissingAfterAnOutageIsKeptForTwoSeconds(t *testing.T) {
	v := NewView()
	v.Take(start, list(1, 2, 3))
	v.Failed()
	assert.Equal(t, ids(v.VMs()), "123", "the last list stays in force")

	back := start.Add(time.Minute)
	change := v.Take(back, list(1))
	assert.Equal(t, ids(change.Kept), "23")
	assert.Check(t, !change.Any())
	change = v.Take(back.Add(time.Second), list(1, 2))
	assert.Equal(t, ids(change.Kept), "", "told once")
	assert.Equal(t, ids(v.VMs()), "123")
	change = v.Take(back.Add(ReturnGrace), list(1, 2))
	assert.Equal(t, ids(change.Gone), "3")
	assert.Equal(t, ids(v.VMs()), "12")
}

func TestVMThatLeavesWithoutAnOutageIsGoneAtOnce(t *testing.T) {
	v := NewView()
	v.Take(start, list(1, 2))
	change := v.Take(start.Add(time.Second), list(2))
	assert.Equal(t, ids(change.Gone), "1")
	assert.Equal(t, ids(v.VMs()), "2")
}

func TestProcessThatStartsInAnOutageKeepsNothing(t *testing.T) {
	v := NewView()
	v.Failed()
	change := v.Take(start, list(1))
	assert.Equal(t, ids(change.Joined), "1")
	change = v.Take(start.Add(time.Second), nil)
	assert.Equal(t, ids(change.Gone), "1")
}

// A VM is dropped only if a list without it was read, and then at the latest ReturnGrace
// after the list came back for good.
func TestViewFollowsAnyReadings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := NewView()
		now := start
		known := map[string]bool{}
		var failing, read bool
		var backAt time.Time
		for range rapid.IntRange(1, 40).Draw(t, "readings") {
			now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "pause_ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "fails") {
				v.Failed()
				failing = true
				assert.Equal(t, len(v.VMs()), len(known))
				continue
			}
			listed := list(rapid.SliceOfNDistinct(rapid.IntRange(1, 5), 0, 5, rapid.ID).Draw(t, "listed")...)
			if failing && read {
				backAt = now
			}
			failing, read = false, true
			settled := backAt.IsZero() || now.Sub(backAt) >= ReturnGrace
			next := map[string]bool{}
			for _, vm := range listed {
				next[vm.ID] = true
			}
			for id := range known {
				if !settled {
					next[id] = true
				}
			}
			known = next
			v.Take(now, listed)
			assert.Equal(t, len(v.VMs()), len(known))
			for _, vm := range v.VMs() {
				assert.Check(t, known[vm.ID], vm.ID)
			}
		}
	})
}
