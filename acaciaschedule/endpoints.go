package acaciaschedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciaprefix"
	"github.com/acaciaroute/acaciaroute/acaciasite"
)

// Counts are the numbers of endpoints that take fewer requests than they have slots for.
type Counts struct {
	// Draining endpoints take none any more, BackingOff ones none for a while, Limited ones so many
	// a second, Doubted ones no rest of a stream.
	Draining   int
	BackingOff int
	Limited    int
	Doubted    int
	// Recovering endpoints are given no more than their answers allow.
	Recovering int
}

// ApplyEndpointChange applies a change to the list of endpoints and reports whether
// anything changed.
func (s *Scheduler) ApplyEndpointChange(change acaciasite.EndpointChange) bool {
	known := s.endpointsByID[change.ID]
	if change.Endpoint == nil {
		if known == nil {
			return false
		}
		s.removeEndpoint(change.ID)
		return true
	}
	info := *change.Endpoint
	if known != nil && known.sameStart(info) {
		info.Version = known.info.Version
		changed := known.info != info
		known.info = info
		known.markChanged()
		return changed
	}
	s.removeEndpoint(change.ID)
	svc := s.getOrCreateService(info.Service)
	e := &endpoint{info: info, service: svc, registeredVersion: info.Version, cache: acaciaprefix.NewCache(0)}
	s.restoreBackoff(e)
	s.restorePeers(e)
	s.paceNewStart(e)
	s.endpointsByID[info.ID], s.endpointsByKey[KeyOf(info.ID)], s.serviceByEndpointID[info.ID] = e, e, svc
	svc.endpoints[info.ID] = e
	e.markChanged()
	svc.sorted, svc.optionsStale = append(svc.sorted, e), true
	slices.SortFunc(svc.sorted, func(a, b *endpoint) int { return cmp.Compare(a.info.ID, b.info.ID) })
	return true
}

// sameStart reports whether a registration is of the same start of the endpoint.
func (e *endpoint) sameStart(info acaciasite.Endpoint) bool {
	return e.info.StartedAt.Equal(info.StartedAt) && e.info.Service == info.Service && e.info.Address == info.Address && e.registeredVersion == info.Version
}

// registration returns what the endpoint has registered.
func (e *endpoint) registration() acaciasite.Endpoint {
	info := e.info
	info.Version = e.registeredVersion
	return info
}

// Endpoint returns the registration of an endpoint, nil if it isn't known.
func (s *Scheduler) Endpoint(id string) *acaciasite.Endpoint {
	known := s.endpointsByID[id]
	if known == nil {
		return nil
	}
	info := known.registration()
	return &info
}

// EndpointsAt returns the registrations of the endpoints at an address.
func (s *Scheduler) EndpointsAt(address string) []acaciasite.Endpoint {
	var found []acaciasite.Endpoint
	for _, e := range s.endpointsByID {
		if e.info.Address == address {
			found = append(found, e.registration())
		}
	}
	return found
}

// CountEndpoints returns the numbers of restricted endpoints.
func (s *Scheduler) CountEndpoints(now time.Time) Counts {
	var counts Counts
	for _, e := range s.endpointsByID {
		if e.info.Draining {
			counts.Draining++
		}
		if e.backoff.active(now) {
			counts.BackingOff++
		}
		if e.limiter.Limited {
			counts.Limited++
		}
		if e.recovering(now) {
			counts.Recovering++
		}
		if e.versionDoubted() {
			counts.Doubted++
		}
	}
	return counts
}

// removeEndpoint removes an endpoint from its service. Requests that it still runs
// continue.
func (s *Scheduler) removeEndpoint(id string) {
	e := s.endpointsByID[id]
	if e == nil {
		return
	}
	e.removed = true
	s.keepBackoff(e)
	svc := s.serviceByEndpointID[id]
	svc.forget(e)
	delete(svc.endpoints, id)
	delete(s.endpointsByID, id)
	delete(s.endpointsByKey, KeyOf(id))
	delete(s.serviceByEndpointID, id)
	svc.optionsStale = true
	svc.sorted = slices.DeleteFunc(svc.sorted, func(other *endpoint) bool { return other == e })
}
