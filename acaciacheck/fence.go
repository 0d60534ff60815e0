package acaciacheck

import "github.com/acaciaroute/acaciaroute/acaciaevent"

// orderFenceRises: the orders that an engine gets have rising fencing numbers,
// also when the agent before it has restarted.
func orderFenceRises(h *history) []Violation {
	newest := map[string]int64{}
	var violations []Violation
	for _, e := range h.events {
		if e.Kind != acaciaevent.OrderSent {
			continue
		}
		if before, ok := newest[e.Endpoint]; ok && e.Count <= before {
			violations = append(violations, violation("", "%s got order %d after order %d", e.Endpoint, e.Count, before))
		}
		newest[e.Endpoint] = max(newest[e.Endpoint], e.Count)
	}
	return violations
}
