package acaciacheck

import (
	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
)

// checkOneDispatch checks that a request is dispatched at most once, unless its method is
// safe. A dispatch that provably did not reach its endpoint does not count.
func checkOneDispatch(h *history) []Violation {
	unreached := h.countUnreached()
	var violations []Violation
	for _, id := range h.requestIDs {
		count := len(h.requests[id].dispatches) - unreached[id]
		if count > 1 && !h.requests[id].safeMethod {
			violations = append(violations, newViolation(id, "dispatched %d times", count))
		}
	}
	return violations
}

// checkOneRunPerKey checks that an idempotency key is dispatched for at most one request.
func checkOneRunPerKey(h *history) []Violation {
	unreached := h.countUnreached()
	runs := map[string][]string{}
	var violations []Violation
	for _, id := range h.requestIDs {
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
			violations = append(violations, newViolation(id, "key %s had already been dispatched for request %s", key, runs[key][0]))
		}
	}
	return violations
}

// checkNotRunIsTrue checks that a request was not dispatched if its caller was told that
// it did not run.
func checkNotRunIsTrue(h *history) []Violation {
	unreached := h.countUnreached()
	var violations []Violation
	for _, id := range h.requestIDs {
		r := h.requests[id]
		if !r.shedAt.IsZero() && r.shedCode.NotRun() && len(r.dispatches) > unreached[id] {
			violations = append(violations, newViolation(id, "the caller was told code %d (not run), but the request was dispatched", r.shedCode))
		}
	}
	return violations
}

// countUnreached returns, for each request, the number of its dispatches that provably
// did not reach an endpoint.
func (h *history) countUnreached() map[string]int {
	counts := map[string]int{}
	for _, e := range h.events {
		if e.Kind == acaciaevent.AnswerFinished && e.Code == acaciaroute.CodeRefused {
			counts[e.RequestID]++
		}
	}
	return counts
}

// checkVersionNeverReverts checks that the configuration version in force at a process
// never decreases until the process is restarted.
func checkVersionNeverReverts(h *history) []Violation {
	newest := map[string]acaciaroute.Offset{}
	var violations []Violation
	for _, e := range h.events {
		switch e.Kind {
		case acaciaevent.ProcessStarted:
			delete(newest, e.Process)
		case acaciaevent.ConfigurationApplied:
			if e.Version < newest[e.Process] {
				violations = append(violations, newViolation("", "process %s reverted from configuration version %d to %d", e.Process, newest[e.Process], e.Version))
			}
			newest[e.Process] = max(newest[e.Process], e.Version)
		}
	}
	return violations
}
