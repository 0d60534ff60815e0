package acaciacheck

import (
	"slices"
	"time"
)

// orderTolerance is how long a message may be under way between two processes:
// a grant that was given before a reservation could arrive took nothing from it.
const orderTolerance = 100 * time.Millisecond

// grantRecord is one grant at one endpoint.
type grantRecord struct {
	request  *requestHistory
	endpoint string
	at       time.Time
}

// shedOrder: a higher class is not shed before a lower one. Request H was shed at
// time t. Request L has a lower class, the same service and model, and waited at
// some time together with H. L must not have been granted a place
//   - at an endpoint where H was queued, between H's queueing and t;
//   - at such an endpoint after t, while H could still have used the place;
//   - in the second half of H's wait, at an endpoint that H never asked although it
//     asked fewer than there are.
//
// H could not use a place at an endpoint whose agent had refused H as late: its first
// token could not have come in time even with the next place there. An endpoint whose
// agent had granted H a place before L did not pass H by; the grant came too late to H
// over the link between the regions, or H had another by then.
func shedOrder(h *history) []Violation {
	grants := h.grants()
	endpoints := h.endpoints()
	var violations []Violation
	for _, id := range h.order {
		r := h.requests[id]
		if r.shed.IsZero() || r.arrived.IsZero() {
			continue
		}
		if v, ok := r.passedBy(grants, endpoints[r.service+"/"+r.model]); ok {
			violations = append(violations, v)
		}
	}
	return violations
}

// grants returns all grants in order of time.
func (h *history) grants() []grantRecord {
	var grants []grantRecord
	for _, id := range h.order {
		r := h.requests[id]
		for endpoint, at := range r.granted {
			grants = append(grants, grantRecord{r, endpoint, at})
		}
	}
	slices.SortFunc(grants, func(a, b grantRecord) int { return a.at.Compare(b.at) })
	return grants
}

// endpoints counts the endpoints that have given grants, by service and model.
func (h *history) endpoints() map[string]int {
	seen := map[string]map[string]bool{}
	for _, id := range h.order {
		r := h.requests[id]
		name := r.service + "/" + r.model
		if seen[name] == nil {
			seen[name] = map[string]bool{}
		}
		for endpoint := range r.granted {
			seen[name][endpoint] = true
		}
	}
	counts := map[string]int{}
	for name, endpoints := range seen {
		counts[name] = len(endpoints)
	}
	return counts
}

// passedBy looks for a grant that a lower class got before r was shed; endpoints is
// how many there are.
func (r *requestHistory) passedBy(grants []grantRecord, endpoints int) (Violation, bool) {
	latest := r.shed
	if useful := r.arrived.Add(r.patience); useful.After(latest) {
		latest = useful
	}
	begin, _ := slices.BinarySearchFunc(grants, r.arrived, func(g grantRecord, at time.Time) int { return g.at.Compare(at) })
	for _, g := range grants[begin:] {
		// A place that comes at the deadline is of no use.
		if !g.at.Before(latest) {
			break
		}
		if !r.above(g.request) || !r.couldTake(g, endpoints) {
			continue
		}
		return violation(r.id, "%s shed at %s, but %s of class %s got a place at %s at %s", r.class,
			r.shed.Format(clock), g.request.id, g.request.class, g.endpoint, g.at.Format(clock)), true
	}
	return Violation{}, false
}

const clock = "15:04:05.000"

func (r *requestHistory) above(other *requestHistory) bool {
	return r.rank > other.rank && r.service == other.service && r.model == other.model
}

// couldTake reports whether r could have had the place that g gave to another
// request which waited together with r.
func (r *requestHistory) couldTake(g grantRecord, endpoints int) bool {
	if !g.request.arrived.Add(orderTolerance).Before(r.shed) {
		return false
	}
	queued, ok := r.queued[g.endpoint]
	if !ok {
		half := r.arrived.Add(r.shed.Sub(r.arrived) / 2)
		return r.asked < endpoints && g.at.After(half) && g.at.Before(r.shed)
	}
	if late, ok := r.late[g.endpoint]; ok && !g.at.Before(late) {
		return false
	}
	if own, ok := r.granted[g.endpoint]; ok && !g.at.Before(own) {
		return false
	}
	return g.at.After(queued.Add(orderTolerance))
}
