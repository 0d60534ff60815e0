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
		// since is when the store could be read first without a break.
		since time.Time
		// covered is the beginning of an outage all through which another process could
		// read the store.
		covered time.Time
	}
)

const (
	// returnTime is how long after the store's return a lapsed entry may be missing.
	returnTime = 2500 * time.Millisecond
	// shortOutage is an outage in which no entry lapses.
	shortOutage = time.Second
)

func newEndpointList() *endpointList {
	return &endpointList{listed: map[string]bool{}, missing: map[string]time.Time{}, down: true}
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
	l.since = now
	if !l.downAt.IsZero() && now.Sub(l.downAt) > shortOutage {
		l.upAt = now
	}
}

// grace returns until when an endpoint that is missing now is kept; zero if it is gone.
func (l *endpointList) grace(now time.Time) time.Time {
	if l.upAt.IsZero() || now.Sub(l.upAt) > returnTime || l.othersRead() {
		return time.Time{}
	}
	return l.upAt.Add(returnTime)
}

// othersRead tells whether another process could read the store all through the outage:
// then the store was not away, and no entry has lapsed for that.
func (l *endpointList) othersRead() bool {
	return !l.downAt.IsZero() && l.covered.Equal(l.downAt)
}

// hear takes for how long another process has been able to read the store; it reports
// whether missing endpoints are gone by that.
func (l *endpointList) hear(readable time.Duration, now time.Time) bool {
	if !l.down && now.Add(-readable).Before(l.downAt) {
		l.covered = l.downAt
	}
	return len(l.missing) > 0 && l.othersRead()
}

// readable is for how long the store could be read without a break.
func (l *endpointList) readable(now time.Time) time.Duration {
	if l.down {
		return 0
	}
	return now.Sub(l.since)
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

// giveUpMissing drops all endpoints that were kept; it runs on the loop.
func (g *Gateway) giveUpMissing() {
	for id := range g.endpoints.missing {
		g.giveUp(id)
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
