package acaciagateway

import (
	"context"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acacialoop"
	"github.com/acaciaroute/acaciaroute/acaciaorigin"
	"github.com/acaciaroute/acaciaroute/acaciarecord"
	"github.com/acaciaroute/acaciaroute/acaciaschedule"
	"github.com/acaciaroute/acaciaroute/acaciasite"
)

// originSource is how the origin of a resumed stream was found, or why it was not.
type originSource string

const (
	// originRemembered means that the gateway knows the stream or has been told of it.
	originRemembered originSource = "remembered"
	// originOnlyVersion means that a single version was in service.
	originOnlyVersion originSource = "only_version"
	// originPredecessor means that the stream began before a second version was known.
	originPredecessor originSource = "predecessor"
	// originBegun means that this request has begun the stream.
	originBegun originSource = "begun"
	// originLost means that nothing tells the origin, originUnreadable that the store doesn't
	// tell now.
	originLost       originSource = "lost"
	originUnreadable originSource = "unreadable"
)

const (
	// originTimeout bounds the reads of the store that a stream of unknown origin waits for.
	originTimeout = 700 * time.Millisecond
	// peersCheckInterval is the time between two checks whether all gateways have been heard.
	peersCheckInterval = 20 * time.Millisecond
	// lostRecordTime is the time within which a gateway that was dropped, and is alive, has dropped this one
	// in its turn and records its streams itself: the last messages of either may be one interval apart, it
	// looks for silent gateways once in an interval, and then checks whether its record is due.
	lostRecordTime = 2*heartbeatInterval + acaciarecord.CheckInterval
	// proofInterval is the time between two reads of the list of endpoints for the same connection; all
	// gateways may be reading it after a restore of the store.
	proofInterval = 100 * time.Millisecond
	// confirmTimeout bounds the read of the list of endpoints before a stream goes on, if only newer
	// endpoints may be missed without it; a longer pause would make the stream late.
	confirmTimeout = 150 * time.Millisecond
)

// resumesStream reports whether the caller resumes a stream of which it has received a part.
func (x *exchange) resumesStream() bool {
	return x.route.Kind == acaciasite.KindStream && x.metadata.LastEventID != ""
}

// streamKey returns the key of the stream: that of the attempt that brought its first event.
func (x *exchange) streamKey() acaciaorigin.Key {
	if x.resumesStream() && x.metadata.Resumes != "" {
		return acaciaorigin.KeyOf(x.metadata.Resumes)
	}
	return acaciaorigin.KeyOf(x.metadata.ID)
}

// findOrigin finds the software version at which a resumed stream must go on, and returns an error
// if it can't go on.
func (x *exchange) findOrigin(ctx context.Context) error {
	if !x.resumesStream() {
		return nil
	}
	origin, source, err := x.lookUpOrigin(ctx)
	x.originSource = source
	x.gateway.metrics.resumedStreams.WithLabelValues(string(source)).Inc()
	if err != nil {
		return err
	}
	if origin.Version == acaciasite.VersionUnknown {
		return acaciaroute.Errorf(acaciaroute.CodeStreamLost, "the endpoint that began the stream may have started again with another software version")
	}
	if !x.route.SendsTo(origin.Service) {
		return acaciaroute.Errorf(acaciaroute.CodeStreamLost, "the route sends nothing any more to the service that began the stream")
	}
	x.origin, x.service = &origin, origin.Service
	return nil
}

// lookUpOrigin returns the origin of a resumed stream, and how it was found. If the gateway doesn't know
// it, it reads the list of endpoints, and if need be the records of all gateways, anew.
func (x *exchange) lookUpOrigin(ctx context.Context) (origin acaciasite.Origin, source originSource, err error) {
	g := x.gateway
	if origin, known := x.rememberedOrigin(); known {
		return origin, originRemembered, nil
	}
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	listErr := g.endpointsRefresher.Refresh(ctx)
	if origin, source := x.currentOrigin(listErr == nil); source != originLost {
		return origin, source, nil
	}
	recordsErr := g.originsRefresher.Refresh(ctx)
	if listErr != nil {
		x.awaitPeers(ctx)
	}
	if origin, source := x.currentOrigin(listErr == nil); source != originLost {
		return origin, source, nil
	}
	if origin, source := x.predecessorOrigin(ctx, recordsErr == nil); source != originLost {
		return origin, source, nil
	}
	if listErr != nil || recordsErr != nil || x.originMayBeSettled() {
		return origin, originUnreadable, &acaciaroute.Error{
			Code: acaciaroute.CodeOriginUnknown, Detail: "the store doesn't tell which software version began the stream", RetryAfter: shortRetryAfter,
		}
	}
	return origin, originLost, acaciaroute.Errorf(acaciaroute.CodeStreamLost, "nothing tells which software version began the stream")
}

