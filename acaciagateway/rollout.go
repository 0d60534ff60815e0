package acaciagateway

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciafollow"
	"github.com/acaciaroute/acaciaroute/acaciapeer"
	"github.com/acaciaroute/acaciaroute/acaciarollout"
	"github.com/acaciaroute/acaciaroute/acaciaschedule"
	"github.com/acaciaroute/acaciaroute/acaciasite"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

type (
	// rollouts carries out the orders to move services to other software versions. A nil *rollouts does
	// nothing: the deployment has no orders. Its methods must be called on the loop but for stalledTime.
	rollouts struct {
		gateway      *Gateway
		table        *acaciarollout.Table
		expectations *acaciarollout.Expectations
		// orders holds the order of each service, as last read.
		orders map[string]acaciarollout.Order
		// readTo is up to where the operators' topic has been read.
		readTo acaciaplatform.Position
		// active holds the requests in progress.
		active map[*exchange]*activeRequest
		// broken counts the streams of each version that have broken off lately.
		broken map[acaciasite.Origin]int
		// known is what has last been recorded of each order.
		known map[string]acaciarollout.Explanation
		// storeReader asks for reads of the store before they are due; storeStale reports whether
		// what has been read of it doesn't suffice any more.
		storeReader   *acaciafollow.Refresher
		storeStale    bool
		tickScheduled bool
		// stalls measures for how long this process hasn't run; it is read anywhere, and ticks only while
		// ordered is set. stallWatcher wakes up who ticks.
		stalls       acaciarollout.StallClock
		ordered      atomic.Bool
		stallWatcher *acaciafollow.Refresher
	}

	// activeRequest says on which side of a rollout a request in progress counts.
	activeRequest struct {
		// request is the newest try, and version the software version that has got it; placed is
		// false while it waits.
		request *acaciaschedule.Request
		placed  bool
		version string
		// sent reports whether any endpoint has been given the request, sentToTarget whether one of
		// the target has.
		sent, sentToTarget bool
	}
)

const (
	// rolloutTickInterval is how often the evidence about an order is judged at least.
	rolloutTickInterval = 100 * time.Millisecond
	// brokenStreamTime is for how long a stream that has broken off counts as one that its caller may
	// resume. Callers come back after a pause of a second at most.
	brokenStreamTime = 2 * time.Second
)

// newRollouts returns nil if the settings have no bounds of rollouts.
func newRollouts(g *Gateway) *rollouts {
	if g.settings.ExposeShare <= 0 {
		return nil
	}
	return &rollouts{
		gateway:      g,
		table:        acaciarollout.New(acaciarollout.Process{Name: g.settings.Name, Run: g.startedAt}, rolloutSettings(&g.settings)),
		expectations: acaciarollout.NewExpectations(),
		orders:       map[string]acaciarollout.Order{},
		active:       map[*exchange]*activeRequest{},
		broken:       map[acaciasite.Origin]int{},
		known:        map[string]acaciarollout.Explanation{},
		storeReader:  acaciafollow.NewRefresher(),
		stallWatcher: acaciafollow.NewRefresher(),
		storeStale:   true,
	}
}

// applyOrders applies changes of the operators' topic; end is where it has been read to. complete reports
// whether they hold all orders that there are. seenToAppear reports whether what has changed has done so just now.
func (r *rollouts) applyOrders(changes []acaciaplatform.Change, end acaciaplatform.Position, complete, seenToAppear bool) {
	present := map[string]bool{}
	for _, change := range changes {
		if service, ok := change.RolloutService(); ok {
			present[service] = r.applyOrder(service, change, end.Era, seenToAppear)
		}
	}
	for service := range r.orders {
		// A copy from which the store was restored may lack an order that stands.
		if complete && !present[service] && end.Era == r.readTo.Era {
			r.table.Withdraw(service)
		}
	}
	r.readTo = end
	r.update()
}

// applyOrder applies one order, and reports whether the service has one now. One that can't be read
// counts as deleted, so that all gateways agree whenever they have read it.
func (r *rollouts) applyOrder(service string, change acaciaplatform.Change, era acaciaplatform.Era, seenToAppear bool) bool {
	g := r.gateway
	read, err := change.RolloutOrder()
	if err != nil {
		g.recorder.Record(acaciaevent.Event{Kind: acaciaevent.RolloutRefused, Service: service, Count: int64(change.Offset), Detail: err.Error()})
	}
	if read == nil {
		r.table.Withdraw(service)
		return false
	}
	order := acaciarollout.Order{
		Service: service, Target: read.Target, Duration: read.Duration,
		ID: rolloutPosition(acaciaplatform.Position{Era: era, Offset: change.Offset}),
	}
	age := acaciarollout.AgeUnknown
	if seenToAppear {
		age = 0
	}
	r.updateService(service)
	r.table.SetOrder(order, age, g.loop.Now())
	return true
}

