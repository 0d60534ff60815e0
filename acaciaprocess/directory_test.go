package acaciaprocess

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciastandin"
)

// After an outage the VM list lacks VMs that could not renew their entries. The directory
// must keep such VMs for a grace period, and one that returns within it causes no change.
func TestVMMissingAfterListOutageIsKeptForGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		returning := acaciaroute.VM{ID: "a", State: acaciaroute.VMLive}
		missing := acaciaroute.VM{ID: "b", State: acaciaroute.VMLive}
		list := acaciastandin.NewVMList(returning, missing)
		recorder := acaciaevent.NewRecorder("entry", acaciaevent.NewClock(time.Now), logr.Discard(), 100)
		directory := NewDirectory(list, recorder)
		var counts []int
		directory.OnChange(func(vms []acaciaroute.VM) { counts = append(counts, len(vms)) })
		directory.Start(context.Background())
		defer directory.Close()
		time.Sleep(time.Second)

		list.SetFaults(acaciastandin.VMListFaults{Down: true})
		time.Sleep(time.Minute)
		list.Remove(returning.ID)
		list.Remove(missing.ID)
		list.SetFaults(acaciastandin.VMListFaults{})
		time.Sleep(time.Second)
		assert.Equal(t, len(directory.VMs()), 2)
		list.Set(returning)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.DeepEqual(t, directory.VMs(), []acaciaroute.VM{returning})
		assert.DeepEqual(t, counts, []int{2, 1})
	})
}
