package acaciaregistration

import (
	"time"

	"github.com/acaciaroute/acaciaroute/acaciasite"
)

type (
	// registrations holds the newest registration of each endpoint. A store that was restored
	// from a copy lists endpoints as they were before, until each has written its registration
	// again or the store has dropped it.
	registrations struct {
		newest map[string]registration
		// outdated holds what the store lists though a newer registration, or its removal, is known.
		outdated map[string]acaciasite.EndpointChange
		// leaving holds the start of each endpoint that has said that it is leaving. That holds
		// until the endpoint starts again, whatever the store says of it.
		leaving map[string]time.Time
	}

	// registration identifies a registration of an endpoint.
	registration struct {
		startedAt time.Time
		sequence  int64
		// removed tells that the store has removed the registration since.
		removed bool
	}
)

const (
	// ExpiryHeartbeats is the number of heartbeat intervals after which the store has dropped the
	// registration of an endpoint that no longer writes: three, and one for the way to the gateway.
	ExpiryHeartbeats = 4
	// removedRetention is how long a removed registration is remembered, much longer than the age of
	// the copies from which a store is restored.
	removedRetention = 5 * time.Minute
)

func newRegistrations() *registrations {
	return &registrations{newest: map[string]registration{}, outdated: map[string]acaciasite.EndpointChange{}, leaving: map[string]time.Time{}}
}

// add records a registration and reports whether it is at least as new as the newest one known.
// Without a sequence number it counts as new.
func (r *registrations) add(change acaciasite.EndpointChange) bool {
	added := registration{startedAt: change.Endpoint.StartedAt, sequence: change.Sequence}
	if newest, known := r.newest[change.ID]; known && change.Sequence != 0 && added.olderThan(newest) {
		r.outdated[change.ID] = change
		return false
	}
	r.newest[change.ID] = added
	delete(r.outdated, change.ID)
	return true
}

// olderThan reports whether the registration was written before another one or, if that has been
// removed, no later.
func (g registration) olderThan(other registration) bool {
	switch {
	case !g.startedAt.Equal(other.startedAt):
		return g.startedAt.Before(other.startedAt)
	case other.removed:
		return g.sequence <= other.sequence
	}
	return g.sequence < other.sequence
}

// remove records that the store has removed the registration of an endpoint.
func (r *registrations) remove(id string) {
	delete(r.outdated, id)
	if newest, known := r.newest[id]; known {
		newest.removed = true
		r.newest[id] = newest
	}
}

// accept makes an outdated registration the newest one, if the store still lists it.
func (r *registrations) accept(change acaciasite.EndpointChange) bool {
	if r.outdated[change.ID] != change {
		return false
	}
	delete(r.newest, change.ID)
	return r.add(change)
}

// forget discards what is known of an endpoint whose registration is still removed.
func (r *registrations) forget(id string) {
	if r.newest[id].removed {
		delete(r.newest, id)
		delete(r.leaving, id)
	}
}

// markLeaving records that an endpoint has said that it is leaving, and reports whether that is new.
func (r *registrations) markLeaving(endpoint acaciasite.Endpoint) bool {
	if r.isLeaving(endpoint) {
		return false
	}
	r.leaving[endpoint.ID] = endpoint.StartedAt
	return true
}

// isLeaving reports whether an endpoint has said, since its start, that it is leaving.
func (r *registrations) isLeaving(endpoint acaciasite.Endpoint) bool {
	startedAt, marked := r.leaving[endpoint.ID]
	return marked && startedAt.Equal(endpoint.StartedAt)
}
