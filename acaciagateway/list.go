package acaciagateway

import (
	"time"

	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciasite"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

type (
	// endpointList bridges an outage of the store: endpoints whose entries lapsed
	// meanwhile have a moment to come back before they count as gone.
	endpointList struct {
		listed map[string]bool
		// missing holds when an endpoint is given up that is not listed any more.
		missing map[string]time.Time
		down    bool
		downAt  time.Time
		upAt    time.Time
	}
)

const (
	// returnTime is how long after the store's return a lapsed entry may be missing.
	returnTime = 2500 * time.Millisecond
	// shortOutage is an outage in which no entry lapses.
	shortOutage = time.Second
)

func newEndpointList() *endpointList {
	return &endpointList{listed: map[string]bool{}, missing: map[string]time.Time{}}
}

// store notes whether the store can be read.
func (l *endpointList) store(down bool, now time.Time) {
	if down == l.down {
		return
	}
	l.down = down
	if down {
		l.downAt = now
		return
	}
	if now.Sub(l.downAt) > shortOutage {
		l.upAt = now
	}
}

// grace returns until when an endpoint that is missing now is kept; zero if it is gone.
func (l *endpointList) grace(now time.Time) time.Time {
	if l.upAt.IsZero() || now.Sub(l.upAt) > returnTime {
		return time.Time{}
	}
	return l.upAt.Add(returnTime)
}

// replaceEndpoints takes the whole list; it runs on the loop.
func (g *Gateway) replaceEndpoints(changes []acaciaplatform.Change) {
	present := map[string]bool{}
	for _, change := range changes {
		if change.Value != nil {
			present[change.Key] = true
		}
	}
	for id := range g.endpoints.listed {
		if !present[id] {
			changes = append(changes, acaciaplatform.Change{Key: id})
		}
	}
	g.changeEndpoints(changes)
}

// changeEndpoints takes changes of the list; it runs on the loop.
func (g *Gateway) changeEndpoints(changes []acaciaplatform.Change) {
	now := g.loop.Now()
	for _, record := range changes {
		change, err := record.EndpointChange()
		if err != nil {
			g.recorder.Failed("read the list of endpoints", acaciaevent.Event{}, err)
		}
		if change.Endpoint != nil {
			g.endpoints.listed[change.ID] = true
			delete(g.endpoints.missing, change.ID)
			g.applyEndpoint(change)
			continue
		}
		if !g.endpoints.listed[change.ID] {
			continue
		}
		delete(g.endpoints.listed, change.ID)
		if until := g.endpoints.grace(now); !until.IsZero() && err == nil {
			g.endpoints.missing[change.ID] = until
			g.recorder.Record(acaciaevent.Event{Kind: acaciaevent.VMKept, Endpoint: change.ID})
			g.loop.After(until.Sub(now), func() { g.giveUp(change.ID) })
			continue
		}
		g.applyEndpoint(change)
	}
	g.step()
}

// giveUp drops an endpoint that has not come back.
func (g *Gateway) giveUp(id string) {
	if _, missing := g.endpoints.missing[id]; !missing {
		return
	}
	delete(g.endpoints.missing, id)
	g.applyEndpoint(acaciasite.EndpointChange{ID: id})
}

func (g *Gateway) applyEndpoint(change acaciasite.EndpointChange) {
	if !g.scheduler.Apply(change) {
		return
	}
	event := acaciaevent.Event{Kind: acaciaevent.VMGone, Endpoint: change.ID}
	if e := change.Endpoint; e != nil {
		event.Kind, event.Service, event.Detail = acaciaevent.VMListed, e.Service, e.Address
		if e.Leaving {
			event.Kind = acaciaevent.VMLeaving
			g.upstream.Forget(e.Address)
		}
	}
	g.recorder.Record(event)
}