// rememberedOrigin returns the origin of a resumed stream, if the gateway has been told of the stream.
func (x *exchange) rememberedOrigin() (origin acaciasite.Origin, known bool) {
	if x.metadata.Resumes == "" {
		return origin, false
	}
	g := x.gateway
	g.loop.Do(func() {
		origin, known = g.origins.Lookup(x.streamKey())
		x.originKnownSince = g.origins.KnownSince(x.streamKey())
	})
	return origin, known
}

// originSettled reports whether a stream of which nothing tells may be concluded from the versions that
// have been in service: the list of endpoints shows the current starts, and this gateway hasn't begun the
// stream at a start that nothing confirms yet.
func (x *exchange) originSettled() (settled bool) {
	g := x.gateway
	g.loop.Do(func() { settled = g.listEra.Settled() && g.origins.Unconfirmed(x.streamKey()) == nil })
	return settled
}

// originMayBeSettled reports whether the origin of the stream isn't known only because the list of endpoints
// doesn't show the current starts yet.
func (x *exchange) originMayBeSettled() (settled bool) {
	service, only := x.route.OnlyService()
	g := x.gateway
	g.loop.Do(func() {
		now := g.loop.Now()
		_, single := g.origins.OnlyVersion(service, now)
		_, preceded := g.origins.Predecessor(service, now)
		settled = g.mayBeConfirmed(x.streamKey()) || !g.listEra.Settled() && only && (single || preceded)
	})
	return settled
}

// mayBeConfirmed reports whether this gateway has begun a stream at a start that nothing confirms yet, but
// something may: its endpoint is listed, or is kept because it may register again. It must be called on the loop.
func (g *Gateway) mayBeConfirmed(key acaciaorigin.Key) bool {
	run := g.origins.Unconfirmed(key)
	if run == nil {
		return false
	}
	return g.endpoints.Missing(run.Endpoint) || g.starts.MayJudge(*run)
}

// currentOrigin returns the origin of a resumed stream, also if only one version can have begun it,
// and how it was found. listCurrent reports whether the list of endpoints has just been read.
func (x *exchange) currentOrigin(listCurrent bool) (origin acaciasite.Origin, source originSource) {
	if origin, known := x.rememberedOrigin(); known {
		return origin, originRemembered
	}
	service, only := x.route.OnlyService()
	if !only || !x.originSettled() {
		return origin, originLost
	}
	g := x.gateway
	certain := false
	g.loop.Do(func() {
		now := g.loop.Now()
		// Gateways tell each other of a version that one of them can't read of in the store. What
		// they told before the request came doesn't count: they may be out of reach since.
		if listCurrent || g.members.ReachableShare(now) == 1 && g.members.AllHeardSince(x.arrivedAt) {
			origin.Service = service
			origin.Version, certain = g.origins.OnlyVersion(service, now)
		}
	})
	if !certain {
		return acaciasite.Origin{}, originLost
	}
	return origin, originOnlyVersion
}

// awaitPeers waits until all gateways have been heard since the request came, and reports whether they have.
func (x *exchange) awaitPeers(ctx context.Context) (heard bool) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatInterval+acaciaorigin.TellTime)
	defer cancel()
	g := x.gateway
	for {
		g.loop.Do(func() { heard = g.members.AllHeardSince(x.arrivedAt) })
		if heard || ctx.Err() != nil {
			return heard
		}
		acacialoop.Sleep(ctx, peersCheckInterval)
	}
}

