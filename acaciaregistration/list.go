package acaciaregistration

import (
	"maps"
	"slices"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciaorigin"
	"github.com/acaciaroute/acaciaroute/acaciasite"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

type (
	// Settings say how long registrations last and whom a List tells. All functions are called on the loop.
	Settings struct {
		// Expiry returns the time after which the store has dropped the registration of an endpoint that no
		// longer writes.
		Expiry func() time.Duration
		// OnChange is called with each change of an endpoint that counts.
		OnChange func(change acaciasite.EndpointChange)
		// BeforeRemoval is called before an endpoint is taken from the list.
		BeforeRemoval func()
		// OnAccepted is called after a registration that had to wait has come to count.
		OnAccepted func()
	}

	// List tracks which endpoints the store lists. After an outage of the store, it
	// keeps endpoints whose registrations expired meanwhile for a grace period, so that they
	// can register again before they count as gone. It must be used on the loop.
	List struct {
		outage
		loop     acaciaroute.Loop
		recorder *acaciaevent.Recorder
		starts   *acaciaorigin.Starts
		settings Settings
		listed   map[string]bool
		// missingUntil holds the endpoints that are kept though they are no longer listed, with
		// the time at which each is dropped.
		missingUntil  map[string]time.Time
		registrations *registrations
	}
)

// New returns an empty list. It tells starts which starts of endpoints the store names.
func New(loop acaciaroute.Loop, recorder *acaciaevent.Recorder, starts *acaciaorigin.Starts, settings Settings) *List {
	return &List{
		outage: outage{storeDown: true}, loop: loop, recorder: recorder, starts: starts, settings: settings,
		listed: map[string]bool{}, missingUntil: map[string]time.Time{}, registrations: newRegistrations(),
	}
}

// IDs returns the IDs of the endpoints that the store lists, in no order.
func (l *List) IDs() []string {
	return slices.Collect(maps.Keys(l.listed))
}

// Replace applies a complete list of endpoints; copied reports whether it may have been restored from a copy since its
// entries were written.
func (l *List) Replace(changes []acaciaplatform.Change, copied bool) {
	present := map[string]bool{}
	for _, change := range changes {
		if change.Value != nil {
			present[change.Key] = true
		}
	}
	for id := range l.listed {
		if !present[id] {
			changes = append(changes, acaciaplatform.Change{Key: id})
		}
	}
	l.apply(changes, copied)
}

// Apply applies changes of the list that the store has made since it was read.
func (l *List) Apply(changes []acaciaplatform.Change) {
	l.apply(changes, false)
}

func (l *List) apply(changes []acaciaplatform.Change, copied bool) {
	now := l.loop.Now()
	for _, record := range changes {
		change, err := record.EndpointChange()
		if err != nil {
			l.recorder.RecordCallFailure("decode an endpoint's registration", acaciaevent.Event{}, err)
		}
		if change.Endpoint != nil {
			l.listed[change.ID] = true
			delete(l.missingUntil, change.ID)
			l.applyRegistration(change, copied)
			continue
		}
		if !l.listed[change.ID] {
			continue
		}
		l.settings.BeforeRemoval()
		delete(l.listed, change.ID)
		l.forgetRegistration(change.ID)
		if until := l.keepUntil(now); !until.IsZero() && err == nil {
			l.missingUntil[change.ID] = until
			l.recorder.Record(acaciaevent.Event{Kind: acaciaevent.VMKept, Endpoint: change.ID})
			l.loop.After(until.Sub(now), func() { l.dropMissing(change.ID) })
			continue
		}
		l.settings.OnChange(change)
	}
}

// RecordPeerReadable records for how long another process has been able to read the store
// without a failure. It reports whether endpoints that were kept though missing must be dropped
// because the outage was local.
func (l *List) RecordPeerReadable(readable time.Duration, now time.Time) bool {
	l.recordPeerReadable(readable, now)
	return len(l.missingUntil) > 0 && l.wasLocal()
}

// Missing reports whether an endpoint is kept though it is no longer listed.
func (l *List) Missing(id string) bool {
	_, missing := l.missingUntil[id]
	return missing
}

// DropMissing drops all endpoints that were kept though missing.
func (l *List) DropMissing() {
	for id := range l.missingUntil {
		l.dropMissing(id)
	}
}

// dropMissing drops an endpoint that was kept, unless it has been listed again.
func (l *List) dropMissing(id string) {
	if !l.Missing(id) {
		return
	}
	delete(l.missingUntil, id)
	l.settings.OnChange(acaciasite.EndpointChange{ID: id})
}

// applyRegistration applies a registration that the store lists. One that is older than what is
// known must wait until the store would have dropped it if its endpoint no longer wrote.
func (l *List) applyRegistration(change acaciasite.EndpointChange, copied bool) {
	if l.registrations.add(change) {
		l.starts.Register(change.ID, change.Endpoint.StartedAt, change.Sequence, copied)
		l.settings.OnChange(l.Effective(change))
		return
	}
	l.recorder.Record(acaciaevent.Event{
		Kind: acaciaevent.RegistrationOutdated, Endpoint: change.ID, Service: change.Endpoint.Service, Detail: change.Endpoint.Address,
	})
	l.loop.After(l.settings.Expiry(), func() {
		if l.registrations.accept(change) {
			l.starts.Register(change.ID, change.Endpoint.StartedAt, change.Sequence, false)
			l.settings.OnChange(l.Effective(change))
			l.settings.OnAccepted()
		}
	})
}

// forgetRegistration records that the store has removed a registration, and discards it later.
func (l *List) forgetRegistration(id string) {
	l.registrations.remove(id)
	l.starts.Remove(id)
	l.loop.After(removedRetention, func() {
		l.registrations.forget(id)
		l.starts.Forget(id)
	})
}

// MarkLeaving records that an endpoint has said that it is leaving, and reports whether that is new.
func (l *List) MarkLeaving(endpoint acaciasite.Endpoint) bool {
	return l.registrations.markLeaving(endpoint)
}

// Effective returns the registration of an endpoint as it counts: as that of a draining one if the endpoint
// has said that it is leaving.
func (l *List) Effective(change acaciasite.EndpointChange) acaciasite.EndpointChange {
	if l.registrations.isLeaving(*change.Endpoint) {
		endpoint := *change.Endpoint
		endpoint.Draining = true
		change.Endpoint = &endpoint
	}
	return change
}