// syncOrders applies what orders there are now, read or told by others.
func (r *rollouts) syncOrders() {
	g := r.gateway
	changed := false
	for service, order := range r.orders {
		if _, found := r.table.Order(service); found {
			continue
		}
		delete(r.orders, service)
		delete(r.known, service)
		g.metrics.rollouts.forget(service)
		g.recorder.Record(acaciaevent.Event{Kind: acaciaevent.RolloutWithdrawn, Service: service, Count: order.ID.Offset})
		changed = true
	}
	for _, service := range r.table.Services() {
		order, _ := r.table.Order(service)
		if r.orders[service] == order {
			continue
		}
		g.recorder.Record(acaciaevent.Event{
			Kind: acaciaevent.RolloutOrdered, Service: service, Count: order.ID.Offset, Detail: fmt.Sprintf("to version %q within %v", order.Target, order.Duration),
		})
		r.orders[service] = order
		changed = true
	}
	if changed {
		r.ordered.Store(len(r.orders) > 0)
		r.stallWatcher.WakeUp()
		r.rechooseWaiting()
		r.readStore()
	}
}

// readStore asks for a read of what the store says of the orders.
func (r *rollouts) readStore() {
	r.storeStale = true
	r.storeReader.WakeUp()
}

// updateService tells the table what limits the rollout of a service besides the evidence.
func (r *rollouts) updateService(service string) {
	g := r.gateway
	r.table.SetVersions(service, g.scheduler.CountVersions(service), g.loop.Now())
	r.table.SetLongestTimeout(service, longestTimeout(g.configuration.Load(), service))
}

// longestTimeout returns the longest timeout of the routes that send to a service.
func longestTimeout(configuration *loadedConfiguration, service string) time.Duration {
	longest := time.Duration(0)
	if configuration == nil {
		return defaultTimeout
	}
	for i := range configuration.Routes {
		if route := &configuration.Routes[i]; route.SendsTo(service) {
			longest = max(longest, route.TimeoutOr(defaultTimeout))
		}
	}
	return longest
}

// update applies what has changed since the last call, and goes on doing so while there are orders.
func (r *rollouts) update() {
	g := r.gateway
	now := g.loop.Now()
	r.syncOrders()
	for service := range r.orders {
		r.updateService(service)
	}
	r.countRunning()
	changed := r.table.Tick(now)
	r.recordProgress()
	r.rechooseWaiting()
	if changed {
		r.tellNow()
	}
	if len(r.orders) > 0 && !r.tickScheduled {
		r.tickScheduled = true
		g.loop.After(rolloutTickInterval, func() {
			r.tickScheduled = false
			r.update()
		})
	}
}

// tellNow tells the others at once of a verdict or step.
func (r *rollouts) tellNow() {
	r.recordProgress()
	r.rechooseWaiting()
	r.gateway.broadcast(false)
	r.storeReader.WakeUp()
	r.gateway.runScheduler()
}

// countRunning tells the table how many requests each side has here.
func (r *rollouts) countRunning() {
	if len(r.orders) == 0 {
		return
	}
	type side struct {
		service string
		side    acaciaschedule.Side
	}
	counts := map[side]int{}
	for x, active := range r.active {
		if order, ordered := r.orders[x.service]; ordered {
			counts[side{x.service, active.side(order.Target)}]++
		}
	}
	for origin, count := range r.broken {
		if order, ordered := r.orders[origin.Service]; ordered {
			counts[side{origin.Service, sideOf(origin.Version, order.Target)}] += count
		}
	}
	for service := range r.orders {
		r.table.SetRunning(service, counts[side{service, acaciaschedule.SideOld}], counts[side{service, acaciaschedule.SideTarget}])
	}
}

// sideOf returns the side of a version.
func sideOf(version, target string) acaciaschedule.Side {
	if version == target {
		return acaciaschedule.SideTarget
	}
	return acaciaschedule.SideOld
}

// end forgets a request. For a while, its stream counts as one that may go on if it has broken off.
func (r *rollouts) end(x *exchange, broken *acaciasite.Origin) {
	delete(r.active, x)
	if broken == nil {
		return
	}
	origin := *broken
	r.broken[origin]++
	r.gateway.loop.After(brokenStreamTime, func() {
		if r.broken[origin]--; r.broken[origin] == 0 {
			delete(r.broken, origin)
		}
	})
}

// side returns the side that a request runs on or waits for.
func (a *activeRequest) side(target string) acaciaschedule.Side {
	version := a.version
	switch {
	case a.request.VersionBound:
		version = a.request.Version
	case !a.placed:
		return a.request.Choice.Side
	}
	return sideOf(version, target)
}

// begin says where a request that is about to wait may go.
func (r *rollouts) begin(x *exchange, request *acaciaschedule.Request) {
	if r == nil {
		return
	}
	if earlier := r.active[x]; earlier != nil {
		earlier.request, earlier.placed = request, false
	} else {
		r.active[x] = &activeRequest{request: request}
	}
	r.restrict(x, request)
}

