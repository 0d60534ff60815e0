package acaciarollout

import (
	"maps"
	"slices"
	"time"
)

type (
	// Side is where a request may go.
	Side int

	// Choice says where a request may go now.
	Choice struct {
		Side Side
		// Target is the software version that SideOld avoids and SideTarget asks for.
		Target string
		// Exposed reports whether SideTarget is a sample of requests: one that has no room there may go to
		// the old side instead.
		Exposed bool
		// Concentrate is the number of endpoints of the target that are to be used, zero for all. They are
		// those from First on, modulo their number, in the order of their IDs.
		Concentrate, First int
		// Avoid holds further versions that are to be avoided while another one has endpoints: targets
		// of earlier orders that have no good verdict.
		Avoid []string
	}

	// Sent describes a request that is being sent to an endpoint.
	Sent struct {
		Route string
		// Target reports whether the endpoint is of the order's target version.
		Target bool
		// Again reports whether the request had been sent to an endpoint before; it is then no further
		// request of the service.
		Again bool
	}

	// exposure counts the requests that this process has sent since the order.
	exposure struct {
		all, target int64
		// stepAll and stepTarget are all and target at the beginning of the step.
		stepAll, stepTarget int64
		// pulseAll and pulseTarget are those at the beginning of a pulse of the canary phase.
		pulse                 int64
		pulseAll, pulseTarget int64
		routes                map[string]*routeExposure
	}

	// routeExposure counts the requests of a route.
	routeExposure struct {
		all, target int64
	}
)

// Where a request may go.
const (
	// SideAny is any endpoint: there is no order, or nothing else to choose.
	SideAny Side = iota
	// SideOld is any endpoint but those of the target, also if there is none.
	SideOld
	// SideTarget is an endpoint of the target. A request that has no room there may go to the old side
	// while Choice.Exposed is set.
	SideTarget
)

// sharedBudget is the number of unused requests of the share from which on a route may use what others have
// left.
const sharedBudget = 2

// Choose returns where the next request of a route may go. It is to be called when the request is placed,
// and holds until the next RecordSent.
func (t *Table) Choose(service, route string, now time.Time) Choice {
	s := t.services[service]
	if s == nil || s.rollout == nil {
		return Choice{}
	}
	r := s.rollout
	choice := Choice{Target: r.order.Target, Avoid: slices.Sorted(maps.Keys(s.unproven))}
	old, target := s.count(r.order.Target)
	switch r.verdict() {
	case StateRolledBack:
		// Before the endpoints are known, nothing says that the target is the only choice.
		if old > 0 || s.versions == nil {
			choice.Side = SideOld
		}
	case StateCompleted:
		if target > 0 && !r.released(s) {
			choice.Side = SideTarget
		}
	default:
		t.chooseUndecided(s, &choice, route, old, target, now)
	}
	return choice
}

// chooseUndecided chooses while the order has no verdict.
func (t *Table) chooseUndecided(s *service, choice *Choice, route string, old, target int, now time.Time) {
	r := s.rollout
	switch {
	case r.known && r.step == stepWhole:
		// A process that is cut off goes on: the others complete the order without hearing from it.
		choice.Side = SideTarget
	case !r.known || target == 0 || r.age(now) >= r.order.Duration || !t.inContact(now):
		choice.Side = SideOld
	case r.allows(route, t.settings, old, s.timeout, now):
		choice.Side, choice.Exposed = SideTarget, true
		choice.Concentrate, choice.First = r.order.concentration(t.settings, r.step, old, target, r.age(now), s.timeout)
	default:
		choice.Side = SideOld
	}
}

// released reports whether a version that had no endpoints during the rollout has some now: a later
// release, which is served as without an order.
func (r *rollout) released(s *service) bool {
	for version, endpoints := range s.versions {
		if endpoints > 0 && version != r.order.Target && !r.oldVersions[version] {
			return true
		}
	}
	return false
}

// RecordSent counts a request that is being sent.
func (t *Table) RecordSent(service string, sent Sent, now time.Time) {
	s := t.services[service]
	if s == nil || s.rollout == nil {
		return
	}
	r := s.rollout
	old, _ := s.count(r.order.Target)
	if pulse, _ := r.order.pulse(t.settings, old, r.age(now), s.timeout); pulse != r.exposure.pulse {
		r.exposure.beginPulse(pulse)
	}
	r.exposure.record(sent)
}

// record counts a request.
func (e *exposure) record(sent Sent) {
	if e.routes == nil {
		e.routes = map[string]*routeExposure{}
	}
	route := e.routes[sent.Route]
	if route == nil {
		route = &routeExposure{}
		e.routes[sent.Route] = route
	}
	if !sent.Again {
		e.all++
		route.all++
	}
	if sent.Target {
		e.target++
		route.target++
	}
}

// beginStep starts the counts of a step.
func (e *exposure) beginStep() {
	e.stepAll, e.stepTarget = e.all, e.target
}

// beginPulse starts the counts of a pulse, or of the time between two.
func (e *exposure) beginPulse(pulse int64) {
	e.pulse, e.pulseAll, e.pulseTarget = pulse, e.all, e.target
}

// allows reports whether the target may get one more request, of a route.
func (r *rollout) allows(route string, settings Settings, old int, timeout time.Duration, now time.Time) bool {
	e, share := &r.exposure, settings.share(r.step)
	if r.step > 0 {
		// Without evidence, the requests expected until the deadline are the bound.
		expected := float64(r.order.Duration) / float64(max(r.age(now), 1))
		return budget(share, e.all-e.stepAll, e.target-e.stepTarget) >= 1 &&
			(r.judge.favourable() || r.transfers.balance()+budget(settings.share(0)*expected, e.all, e.target) >= 1)
	}
	// The share of this process's requests, with what it has transferred and received.
	own := share + r.transfers.balance()/float64(e.all+1)
	pulse, shareInPulse := r.order.pulse(settings, old, r.age(now), timeout)
	if pulse == 0 || !e.allows(route, own) {
		return false
	}
	// The first request of a pulse is allowed at once.
	return pulse != e.pulse || 1+budget(shareInPulse*own/share, e.all-e.pulseAll, e.target-e.pulseTarget) >= 1
}

// allows reports whether the target may get one more request of a route in the canary phase. Each route
// has the same share of its requests sampled, and one at the beginning, as far as the share of all allows.
func (e *exposure) allows(route string, share float64) bool {
	unused := budget(share, e.all, e.target)
	own := e.routes[route]
	switch {
	case unused < 1:
		return false
	case own == nil || unused >= sharedBudget:
		return true
	}
	return budget(share, own.all, own.target) > 0
}

// budget returns how many requests the target may get if it is to have a share of those sent and one more.
func budget(share float64, all, target int64) float64 {
	return share*float64(all+1) - float64(target)
}
