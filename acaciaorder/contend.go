package acaciaorder

import (
	"cmp"
	"slices"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaprefix"
)

// contenders is how many entries try to hold the lease.
const contenders = 3

// Contends reports whether a process is one of the few entries that try to hold the
// lease, so that hundreds of them do not all read the log for one order.
func Contends(vms []acaciaroute.VM, id string) bool {
	var entries []string
	for _, vm := range vms {
		if vm.Role == acaciaroute.RoleEntry && vm.State == acaciaroute.VMLive {
			entries = append(entries, vm.ID)
		}
	}
	slices.SortFunc(entries, func(a, b string) int {
		return cmp.Or(cmp.Compare(acaciaprefix.Score(0, a), acaciaprefix.Score(0, b)), cmp.Compare(a, b))
	})
	return slices.Contains(entries[:min(len(entries), contenders)], id)
}