// restrict restricts a new request as the order of its service is now.
func (r *rollouts) restrict(x *exchange, request *acaciaschedule.Request) {
	if r == nil {
		return
	}
	if _, ordered := r.orders[x.service]; ordered {
		r.setChoice(x, request, r.choose(x.service, x.route.Name))
	}
}

// choose returns the table's choice as the scheduler's.
func (r *rollouts) choose(service, route string) acaciaschedule.VersionChoice {
	choice := r.table.Choose(service, route, r.gateway.loop.Now())
	result := acaciaschedule.VersionChoice{Target: choice.Target, Concentrate: choice.Concentrate, First: choice.First, Avoid: choice.Avoid}
	switch choice.Side {
	case acaciarollout.SideOld:
		result.Side = acaciaschedule.SideOld
		result.Banned = r.known[service].Verdict == acaciarollout.StateRolledBack
	case acaciarollout.SideTarget:
		result.Side = acaciaschedule.SideTarget
		if choice.Exposed {
			result.Side, result.Canary = acaciaschedule.SideOld, true
		}
	case acaciarollout.SideAny:
	}
	return result
}

// setChoice restricts a request. One that the target has had before goes to the old side if it may: a
// second failure there would cost its caller the answer.
func (r *rollouts) setChoice(x *exchange, request *acaciaschedule.Request, choice acaciaschedule.VersionChoice) {
	if active := r.active[x]; choice.Canary && active != nil && active.sentToTarget {
		choice.Canary = false
	}
	if len(request.AllowedEndpoints) > 0 && !choice.Banned {
		// The route allows no further endpoint, of whatever version those are that had it.
		choice = acaciaschedule.VersionChoice{}
	}
	request.Choice = choice
}

// rechooseWaiting restricts the waiting requests as the orders are now. A canary doesn't wait, so none
// becomes one here.
func (r *rollouts) rechooseWaiting() {
	type key struct{ service, route string }
	choices := map[key]acaciaschedule.VersionChoice{}
	for request, waiter := range r.gateway.waiters {
		x := waiter.exchange
		if _, ordered := r.orders[x.service]; !ordered {
			request.Choice = acaciaschedule.VersionChoice{}
			continue
		}
		k := key{x.service, x.route.Name}
		choice, known := choices[k]
		if !known {
			choice = r.choose(x.service, x.route.Name)
			choice.Canary = false
			choices[k] = choice
		}
		r.setChoice(x, request, choice)
	}
}

// recordSent counts a request that has got an endpoint, and returns what is to be observed of the call.
func (r *rollouts) recordSent(x *exchange, decision acaciaschedule.Decision) rolloutCall {
	if r == nil || decision.Endpoint == nil || r.active[x] == nil {
		return rolloutCall{}
	}
	g, active := r.gateway, r.active[x]
	active.placed, active.version = true, decision.Endpoint.Version
	if order, ordered := r.orders[x.service]; ordered {
		target := decision.Endpoint.Version == order.Target
		r.table.RecordSent(x.service, acaciarollout.Sent{Route: x.route.Name, Target: target, Again: active.sent}, g.loop.Now())
		active.sentToTarget = active.sentToTarget || target
	}
	active.sent = true
	return rolloutCall{
		expected: r.expectations.Of(x.service, x.route.Name, g.scheduler.PredictFirstByte(decision.Request)),
		far:      g.scheduler.InOtherRegion(decision.Endpoint.ID),
	}
}

// merge applies what another gateway tells.
func (r *rollouts) merge(message acaciapeer.Message) {
	if r == nil {
		return
	}
	changed := r.table.Merge(message.Process, message.Rollouts, r.gateway.loop.Now())
	if len(message.Rollouts.Orders) > 0 {
		r.syncOrders()
	}
	if len(r.orders) > 0 && !r.tickScheduled {
		r.update()
	}
	if changed {
		r.tellNow()
	}
}

// remove forgets a gateway that is no longer heard.
func (r *rollouts) remove(process string, mayBeAlive bool) {
	if r != nil {
		r.table.Remove(process, mayBeAlive, r.gateway.loop.Now())
	}
}

// newOutbox returns an outbox for a group of gateways, nil if the deployment has no orders.
func (r *rollouts) newOutbox() *acaciarollout.Outbox {
	if r == nil {
		return nil
	}
	return r.table.NewOutbox()
}

// report returns what the next message to a group tells.
func (r *rollouts) report(outbox *acaciarollout.Outbox) acaciarollout.Report {
	if r == nil {
		return acaciarollout.Report{}
	}
	r.countRunning()
	return outbox.Next(r.gateway.loop.Now())
}

// rolloutPosition returns the position of a record, as the table counts it: where the topic ends after it.
func rolloutPosition(at acaciaplatform.Position) acaciarollout.Position {
	return acaciarollout.Position{Era: int64(at.Era), Offset: int64(at.Offset) + 1}
}

// isTarget reports whether the endpoint is of the version to which its service is being moved.
func (r *rollouts) isTarget(endpoint *acaciasite.Endpoint) bool {
	order, ordered := r.orders[endpoint.Service]
	return ordered && order.Target == endpoint.Version
}
