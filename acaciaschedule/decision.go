package acaciaschedule

import (
	"time"

	"github.com/acaciaroute/acaciaroute/acaciasite"
)

type (
	// Decision is the outcome for a waiting request.
	Decision struct {
		Request *Request
		// Endpoint is where the request runs; nil if it is rejected.
		Endpoint *acaciasite.Endpoint
		// VersionGone reports whether the request is rejected because no endpoint is left of the
		// software version that it is bound to.
		VersionGone bool
		// DecidedAt is the time of the decision.
		DecidedAt time.Time
		// RetryAfter is the delay after which the caller of a rejected request should retry.
		RetryAfter time.Duration
		// Inputs are the values on which the decision was based.
		Inputs Inputs
	}

	// Inputs are the values on which a decision was based.
	Inputs struct {
		// Endpoints is the number of usable endpoints of the service, Free the number of
		// their free slots.
		Endpoints int
		Free      int
		// Waiting is the number of requests that waited in this process, PeersWaiting in
		// the others.
		Waiting      int
		PeersWaiting int
		// ExpectedWait is the expected wait for a slot, UsualFirstByte the usual
		// time from there to the first byte of the response.
		ExpectedWait   time.Duration
		UsualFirstByte time.Duration
		// ExpectedEvents is the expected number of events of the response, ExpectedSlotTime the time for which the
		// request is expected to hold a slot, WorkAhead that of the requests that go before it in all processes.
		ExpectedEvents   float64
		ExpectedSlotTime time.Duration
		WorkAhead        time.Duration
		// ExpectedFirstByte is the expected time to the first byte at the chosen
		// endpoint.
		ExpectedFirstByte time.Duration
		// OldestReport is the age of the oldest report in use of another process.
		OldestReport time.Duration
		// Window is how many unanswered requests the chosen endpoint may have; zero unless it is
		// recovering.
		Window int
	}
)

const (
	// decisionLifetime is how long a decision may be carried out.
	decisionLifetime = time.Second
	// decisionInterval is the time after which the requests of a service are decided on again though
	// nothing has changed: requests become late, suspensions and backoffs end.
	decisionInterval = 10 * time.Millisecond
)

// Expired reports whether so much time has passed since the decision that its endpoint may have
// left. It compares the wall clock, too: the monotonic clock stops while the machine is suspended.
func (d *Decision) Expired(now time.Time) bool {
	age := max(now.Sub(d.DecidedAt), now.Round(0).Sub(d.DecidedAt.Round(0)))
	return age >= decisionLifetime
}

// DecideWaiting decides on the waiting requests. Those in the returned decisions
// have left the queue.
func (s *Scheduler) DecideWaiting(now time.Time) []Decision {
	s.expireReports(now)
	var decisions []Decision
	for _, svc := range s.services {
		if svc.decisionDue(now) {
			decisions = append(decisions, s.decideService(svc, now)...)
		}
	}
	return decisions
}

// decisionDue reports whether the waiting requests of a service are to be decided on.
func (svc *service) decisionDue(now time.Time) bool {
	return len(svc.waiting) > 0 && (svc.changed || now.Sub(svc.decidedAt) >= decisionInterval)
}

// decideService decides on the waiting requests of one service.
func (s *Scheduler) decideService(svc *service, now time.Time) []Decision {
	svc.changed, svc.decidedAt = false, now
	s.sortWaiting(svc, now)
	p := s.newPass(svc, now)
	var decisions []Decision
	for i, request := range svc.waiting {
		p.remaining = len(svc.waiting) - i
		if decision, decided := p.decide(request); decided {
			svc.uncount(request)
			svc.changed, p.waitKnown = true, false
			decisions = append(decisions, decision)
			continue
		}
		svc.waiting[p.kept] = request
		p.keep(request)
	}
	clear(svc.waiting[p.kept:])
	svc.waiting = svc.waiting[:p.kept]
	svc.updateWaitingSince(now)
	return decisions
}

// assign gives a request a slot at an endpoint and counts its cost as recent use.
func (s *Scheduler) assign(svc *service, e *endpoint, request *Request, now time.Time) {
	request.endpoint, request.placedAt = e, now
	request.occupancy = float64(e.running()) / float64(e.info.Slots)
	request.prefillTokens = e.tokensToPrefill(request)
	svc.sizes.recordDecision(request, true, now)
	e.ownRunning++
	e.markChanged()
	e.limiter.take()
	e.paceRequest(now)
	e.startPrefill(request)
	if len(request.Prompt) > 0 {
		svc.recordPrompt(e, request.Prompt)
		s.sentPrompts = append(s.sentPrompts, SentPrompt{KeyOf(e.info.ID), request.Prompt})
	}
	if request.Share > 0 {
		request.recentUse.add(request.Cost/request.Share, now)
	}
}
