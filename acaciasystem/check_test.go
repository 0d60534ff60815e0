package acaciasystem

import (
	"testing"

	"github.com/acaciaroute/acaciaroute/acaciacheck"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciatimeline"
)

// checkInvariants checks every invariant on the merged timeline of all processes.
func checkInvariants(t *testing.T, events []acaciaevent.Event) {
	t.Helper()
	for _, v := range acaciacheck.CheckAll(acaciatimeline.Merge(events, acaciatimeline.Filter{})) {
		t.Error(v)
	}
}
