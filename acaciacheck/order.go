package acaciacheck

import (
	"slices"
	"time"
)

// messageDelayTolerance is the time that a message may take between two processes. A
// grant that was given before a reservation could have arrived is not a violation.
const messageDelayTolerance = 100 * time.Millisecond

// grantRecord is one grant of a slot at an endpoint.
type grantRecord struct {
	request  *requestHistory
	endpoint string
	at       time.Time
}

// checkShedOrder checks that a higher class is not shed before a lower one. Suppose that
// request H was shed at time t, and that request L has a lower class, the same service and
// model, and waited at some time together with H. L must not have been granted a
// slot
//   - at an endpoint where H was queued, between the time when H was queued and t;
//   - at such an endpoint after t, while H could still have used the slot;
//   - in the second half of H's wait, at an endpoint that H had never asked, if H had
//     asked fewer endpoints than there are.
//
// There are two exceptions. H could not use a slot at an endpoint whose agent had
// refused H as too late: even with the next slot there, its first token could not have
// come in time. And an endpoint whose agent had granted H a slot before L did not
// prefer L: that grant reached H too late over the link between the regions, or H
// had another slot by then.
func checkShedOrder(h *history) []Violation {
	grants := h.grants()
	endpoints := h.countEndpoints()
	var violations []Violation
	for _, id := range h.requestIDs {
		r := h.requests[id]
		if r.shedAt.IsZero() || r.arrivedAt.IsZero() {
			continue
		}
		if v, ok := r.findLowerClassGrant(grants, endpoints[r.service+"/"+r.model]); ok {
			violations = append(violations, v)
		}
	}
	return violations
}

// grants returns all grants in chronological order.
func (h *history) grants() []grantRecord {
	var grants []grantRecord
	for _, id := range h.requestIDs {
		r := h.requests[id]
		for endpoint, at := range r.grantedAt {
			grants = append(grants, grantRecord{r, endpoint, at})
		}
	}
	slices.SortFunc(grants, func(a, b grantRecord) int { return a.at.Compare(b.at) })
	return grants
}

// countEndpoints returns the number of endpoints that have granted slots, by service
// and model.
func (h *history) countEndpoints() map[string]int {
	seen := map[string]map[string]bool{}
	for _, id := range h.requestIDs {
		r := h.requests[id]
		name := r.service + "/" + r.model
		if seen[name] == nil {
			seen[name] = map[string]bool{}
		}
		for endpoint := range r.grantedAt {
			seen[name][endpoint] = true
		}
	}
	counts := map[string]int{}
	for name, endpoints := range seen {
		counts[name] = len(endpoints)
	}
	return counts
}

// findLowerClassGrant returns the violation for the first grant that a request of a lower
// class got although r could have used it, and whether there is one. endpoints is the
// number of endpoints of r's service and model.
func (r *requestHistory) findLowerClassGrant(grants []grantRecord, endpoints int) (Violation, bool) {
	latest := r.shedAt
	if usefulUntil := r.arrivedAt.Add(r.maxUsefulWait); usefulUntil.After(latest) {
		latest = usefulUntil
	}
	begin, _ := slices.BinarySearchFunc(grants, r.arrivedAt, func(g grantRecord, at time.Time) int { return g.at.Compare(at) })
	for _, g := range grants[begin:] {
		// A slot granted at the deadline or later is of no use.
		if !g.at.Before(latest) {
			break
		}
		if !r.outranks(g.request) || !r.couldUse(g, endpoints) {
			continue
		}
		return newViolation(r.id, "class %s was shed at %s, but request %s of class %s was granted a slot at endpoint %s at %s", r.class,
			r.shedAt.Format(timeFormat), g.request.id, g.request.class, g.endpoint, g.at.Format(timeFormat)), true
	}
	return Violation{}, false
}

// timeFormat is the format of times in the details of violations.
const timeFormat = "15:04:05.000"

// outranks reports whether r has a higher rank than another request of the same service
// and model.
func (r *requestHistory) outranks(other *requestHistory) bool {
	return r.rank > other.rank && r.service == other.service && r.model == other.model
}

// couldUse reports whether r could have used the slot that g granted to another
// request that waited together with r.
func (r *requestHistory) couldUse(g grantRecord, endpoints int) bool {
	if !g.request.arrivedAt.Add(messageDelayTolerance).Before(r.shedAt) {
		return false
	}
	queued, ok := r.queuedAt[g.endpoint]
	if !ok {
		halfway := r.arrivedAt.Add(r.shedAt.Sub(r.arrivedAt) / 2)
		return r.agentsAsked < endpoints && g.at.After(halfway) && g.at.Before(r.shedAt)
	}
	if late, ok := r.refusedLateAt[g.endpoint]; ok && !g.at.Before(late) {
		return false
	}
	if ownGrant, ok := r.grantedAt[g.endpoint]; ok && !g.at.Before(ownGrant) {
		return false
	}
	return g.at.After(queued.Add(messageDelayTolerance))
}
