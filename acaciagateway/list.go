package acaciagateway

import (
	"time"

	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciaregistration"
	"github.com/acaciaroute/acaciaroute/acaciasite"
)

// resumeMargin is how long before the end of an endpoint's drain the last rest of a stream is
// sent there.
const resumeMargin = 500 * time.Millisecond

// newEndpointList returns the list of endpoints, which tells the scheduler those that count.
func newEndpointList(g *Gateway) *acaciaregistration.List {
	return acaciaregistration.New(g.loop, g.recorder, g.starts, acaciaregistration.Settings{
		Expiry:   g.registrationExpiry,
		OnChange: g.applyEndpoint,
		// A version that came and goes between two updates has been in service, too.
		BeforeRemoval: g.updateListedOrigins,
		OnAccepted:    g.runScheduler,
	})
}

// registrationExpiry returns the time after which the store has dropped the registration of an endpoint that no longer
// writes. It must be called on the loop.
func (g *Gateway) registrationExpiry() time.Duration {
	return acaciaregistration.ExpiryHeartbeats * g.settings.HeartbeatInterval
}

// applyEndpoint passes a change of one endpoint to the scheduler and records it.
func (g *Gateway) applyEndpoint(change acaciasite.EndpointChange) {
	former := g.scheduler.Endpoint(change.ID)
	if !g.scheduler.ApplyEndpointChange(change) {
		return
	}
	if former != nil && (change.Endpoint == nil || change.Endpoint.Address != former.Address) && len(g.scheduler.EndpointsAt(former.Address)) == 0 {
		g.upstream.Retire(former.Address)
	}
	g.listChanged = true
	event := acaciaevent.Event{Kind: acaciaevent.VMGone, Endpoint: change.ID}
	if e := change.Endpoint; e != nil {
		event.Inputs = &acaciaevent.Inputs{SoftwareVersion: e.Version}
		event.Kind, event.Service, event.Detail = acaciaevent.VMListed, e.Service, e.Address
		if e.Draining {
			event.Kind = acaciaevent.VMLeaving
			g.upstream.CloseIdle(e.Address)
			// The store has acknowledged it after the last read that didn't show it.
			g.scheduler.AllowResuming(e.ID, g.listReadBegan.Add(g.settings.DrainTime-resumeMargin))
		}
	}
	g.recorder.Record(event)
}

// recordLeaving records that an answer from an endpoint's address said that its endpoint is leaving.
// A misdirected request was answered by another endpoint, so those listed at the address count, too.
// It must be called on the loop.
func (g *Gateway) recordLeaving(endpoint acaciasite.Endpoint, misdirected bool, event acaciaevent.Event) {
	answering := []acaciasite.Endpoint{endpoint}
	if misdirected {
		answering = append(answering, g.scheduler.EndpointsAt(endpoint.Address)...)
	}
	for _, candidate := range answering {
		if !g.endpoints.MarkLeaving(candidate) {
			continue
		}
		event.Endpoint = candidate.ID
		g.recorder.Record(event)
		if known := g.scheduler.Endpoint(candidate.ID); known != nil {
			g.applyEndpoint(g.endpoints.Effective(acaciasite.EndpointChange{ID: candidate.ID, Endpoint: known}))
		}
	}
	g.runScheduler()
}

// recordStart records whether an endpoint has named the start that it has registered, when it was asked at a time.
func (g *Gateway) recordStart(endpoint *acaciasite.Endpoint, isStart bool, began time.Time) {
	g.loop.Do(func() {
		g.starts.Attest(endpoint.ID, endpoint.StartedAt, isStart, began)
		if g.origins.Confirm(g.starts.Judge) {
			g.tellOrigins()
		}
	})
}
