package acaciacheck

import (
	"fmt"
	"slices"

	"github.com/acaciaroute/acaciaroute/acaciaevent"
)

type (
	// Violation describes how an invariant was violated. RequestID is empty if the
	// violation does not concern a request.
	Violation struct {
		Invariant string
		RequestID string
		Detail    string
	}

	// invariant is a named property that the events must satisfy.
	invariant struct {
		name           string
		findViolations func(history *history) []Violation
	}
)

// ShedOrderInvariant is the name of the invariant on the order in which classes are
// shed.
const ShedOrderInvariant = "shed_order"

// invariants lists the invariants in the order of docs/PROOFS.md.
var invariants = []invariant{
	{"one_dispatch", checkOneDispatch},
	{"one_run_per_key", checkOneRunPerKey},
	{ShedOrderInvariant, checkShedOrder},
	{"not_run_is_true", checkNotRunIsTrue},
	{"version_never_reverts", checkVersionNeverReverts},
	{"order_fence_rises", checkOrderFenceRises},
}

// InvariantNames returns the names of all invariants.
func InvariantNames() []string {
	names := make([]string, 0, len(invariants))
	for _, c := range invariants {
		names = append(names, c.name)
	}
	return names
}

// CheckAll returns the violations of every invariant; events must be merged and in
// order.
func CheckAll(events []acaciaevent.Event) []Violation {
	h := newHistory(events)
	var violations []Violation
	for _, c := range invariants {
		for _, v := range c.findViolations(h) {
			v.Invariant = c.name
			violations = append(violations, v)
		}
	}
	return violations
}

// CheckOne returns the violations of the invariant with this name, which must be one
// of InvariantNames; events must be merged and in order.
func CheckOne(name string, events []acaciaevent.Event) []Violation {
	index := slices.IndexFunc(invariants, func(c invariant) bool { return c.name == name })
	return invariants[index].findViolations(newHistory(events))
}

// String describes the violation.
func (v Violation) String() string {
	return fmt.Sprintf("%s: request %s: %s", v.Invariant, v.RequestID, v.Detail)
}

func newViolation(requestID, format string, args ...any) Violation {
	return Violation{RequestID: requestID, Detail: fmt.Sprintf(format, args...)}
}
