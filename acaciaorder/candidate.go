package acaciaorder

import (
	"cmp"
	"slices"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaprefix"
)

// maxCandidates is how many entries compete for the lease.
const maxCandidates = 3

// IsLeaseCandidate reports whether a process is one of the maxCandidates live
// entries that compete for the lease. The number is small so that hundreds of
// entries do not all read the log for one order.
func IsLeaseCandidate(vms []acaciaroute.VM, id string) bool {
	var entries []string
	for _, vm := range vms {
		if vm.Role == acaciaroute.RoleEntry && vm.State == acaciaroute.VMLive {
			entries = append(entries, vm.ID)
		}
	}
	slices.SortFunc(entries, func(a, b string) int {
		return cmp.Or(cmp.Compare(acaciaprefix.RendezvousScore(0, a), acaciaprefix.RendezvousScore(0, b)), cmp.Compare(a, b))
	})
	return slices.Contains(entries[:min(len(entries), maxCandidates)], id)
}
