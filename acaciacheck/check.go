package acaciacheck

import (
	"fmt"
	"slices"

	"github.com/acaciaroute/acaciaroute/acaciaevent"
)

type (
	// Violation is one breach of an invariant.
	Violation struct {
		Invariant string
		RequestID string
		Detail    string
	}

	// check is one invariant.
	check struct {
		name string
		find func(history *history) []Violation
	}
)

// ShedOrder is the name of the invariant on the order of shedding.
const ShedOrder = "shed_order"

// checks lists the invariants in the order of docs/PROOFS.md.
var checks = []check{
	{"one_dispatch", oneDispatch},
	{"one_run_per_key", oneRunPerKey},
	{ShedOrder, shedOrder},
	{"not_run_is_true", notRunIsTrue},
	{"version_never_reverts", versionNeverReverts},
	{"order_fence_rises", orderFenceRises},
}

// Names returns the names of all invariants.
func Names() []string {
	names := make([]string, 0, len(checks))
	for _, c := range checks {
		names = append(names, c.name)
	}
	return names
}

// All returns the violations of every invariant in events merged in order.
func All(events []acaciaevent.Event) []Violation {
	h := newHistory(events)
	var violations []Violation
	for _, c := range checks {
		for _, v := range c.find(h) {
			v.Invariant = c.name
			violations = append(violations, v)
		}
	}
	return violations
}

// One returns the violations of one invariant.
func One(name string, events []acaciaevent.Event) []Violation {
	index := slices.IndexFunc(checks, func(c check) bool { return c.name == name })
	return checks[index].find(newHistory(events))
}

// String describes the violation.
func (v Violation) String() string {
	return fmt.Sprintf("%s: request %s: %s", v.Invariant, v.RequestID, v.Detail)
}

func violation(requestID, format string, args ...any) Violation {
	return Violation{RequestID: requestID, Detail: fmt.Sprintf(format, args...)}
}
