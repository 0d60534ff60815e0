package acaciaschedule

import "time"

// Load pattern: at the top of a load peak hundreds of requests wait, and each of hundreds of events a
// second asks for decisions. A process whose decisions take longer than the time between two events
// decides on old news and refuses what it could serve.

type (
	// pass is one run over the waiting requests of a service, in the order of the queue.
	pass struct {
		scheduler *Scheduler
		service   *service
		now       time.Time
		// at is now from the scheduler's epoch on.
		at time.Duration
		// shared is the number of free slots that all processes may use, own that of those that only this
		// process may use.
		shared, own int
		// blocked is the number of requests passed that wait for one of the shared slots.
		blocked int
		// kept is the number of requests passed that go on waiting, remaining that of those not passed yet,
		// the present one included; listed is the number of both when a request was last passed.
		kept, remaining, listed int
		// usable is the number of usable endpoints.
		usable int
		// passedOver is the number of endpoints that were passed over so far, each counted for each request.
		// floors orders them after many; nil until then.
		passedOver int
		floors     *floors
		// keptWork is the sum of the waitShare of the requests passed that go on waiting, in nanoseconds.
		keptWork float64
		// wait is the expected wait of requests of waitRank if no request has a hint, waitSlots the number of slots
		// that they may expect, if waitKnown.
		wait      time.Duration
		waitSlots float64
		waitRank  int
		waitKnown bool
		// oldestReport is the age of the oldest report in use of another process.
		oldestReport time.Duration
	}

	// verdict is what becomes of a waiting request.
	verdict int
)

// The verdicts.
const (
	verdictWaits verdict = iota
	verdictPlaced
	verdictRefused
	verdictVersionGone
)

// newPass returns a pass over the sorted queue of a service.
func (s *Scheduler) newPass(svc *service, now time.Time) *pass {
	p := &pass{scheduler: s, service: svc, now: now, at: now.Sub(s.epoch), listed: len(svc.waiting)}
	p.shared, p.own = s.freeSlotsByOwner(svc, now)
	p.usable = svc.sums.usable
	for _, reportedAt := range s.lastReports {
		p.oldestReport = max(p.oldestReport, now.Sub(reportedAt))
	}
	return p
}

// keep counts a request that goes on waiting.
func (p *pass) keep(request *Request) {
	p.kept++
	p.keptWork += float64(request.waitShare)
}

// decide decides on the next request, carries the decision out and reports whether the request leaves the queue.
func (p *pass) decide(request *Request) (Decision, bool) {
	v, chosen := p.judge(request)
	switch v {
	case verdictVersionGone:
		p.await(request, nil)
		return Decision{Request: request, VersionGone: true, DecidedAt: p.now, Inputs: p.inputs(request)}, true
	case verdictPlaced:
		return p.place(request, chosen), true
	case verdictRefused:
		p.service.sizes.recordDecision(request, false, p.now)
		p.await(request, nil)
		retryAfter := p.scheduler.retryAfter(request, p.expectedWait(request), p.now)
		return Decision{Request: request, DecidedAt: p.now, RetryAfter: retryAfter, Inputs: p.inputs(request)}, true
	case verdictWaits:
	}
	return Decision{}, false
}

// judge returns what becomes of the next request, with the option that it gets. It gives away no slot.
func (p *pass) judge(request *Request) (verdict, *option) {
	svc := p.service
	svc.relaxChoice(request)
	if svc.versionGone(request, p.now) {
		return verdictVersionGone, nil
	}
	chosen := p.choose(request)
	p.listed = p.kept + p.remaining
	switch {
	case chosen != nil:
		return verdictPlaced, chosen
	case p.at >= request.deadlineAt || p.waitsTooLong(request):
		return verdictRefused, nil
	}
	return verdictWaits, nil
}

// choose returns the option that the request gets now, nil if none.
//
// A slot that other processes also see as free goes to the request that is first across all
// processes. Requests for which no free slot is suitable do not count as waiting for one.
func (p *pass) choose(request *Request) *option {
	request.unplaceable = false
	if canary := p.chooseCanary(request); canary != nil {
		request.await(nil)
		return canary
	}
	isNext := p.isNext(request)
	var chosen, awaited *option
	if isNext || p.own > 0 {
		chosen, awaited = p.chooseEndpoint(request, !isNext)
	}
	if !isNext {
		p.await(request, nil)
		if chosen == nil {
			p.blocked++
		}
		return chosen
	}
	request.unplaceable = chosen == nil
	if awaited == nil {
		p.await(request, nil)
	} else {
		p.await(request, awaited.endpoint)
	}
	return chosen
}

// isNext reports whether one of the free slots is the request's. The rest of a stream is ahead of all
// others wherever it may go on.
func (p *pass) isNext(request *Request) bool {
	return request.VersionBound || p.blocked < p.shared && p.blocked+p.service.countPeerAhead(request, p.now) < p.shared
}

// place gives the request a slot at an endpoint.
func (p *pass) place(request *Request, chosen *option) Decision {
	e := chosen.endpoint
	inputs := p.inputs(request)
	inputs.ExpectedFirstByte = p.service.expectedFirstByte(e, request)
	inputs.Window = e.windowInForce(p.now)
	info := e.info
	p.scheduler.assign(p.service, e, request, p.now)
	p.service.updateOption(chosen, p.now)
	if p.floors != nil {
		p.floors.setApart(e.index)
		p.limitApart()
	}
	switch {
	case !e.usable():
		// A draining endpoint's slots are not among those that were counted.
	case e.limiter.Limited:
		p.own--
	default:
		p.shared--
	}
	return Decision{Request: request, DecidedAt: p.now, Inputs: inputs, Endpoint: &info}
}

// waitsTooLong reports whether the first byte is expected so late that the request should be
// rejected, for the caller to retry later.
func (p *pass) waitsTooLong(request *Request) bool {
	return !request.Started && p.at-request.arrivedAt+p.expectedWait(request)+request.usual > request.maxWait
}

// expectedWait returns how long the request is expected to wait for a slot. Unless requests have hints or are bound to a
// version, it is the same for all of a rank until the next one leaves the queue, and so are the slots.
func (p *pass) expectedWait(request *Request) time.Duration {
	svc := p.service
	if request.VersionBound {
		return svc.expectedWait(request, p.keptWork, p.now)
	}
	if !p.waitKnown {
		p.waitSlots = svc.takenSlots(request, p.now)
	}
	if !p.waitKnown || svc.sizes.hinted || p.waitRank != request.countedRank {
		p.wait = svc.waitWith(p.waitSlots, request, p.keptWork, p.now)
		p.waitRank, p.waitKnown = request.countedRank, true
	}
	return p.wait
}

// inputs returns the values on which a decision on the request is based.
func (p *pass) inputs(request *Request) Inputs {
	return Inputs{
		Endpoints:      p.usable,
		Free:           p.shared + p.own,
		Waiting:        p.listed,
		PeersWaiting:   p.service.peerRanks.total,
		ExpectedWait:   p.expectedWait(request),
		UsualFirstByte: request.usual,
		OldestReport:   p.oldestReport,

		ExpectedEvents:   request.expectedEvents,
		ExpectedSlotTime: request.expectedSlotTime,
		WorkAhead:        time.Duration(min(p.service.workAhead(request, p.keptWork), float64(maxExpectedWait))),
	}
}