// predecessorOrigin returns the origin of a stream of which nobody has told, because the gateway that began
// it knew of one version only, and how it was found. Gateways that know of a second one are given the
// time to tell of theirs, and to record them if the records can be read; one that isn't heard may have
// begun the stream.
func (x *exchange) predecessorOrigin(ctx context.Context, recordsReadable bool) (origin acaciasite.Origin, source originSource) {
	service, only := x.route.OnlyService()
	if _, known := x.predecessor(service); !known || !only || x.metadata.Resumes == "" {
		return origin, originLost
	}
	acacialoop.Sleep(ctx, acaciaorigin.TellTime)
	allHeard := x.awaitPeers(ctx)
	if recordsReadable && x.gateway.originsRefresher.Refresh(ctx) != nil {
		allHeard = false
	}
	if origin, known := x.rememberedOrigin(); known {
		return origin, originRemembered
	}
	version, known := x.predecessor(service)
	if !known || !allHeard || x.mayMissLost(recordsReadable) || !x.originSettled() {
		return origin, originLost
	}
	return acaciasite.Origin{Service: service, Version: version}, originPredecessor
}

// mayMissLost reports whether a gateway that was dropped may be alive behind a partition and may have begun the
// stream, which its records, if these can be read, don't tell yet.
func (x *exchange) mayMissLost(recordsReadable bool) (missed bool) {
	g := x.gateway
	g.loop.Do(func() {
		if recordsReadable {
			missed = g.members.DroppedSince(x.arrivedAt.Add(-lostRecordTime))
			return
		}
		missed = g.members.ReachableShare(g.loop.Now()) < 1
	})
	return missed
}

// predecessor returns the version that has begun all streams of a service of which nobody has told.
func (x *exchange) predecessor(service string) (version string, known bool) {
	g := x.gateway
	g.loop.Do(func() {
		now := g.loop.Now()
		if g.aware.AllHeard(g.origins.Retention(), now) {
			version, known = g.origins.Predecessor(service, now)
		}
	})
	return version, known
}

// bindOrigin records that the caller has a part of the stream, which can go on only at endpoints of
// the software version that began it.
func (x *exchange) bindOrigin(schedRequest *acaciaschedule.Request, connectedAt time.Time) {
	_, only := x.route.OnlyService()
	g := x.gateway
	g.loop.Do(func() {
		if x.origin == nil {
			origin := x.endpoint.Origin()
			run := acaciaorigin.Run{Endpoint: x.endpoint.ID, StartedAt: x.endpoint.StartedAt, ConnectedAt: connectedAt}
			switch g.starts.Judge(run) {
			case acaciaorigin.VerdictOpen:
				x.unconfirmed = &run
			case acaciaorigin.VerdictRefuted:
				origin.Version = acaciasite.VersionUnknown
			case acaciaorigin.VerdictProven:
			}
			x.origin, x.originSource, x.originKnownSince = &origin, originBegun, time.Now()
		}
		schedRequest.Bind(x.origin.Version)
		if x.route.Resumable {
			g.beginStream(acaciaorigin.Stream{Key: x.streamKey(), Origin: *x.origin}, !only, x.endpoint, x.unconfirmed)
		}
	})
}

// confirmVersions reads the list of endpoints anew before the rest of a stream is sent to one of them,
// because an endpoint may have started again with another version since the last read, and settles the
// origin of a stream that this request has begun. What nothing confirms is unknown.
func (x *exchange) confirmVersions(ctx context.Context) {
	if x.origin == nil {
		return
	}
	if x.unconfirmed == nil {
		ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		_ = x.gateway.endpointsRefresher.Refresh(ctx)
		return
	}
	verdict := x.awaitVerdict(ctx, *x.unconfirmed, nil)
	x.unconfirmed = nil
	if verdict != acaciaorigin.VerdictProven {
		x.origin = &acaciasite.Origin{Service: x.origin.Service, Version: acaciasite.VersionUnknown}
	}
}

