package acaciacheck

import "github.com/acaciaroute/acaciaroute/acaciaevent"

// checkOrderFenceRises checks that the orders sent to an engine have strictly increasing
// fencing numbers, also across a restart of the engine's agent.
func checkOrderFenceRises(h *history) []Violation {
	newest := map[string]int64{}
	var violations []Violation
	for _, e := range h.events {
		if e.Kind != acaciaevent.OrderSent {
			continue
		}
		if previous, ok := newest[e.Endpoint]; ok && e.Count <= previous {
			violations = append(violations, newViolation("", "endpoint %s was sent an order with fencing number %d after one with %d", e.Endpoint, e.Count, previous))
		}
		newest[e.Endpoint] = max(newest[e.Endpoint], e.Count)
	}
	return violations
}
