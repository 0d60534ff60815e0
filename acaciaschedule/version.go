package acaciaschedule

import (
	"slices"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciasite"
)

// Load pattern: endpoints of several software versions serve side by side, and streams break off. A
// stream may go on only at the version that began it, whose endpoints may be few, full or gone.

// Bind binds a request to the software version that has begun its stream.
func (r *Request) Bind(version string) {
	r.VersionBound, r.Version = true, version
}

// fits reports whether the endpoint is of the version that the request is bound to, if any, or else of one
// that its choice allows.
func (r *Request) fits(e *endpoint) bool {
	if !r.VersionBound {
		return r.Choice.allows(e) && (len(r.canaryEndpoints) == 0 || slices.Contains(r.canaryEndpoints, e.info.ID))
	}
	return r.Version == e.info.Version && r.Version != acaciasite.VersionUnknown && !r.bans()
}

// versionGone reports whether the request is bound to a version of which no endpoint may get it.
func (svc *service) versionGone(request *Request, now time.Time) bool {
	if !request.VersionBound {
		return false
	}
	for _, e := range svc.sorted {
		if e.usableFor(request, now) && !request.excludes(e) {
			return false
		}
	}
	return true
}

// AllowResuming lets a draining endpoint take the rests of streams until the given time.
func (s *Scheduler) AllowResuming(id string, until time.Time) {
	if e := s.endpointsByID[id]; e != nil && e.resumableUntil.IsZero() {
		e.resumableUntil = until
		e.markChanged()
	}
}

// Origins returns the services and software versions of the endpoints, each once.
func (s *Scheduler) Origins() []acaciasite.Origin {
	found := map[acaciasite.Origin]bool{}
	var origins []acaciasite.Origin
	for _, e := range s.endpointsByID {
		if origin := (acaciasite.Origin{Service: e.info.Service, Version: e.registeredVersion}); !found[origin] {
			found[origin] = true
			origins = append(origins, origin)
		}
	}
	return origins
}

// DoubtVersion makes the version of an endpoint unknown, because its process has ended since it
// started at the given time and another one may listen at its address before it registers. found
// reports whether this process has found it dead, so that it tells the others. DoubtVersion reports
// whether the doubt is new.
func (s *Scheduler) DoubtVersion(id string, startedAt time.Time, found bool) bool {
	e := s.endpointsByID[id]
	if e == nil || !e.info.StartedAt.Equal(startedAt) {
		return false
	}
	e.foundDead = e.foundDead || found
	isNew := !e.versionDoubted()
	e.info.Version = acaciasite.VersionUnknown
	e.markChanged()
	return isNew
}

// TrustVersion makes the version of an endpoint again the one that it registered, if it is still
// listed with that start.
func (s *Scheduler) TrustVersion(id string, startedAt time.Time) {
	if e := s.endpointsByID[id]; e != nil && e.info.StartedAt.Equal(startedAt) {
		e.info.Version, e.foundDead = e.registeredVersion, false
		e.markChanged()
	}
}

// EndpointWithStart returns the registration of an endpoint, nil if it isn't listed with that start.
func (s *Scheduler) EndpointWithStart(start EndpointStart) *acaciasite.Endpoint {
	e := s.endpointsByKey[start.Endpoint]
	if e == nil || !e.info.StartedAt.Equal(start.StartedAt) {
		return nil
	}
	info := e.registration()
	return &info
}

// MayContinueAt reports whether the rest of a stream may still be sent to an endpoint that started at the
// given time: it may have left, or its version may be doubted, since the decision.
func (s *Scheduler) MayContinueAt(request *Request, id string, startedAt, now time.Time) bool {
	e := s.endpointsByID[id]
	return e != nil && e.info.StartedAt.Equal(startedAt) && e.usableFor(request, now) && request.fits(e)
}

// versionDoubted reports whether the endpoint's version is unknown though it has registered one.
func (e *endpoint) versionDoubted() bool {
	return e.info.Version != e.registeredVersion
}