// awaitVerdict returns what is known of the process behind a connection. If that is nothing, it reads the
// list of endpoints anew until the time that the request has for this is over. If the first read doesn't tell
// either, it asks the endpoint, unless that is nil.
func (x *exchange) awaitVerdict(ctx context.Context, run acaciaorigin.Run, endpoint *acaciasite.Endpoint) acaciaorigin.Verdict {
	if x.proofDeadline.IsZero() {
		x.proofDeadline = time.Now().Add(originTimeout)
	}
	ctx, cancel := context.WithDeadline(ctx, x.proofDeadline)
	defer cancel()
	g := x.gateway
	for attempt := 0; ; attempt++ {
		verdict := acaciaorigin.VerdictOpen
		g.loop.Do(func() { verdict = g.starts.Judge(run) })
		if verdict != acaciaorigin.VerdictOpen || ctx.Err() != nil {
			return verdict
		}
		if attempt == 1 && endpoint != nil && !endpoint.Draining {
			g.attester.Attest(ctx, endpoint)
			continue
		}
		if attempt > 0 {
			acacialoop.Sleep(ctx, proofInterval)
		}
		readCtx, cancelRead := context.WithTimeout(ctx, confirmTimeout)
		// An error means that the store doesn't answer, which it may do again in time.
		_ = g.endpointsRefresher.Refresh(readCtx)
		cancelRead()
	}
}

// mayContinueOver reports whether the rest of a stream may be sent over a connection that was opened at
// the given time: it belongs to the start of the endpoint whose version is known, and the endpoint still takes
// requests after the wait for that.
func (x *exchange) mayContinueOver(ctx context.Context, schedRequest *acaciaschedule.Request, wd *watchdog, openedAt time.Time) bool {
	// The endpoint isn't asked for anything yet.
	wd.silenceTimer.Stop()
	defer func() { wd.silenceTimer.Reset(wd.silenceTimeout) }()
	verdict := x.awaitVerdict(ctx, acaciaorigin.Run{Endpoint: x.endpoint.ID, StartedAt: x.endpoint.StartedAt, ConnectedAt: openedAt}, x.endpoint)
	usable := false
	g := x.gateway
	g.loop.Do(func() {
		usable = g.scheduler.MayContinueAt(schedRequest, x.endpoint.ID, x.endpoint.StartedAt, g.loop.Now())
	})
	if verdict == acaciaorigin.VerdictProven && usable {
		return true
	}
	x.excluded = append(x.excluded, x.endpoint.ID)
	x.versionUnproven = x.versionUnproven || verdict == acaciaorigin.VerdictOpen
	return false
}

// listReadTime returns when the last successful read of changes of the list of endpoints began; the zero
// time if there was none.
func (g *Gateway) listReadTime() time.Time {
	if at := g.listReadAt.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// addOriginInputs adds what is relied on for the software version of a stream, and of the endpoint that
// writes it.
func (x *exchange) addOriginInputs(inputs *acaciaevent.Inputs) {
	if x.route == nil || !x.route.Resumable || x.endpoint == nil {
		return
	}
	inputs.StartedMS = x.endpoint.StartedAt.UnixMilli()
	if !x.listReadBegan.IsZero() {
		inputs.ListAge = acaciaevent.RoundedSince(x.listReadBegan)
	}
	if !x.connectedAt.IsZero() {
		inputs.ConnectionAge = acaciaevent.RoundedSince(x.connectedAt)
	}
	if x.origin == nil {
		return
	}
	inputs.OriginVersion, inputs.OriginSource = x.origin.Version, string(x.originSource)
	if !x.originKnownSince.IsZero() {
		inputs.OriginAge = acaciaevent.RoundedSince(x.originKnownSince)
	}
}

// recordContinued records that the rest of a stream begins to come from the endpoint.
func (x *exchange) recordContinued() {
	event := x.newEvent(acaciaevent.StreamContinued)
	event.Inputs = x.eventInputs(nil)
	x.gateway.recorder.Record(event)
}

// recordEndpointDead records that the endpoint refuses connections.
func (x *exchange) recordEndpointDead() {
	g, endpoint := x.gateway, *x.endpoint
	g.loop.Post(func() { g.doubtVersion(endpoint, true) })
}

// recordWholeStream records that the caller has the whole stream, which won't be resumed.
func (x *exchange) recordWholeStream() {
	if !x.route.Resumable || x.origin == nil {
		return
	}
	g := x.gateway
	g.loop.Post(func() { g.origins.Deliver(x.streamKey()) })
}
