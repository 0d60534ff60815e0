package acaciaschedule

import (
	"slices"
	"time"
)

type (
	// endpointSums are sums over the endpoints of a service. They are brought up to date by what has
	// changed, so that a decision doesn't visit every endpoint.
	endpointSums struct {
		// usable is the number of usable endpoints.
		usable int
		// slots and free are the slots of the steady ones and their free slots.
		slots int
		free  int
		// unsteady holds the other usable endpoints: what they take depends on the time.
		unsteady []*endpoint
		// changed holds the endpoints that have changed since the sums were brought up to date.
		changed []*endpoint
	}

	// contribution is what an endpoint is counted as in the sums.
	contribution struct {
		usable bool
		slots  int
		free   int
		// unsteady reports whether the endpoint is in the list of unsteady ones, changed whether it
		// is in that of changed ones.
		unsteady bool
		changed  bool
	}
)

// markChanged makes the sums of the endpoint's service include a change of the endpoint, and the next
// run decide on the service's requests.
func (e *endpoint) markChanged() {
	e.service.changed = true
	e.recountLater()
}

// recountLater makes the sums of the endpoint's service include a change of the endpoint.
func (e *endpoint) recountLater() {
	if e.removed || e.counted.changed {
		return
	}
	e.counted.changed = true
	e.service.sums.changed = append(e.service.sums.changed, e)
}

// steady reports whether what a usable endpoint takes doesn't depend on the time.
func (e *endpoint) steady(now time.Time) bool {
	return !e.limiter.Limited && e.takesRequests(now) && !e.pace.active
}

// updateSums brings the sums and the options of a service up to date.
func (svc *service) updateSums(now time.Time) {
	sums := &svc.sums
	if svc.optionsStale {
		svc.optionsStale = false
		svc.rebuildOptions(now)
	}
	if len(sums.unsteady)+len(sums.changed) == 0 {
		return
	}
	unsteady := sums.unsteady[:0]
	for _, e := range sums.unsteady {
		if e.usable() && !e.steady(now) {
			unsteady = append(unsteady, e)
			continue
		}
		e.counted.unsteady = false
		e.recountLater()
	}
	clear(sums.unsteady[len(unsteady):])
	sums.unsteady = unsteady
	for _, e := range sums.changed {
		svc.recount(e, now)
	}
	clear(sums.changed)
	sums.changed = sums.changed[:0]
}

// recount replaces what an endpoint is counted as in the sums of its service.
func (svc *service) recount(e *endpoint, now time.Time) {
	sums := &svc.sums
	counted := contribution{usable: e.usable(), unsteady: e.counted.unsteady}
	switch {
	case !counted.usable:
	case e.steady(now):
		counted.slots, counted.free = e.info.Slots, svc.scheduler.openSlots(e, now)
	case !counted.unsteady:
		counted.unsteady = true
		sums.unsteady = append(sums.unsteady, e)
	}
	sums.slots += counted.slots - e.counted.slots
	sums.free += counted.free - e.counted.free
	if e.counted.usable {
		sums.usable--
	}
	if counted.usable {
		sums.usable++
	}
	e.counted = counted
	svc.updateOption(&svc.options[e.index], now)
}

// forget takes an endpoint that is removed out of the sums.
func (svc *service) forget(e *endpoint) {
	sums := &svc.sums
	sums.slots -= e.counted.slots
	sums.free -= e.counted.free
	if e.counted.usable {
		sums.usable--
	}
	isEndpoint := func(other *endpoint) bool { return other == e }
	sums.unsteady = slices.DeleteFunc(sums.unsteady, isEndpoint)
	sums.changed = slices.DeleteFunc(sums.changed, isEndpoint)
	e.counted = contribution{}
	svc.changed = true
}

// freeSlotsByOwner returns the number of free slots of a service that all processes may use, and of
// those that only this process may use, because it has a part of their endpoints' limits.
func (s *Scheduler) freeSlotsByOwner(svc *service, now time.Time) (shared, own int) {
	svc.updateSums(now)
	shared = svc.sums.free
	for _, e := range svc.sums.unsteady {
		if e.limiter.Limited {
			own += s.freeSlots(e, now)
		} else {
			shared += s.freeSlots(e, now)
		}
	}
	return shared, own
}

// takenSlots returns the number of slots at which a request may expect to be run, within the limits of
// their endpoints.
func (svc *service) takenSlots(request *Request, now time.Time) float64 {
	if !request.VersionBound {
		svc.updateSums(now)
		slots := float64(svc.sums.slots)
		for _, e := range svc.sums.unsteady {
			if e.takesRequests(now) {
				slots += e.effectiveSlots(svc.holdTime)
			}
		}
		return slots
	}
	slots := 0.0
	for _, e := range svc.sorted {
		if e.usableFor(request, now) && e.takesRequests(now) && request.fits(e) {
			slots += e.effectiveSlots(svc.holdTime)
		}
	}
	return slots
}
