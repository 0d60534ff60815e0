package acaciasystem

import (
	"testing"

	"github.com/acaciaroute/acaciaroute/acaciacheck"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciatimeline"
)

// checkEvents checks every invariant over the time line of all processes.
func checkEvents(t *testing.T, events []acaciaevent.Event) {
	t.Helper()
	for _, v := range acaciacheck.All(acaciatimeline.Merge(events, acaciatimeline.Window{})) {
		t.Error(v)
	}
}
