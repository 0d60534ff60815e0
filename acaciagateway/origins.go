package acaciagateway

import (
	"time"

	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciaorigin"
	"github.com/acaciaroute/acaciaroute/acaciarecord"
	"github.com/acaciaroute/acaciaroute/acaciaschedule"
	"github.com/acaciaroute/acaciaroute/acaciasite"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

const (
	// resumeTimeouts is for how many timeouts of its route a stream may be resumed after its
	// beginning: a caller's last attempt may begin when its first one has timed out.
	resumeTimeouts = 2
	// initialRetention is for how long streams are remembered while there is no configuration.
	initialRetention = 30 * time.Second
)

// newOriginKeeper returns what keeps the gateway's record of streams in the store. The first gateway of each region
// records the streams of all gateways.
func (g *Gateway) newOriginKeeper() *acaciarecord.Keeper {
	return acaciarecord.New(acaciarecord.Dependencies{
		Loop: g.loop, Origins: g.origins, Store: g.store, Era: g.era, Retries: g.storeRetries, Refresher: g.originsRefresher, Recorder: g.recorder,
	}, acaciarecord.Settings{
		Process: g.settings.Name, FirstStart: g.settings.FirstStart, Ready: g.endpointsLoaded.Load, OnLoad: g.learnSettledEra,
		BeforeWrite: func() bool {
			g.updateListedOrigins()
			return g.members.FirstOfRegion()
		},
	})
}

// beginStream remembers the origin of a stream, and tells others of it if nothing else tells it.
// unconfirmed is the run of the endpoint that has begun the stream, nil if something confirms its start.
// It must be called on the loop.
func (g *Gateway) beginStream(stream acaciaorigin.Stream, split bool, endpoint *acaciasite.Endpoint, unconfirmed *acaciaorigin.Run) {
	if !g.origins.Begin(stream, split, unconfirmed, g.loop.Now()) {
		return
	}
	if unconfirmed != nil {
		g.attester.Request(endpoint)
		g.endpointsRefresher.WakeUp()
		return
	}
	g.tellOrigins()
}

// tellOrigins tells others of new streams. It must be called on the loop.
func (g *Gateway) tellOrigins() {
	g.scheduleBroadcast()
	g.originsRefresher.WakeUp()
}

// confirmOrigins settles the origins of streams after a read of the list of endpoints. It must be
// called on the loop.
func (g *Gateway) confirmOrigins(readBegan time.Time) {
	g.starts.EndRead(readBegan)
	g.settleEra()
	if g.origins.Confirm(g.starts.Judge) {
		g.tellOrigins()
	}
}

// settleEra makes reads of the list of endpoints from now on count, if it shows the current starts again
// after a restore of the store. The gateway's own record then says it to those that start
// later. It must be called on the loop.
func (g *Gateway) settleEra() {
	now := g.loop.Now()
	if !g.listEra.Settle(g.starts.Trusted(), g.endpoints.ReadableFor(now), g.registrationExpiry(), now) {
		return
	}
	g.starts.Trust()
	g.origins.SetSettledEra(g.listEra.Era())
	g.originsRefresher.WakeUp()
	g.endpointsRefresher.WakeUp()
}

// learnSettledEra takes from the records in which era of the store its list of endpoints shows the
// current starts. It must be called on the loop.
func (g *Gateway) learnSettledEra(records []acaciaorigin.Record, era acaciaplatform.Era) {
	if g.listEra.Learn(records, int64(era)) {
		g.settleEra()
	}
}

// distrustList records that the list of endpoints may have been restored from a copy since its entries
// were written. It must be called on the loop.
func (g *Gateway) distrustList(era acaciaplatform.Era) {
	g.listEra.Distrust(int64(era), g.loop.Now())
	g.starts.Distrust()
}

// mergeOrigins applies what another gateway tells of streams. It must be called on the loop.
func (g *Gateway) mergeOrigins(report acaciaorigin.Report) {
	g.origins.Merge(report, g.loop.Now())
	if len(report.Streams) > 0 && g.members.FirstOfRegion() {
		g.originsRefresher.WakeUp()
	}
}

// mayHaveMissedVersions reports whether a version may have come and gone between two reads of the
// list of endpoints: a registration stays for some heartbeats, and gateways that could read tell
// the others. It must be called on the loop.
func (g *Gateway) mayHaveMissedVersions(previous, now time.Time) bool {
	if previous.IsZero() || now.Sub(previous) <= g.registrationExpiry() {
		return false
	}
	return g.members.ReachableShare(now) < 1 || !g.members.AllHeardSince(now.Add(-heartbeatInterval-acaciaorigin.TellTime))
}

// updateListedOrigins tells the table of origins which versions are listed, if that may have
// changed. It must be called on the loop.
func (g *Gateway) updateListedOrigins() {
	if !g.listChanged {
		return
	}
	g.listChanged = false
	g.origins.SetListed(g.scheduler.Origins(), g.loop.Now())
}

// doubtVersion makes the version of an endpoint that refuses connections unknown until it has had the
// time to register again: another version may start at its address, under its ID. found reports
// whether this gateway itself was refused. It must be called on the loop.
func (g *Gateway) doubtVersion(endpoint acaciasite.Endpoint, found bool) {
	if !g.scheduler.DoubtVersion(endpoint.ID, endpoint.StartedAt, found) {
		return
	}
	event := acaciaevent.Event{Kind: acaciaevent.VersionDoubted, Endpoint: endpoint.ID, Service: endpoint.Service}
	event.Inputs = &acaciaevent.Inputs{SoftwareVersion: endpoint.Version}
	g.recorder.Record(event)
	g.scheduleTrust(endpoint)
	if found {
		// The others must know before the endpoint is back.
		g.broadcast(false)
	}
}

// mergeDoubts applies the doubts of another gateway. It must be called on the loop.
func (g *Gateway) mergeDoubts(doubts []acaciaschedule.EndpointStart) {
	for _, doubt := range doubts {
		if endpoint := g.scheduler.EndpointWithStart(doubt); endpoint != nil {
			g.doubtVersion(*endpoint, false)
		}
	}
}

// scheduleTrust ends the doubt about an endpoint's version once the store would have dropped its
// registration if it had not come back. It must be called on the loop.
func (g *Gateway) scheduleTrust(endpoint acaciasite.Endpoint) {
	expiry := g.registrationExpiry()
	g.loop.After(expiry, func() {
		if g.endpoints.ReadableFor(g.loop.Now()) < expiry {
			g.scheduleTrust(endpoint)
			return
		}
		g.scheduler.TrustVersion(endpoint.ID, endpoint.StartedAt)
	})
}

// streamRetention returns for how long streams may be resumed after their beginning.
func streamRetention(configuration *acaciasite.Configuration) time.Duration {
	longest := time.Duration(0)
	for i := range configuration.Routes {
		if route := &configuration.Routes[i]; route.Resumable {
			longest = max(longest, route.TimeoutOr(defaultTimeout))
		}
	}
	return resumeTimeouts * longest
}
