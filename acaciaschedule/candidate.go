package acaciaschedule

import (
	"math"
	"time"
)

type (
	// option is an endpoint with what is the same for all requests and doesn't depend on the time. It is
	// kept from one decision to the next and set anew when the endpoint has changed.
	option struct {
		endpoint *endpoint
		usable   bool
		// steady reports whether the endpoint is usable and what it takes doesn't depend on the time;
		// open is the number of requests that it can be given then.
		steady        bool
		open          int
		inOtherRegion bool
		// interval is how long it takes to free a slot, zero if that is unknown; queueing is how long a
		// new request waits inside the endpoint, distance the penalty of the distance.
		interval time.Duration
		queueing time.Duration
		distance time.Duration
		// prefill is the number of tokens that it has to prefill.
		prefill float64
		// slowdown is how much slower than usual it prefills, factor by how much it is expected to
		// take longer than usual to the first byte, less roundingMargin.
		slowdown float64
		factor   float64
	}

	// choice is the search for an endpoint for one request.
	choice struct {
		pass           *pass
		request        *Request
		limitedOnly    bool
		least          leastCost
		free, occupied candidate
	}

	// candidate is an option that a request may go to, with what it is expected to cost.
	candidate struct {
		option *option
		cost   time.Duration
	}
)

const (
	// roundingMargin and roundingTime keep the least cost of an endpoint from being above its cost by
	// the rounding of floating-point numbers.
	roundingMargin = 1e-9
	roundingTime   = 8 * time.Nanosecond
)

// updateOption sets the option of an endpoint.
func (svc *service) updateOption(o *option, now time.Time) {
	s, e := svc.scheduler, o.endpoint
	o.usable = e.usable()
	o.steady = o.usable && e.steady(now)
	o.open = 0
	if o.steady {
		o.open = s.openSlots(e, now)
	}
	o.inOtherRegion = s.inOtherRegion(e)
	o.interval, o.queueing, o.distance = e.completionInterval(), e.queueingDelay(), s.distancePenalty(e)
	o.prefill = float64(e.ownPrefill + e.peerLoad.Prefill)
	o.slowdown = svc.slowdown(e) * (1 - roundingMargin)
	occupancy := float64(e.running()) / float64(e.info.Slots)
	o.factor = o.slowdown * (1 + loadPenalty*occupancy) * e.failureFactor() * float64(time.Second)
}

// rebuildOptions sets the options of all endpoints of a service, because its endpoints are others.
func (svc *service) rebuildOptions(now time.Time) {
	svc.options = make([]option, len(svc.sorted))
	for i, e := range svc.sorted {
		svc.options[i].endpoint, e.index = e, i
		svc.updateOption(&svc.options[i], now)
	}
}

// chooseEndpoint returns the endpoint with a free slot that is expected to serve the request
// best. It returns nil if there is none, and also if it is better to wait for a slot at an
// occupied endpoint; awaited is that endpoint. If limitedOnly is set, the free slots of endpoints
// without a limit go to other requests.
//
// Load pattern: many requests wait though slots are free, because occupied endpoints serve them sooner.
// Most endpoints are passed over by the least that they can cost, without looking for the prompt in the
// predicted contents of their caches.
func (p *pass) chooseEndpoint(request *Request, limitedOnly bool) (chosen, awaited *option) {
	p.service.choices++
	c := choice{pass: p, request: request, limitedOnly: limitedOnly, least: p.newLeastCost(request)}
	if p.passedOver < p.scheduler.floorsAfter || limitedOnly || !c.least.known {
		p.passedOver += len(p.service.options)
		for i := range p.service.options {
			c.consider(i)
		}
	} else {
		c.considerByFloor()
	}
	return c.result()
}

// considerByFloor considers the options that come into question, in the order of their floors.
func (c *choice) considerByFloor() {
	p := c.pass
	if p.floors == nil {
		p.floors = p.newFloors()
	}
	for _, i := range p.floors.apart {
		c.consider(i)
	}
	more := c.least.aboveFloor()
	if !c.request.Started {
		c.considerOrder(&p.floors.occupied, func(floor time.Duration) bool {
			return c.occupied.below(floor+more) || c.free.below(floor+more)
		})
	}
	// Whether any slot is free for the request makes a difference, also if it is better to wait.
	c.considerOrder(&p.floors.open, func(floor time.Duration) bool {
		return c.free.below(floor+more) || c.free.option != nil && c.occupied.below(floor+more)
	})
}

// considerOrder considers options in order until the floor of one ends it.
func (c *choice) considerOrder(order *floorOrder, ends func(floor time.Duration) bool) {
	for place := 0; ; place++ {
		next, found := order.at(place)
		if !found || ends(next.cost) {
			return
		}
		if c.pass.floors.awaiting[next.index] != noFloor {
			c.consider(next.index)
		}
	}
}

// consider makes an option a candidate if the request costs less there than at the best one so far.
func (c *choice) consider(index int) {
	p, request := c.pass, c.request
	o := &p.service.options[index]
	isFree, suitable := p.offer(o, request, c.limitedOnly)
	if !suitable {
		return
	}
	best := &c.occupied
	if isFree {
		best = &c.free
	}
	draw := p.scheduler.settings.Random()
	if best.below(c.least.at(o, o.endpoint.awaitingOthers(request), isFree, draw)) || request.excludes(o.endpoint) {
		return
	}
	best.improve(o, p.cost(o.endpoint, request, isFree, draw))
}

