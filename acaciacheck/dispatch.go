package acaciacheck

import (
	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
)

// oneDispatch: a request is dispatched at most once, unless its method is safe. A
// dispatch that provably did not reach its endpoint does not count.
func oneDispatch(h *history) []Violation {
	unreached := h.unreached()
	var violations []Violation
	for _, id := range h.order {
		count := len(h.requests[id].dispatches) - unreached[id]
		if count > 1 && !h.requests[id].safe {
			violations = append(violations, violation(id, "dispatched %d times", count))
		}
	}
	return violations
}

// oneRunPerKey: an idempotency key is dispatched at most once, whatever
// the request.
func oneRunPerKey(h *history) []Violation {
	unreached := h.unreached()
	runs := map[string][]string{}
	var violations []Violation
	for _, id := range h.order {
		dispatches := h.requests[id].dispatches
		if len(dispatches) <= unreached[id] {
			continue
		}
		key := dispatches[0].keyHash
		if key == "" {
			continue
		}
		runs[key] = append(runs[key], id)
		if len(runs[key]) == 2 {
			violations = append(violations, violation(id, "key %s was run before by request %s", key, runs[key][0]))
		}
	}
	return violations
}

// notRunIsTrue: a request whose caller was told that it did not run was not
// dispatched.
func notRunIsTrue(h *history) []Violation {
	unreached := h.unreached()
	var violations []Violation
	for _, id := range h.order {
		r := h.requests[id]
		if !r.shed.IsZero() && r.shedCode.NotRun() && len(r.dispatches) > unreached[id] {
			violations = append(violations, violation(id, "told code %d, but dispatched", r.shedCode))
		}
	}
	return violations
}

// unreached counts the dispatches of each request that provably did not reach
// an endpoint.
func (h *history) unreached() map[string]int {
	counts := map[string]int{}
	for _, e := range h.events {
		if e.Kind == acaciaevent.AnswerFinished && e.Code == acaciaroute.CodeRefused {
			counts[e.RequestID]++
		}
	}
	return counts
}

// versionNeverReverts: the version in force at a process never goes back while
// the process lives.
func versionNeverReverts(h *history) []Violation {
	newest := map[string]acaciaroute.Offset{}
	var violations []Violation
	for _, e := range h.events {
		switch e.Kind {
		case acaciaevent.ProcessStarted:
			delete(newest, e.Process)
		case acaciaevent.ConfigurationApplied:
			if e.Version < newest[e.Process] {
				violations = append(violations, violation("", "%s went from version %d to %d", e.Process, newest[e.Process], e.Version))
			}
			newest[e.Process] = max(newest[e.Process], e.Version)
		}
	}
	return violations
}