// result returns the option that the request gets, or the one that it waits for.
func (c *choice) result() (chosen, awaited *option) {
	free, occupied := &c.free, &c.occupied
	if c.request.Started || free.option == nil || occupied.option == nil || free.cost <= occupied.cost {
		return free.option, nil
	}
	return nil, occupied.option
}

// offer reports whether an option offers the request a free slot, and whether it is suitable: the
// request may be given that slot or wait for one there.
func (p *pass) offer(o *option, request *Request, limitedOnly bool) (isFree, suitable bool) {
	if o.steady {
		isFree = o.open > 0 && !limitedOnly
		return isFree, isFree || !o.inOtherRegion
	}
	e := o.endpoint
	if !o.usable && !request.VersionBound || !e.takesRequests(p.now) || !e.usableFor(request, p.now) || request.excludes(e) {
		return false, false
	}
	isFree = p.scheduler.openSlots(e, p.now) > 0 && (e.limiter.Limited || !limitedOnly)
	return isFree, isFree || !o.inOtherRegion && !e.limiter.Limited
}

// cost returns what the request is expected to cost at an endpoint, of which it gets a free slot or must
// wait for one.
func (p *pass) cost(e *endpoint, request *Request, isFree bool, draw float64) time.Duration {
	p.service.evaluations++
	c := p.costs(e, request, isFree, draw)
	return c.total()
}

// costs returns what the cost of the request at an endpoint is made of.
func (p *pass) costs(e *endpoint, request *Request, isFree bool, draw float64) costs {
	svc, others := p.service, e.awaitingOthers(request)
	slotWait := e.queueingDelay()
	if !isFree {
		slotWait = svc.queueWait(e, 1+others)
	}
	c := p.scheduler.expectedCosts(svc, e, request, slotWait, draw, p.now)
	c.prefill = svc.prefillCost(e, request, svc.waitingPerEndpoint(p.listed, p.usable))
	if isFree {
		c.awaiting = svc.queueWait(e, others)
	}
	return c
}

// improve replaces the candidate by an option if that costs less; of options with equal costs the first is
// preferred.
func (c *candidate) improve(o *option, cost time.Duration) {
	if c.option == nil || cost < c.cost || cost == c.cost && o.endpoint.index < c.option.endpoint.index {
		c.option, c.cost = o, cost
	}
}

// below reports whether there is a candidate that costs less.
func (c *candidate) below(cost time.Duration) bool {
	return c.option != nil && c.cost < cost
}

// leastCost tells the least that a request can cost at an endpoint, whatever that has in its cache.
type leastCost struct {
	service *service
	// tokens is the least number of tokens that any endpoint has to prefill for the request, prefill
	// the time that it adds to the waits of others at an endpoint of usual speed.
	tokens  float64
	prefill float64
	// late is what a request that is late already loses with its objective.
	late time.Duration
	// known is false if the cost has no lower bound that is worth while.
	known bool
}

func (p *pass) newLeastCost(request *Request) leastCost {
	uncached := float64(request.PromptTokens - min(request.segmentTokens, request.PromptTokens))
	late := time.Duration(0)
	if request.late {
		late = request.Objective.Sub(request.Arrived)
	}
	return leastCost{
		late:    late,
		service: p.service, tokens: uncached, known: !request.Objective.Before(request.Arrived),
		prefill: uncached * p.service.firstByteModel.secondsPerToken() * p.service.waitingPerEndpoint(p.listed, p.usable) * float64(time.Second),
	}
}

// at returns the least cost at an endpoint for which a number of other requests wait and which has a free
// slot or none; draw is the random number for the jitter.
func (l *leastCost) at(o *option, awaiting int, isFree bool, draw float64) time.Duration {
	if !l.known {
		return math.MinInt64
	}
	interval := o.interval
	if interval == 0 {
		interval = l.service.queueWait(o.endpoint, 1)
	}
	seconds := l.service.firstByteModel.predictSeconds(l.tokens + o.prefill)
	expected := time.Duration(seconds*o.factor) + o.distance + l.late - roundingTime
	others := interval * time.Duration(awaiting)
	if isFree {
		expected += o.queueing
	} else {
		expected += interval + others
		others = 0
	}
	jitter := time.Duration(draw * float64(expected) * expectedTimeJitter * (1 - roundingMargin))
	return expected + jitter + others + time.Duration(l.prefill*o.slowdown) - roundingTime
}

// aboveFloor returns by how much the least cost of the request is above the floor of any endpoint. The time to
// the first byte grows with the tokens, and does so least where there are none to be prefilled before.
func (l *leastCost) aboveFloor() time.Duration {
	model := &l.service.firstByteModel
	seconds := model.predictSeconds(l.tokens) - model.predictSeconds(0)
	return l.late + time.Duration((seconds*float64(time.Second)+l.prefill)*minSlowdown*(1-roundingMargin)) - roundingTime
}
