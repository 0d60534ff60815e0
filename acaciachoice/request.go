package acaciachoice

import (
	"time"

	"github.com/acaciaroute/acaciaroute"
)

type (
	// request is the search of one request for an endpoint.
	request struct {
		chooser         *Chooser
		reservation     acaciaroute.Reservation
		isLowestClass   bool
		submitted       time.Time
		deadline        time.Time
		candidates      []acaciaroute.Candidate
		previousChoices int
		askedCount      int
		askAgainTimer   acaciaroute.Timer
		deadlineTimer   acaciaroute.Timer
		// awaitingEndpoint reports whether the request is waiting until an endpoint is
		// available.
		awaitingEndpoint bool
		// needsLink reports whether the request is waiting for the link to other
		// regions.
		needsLink bool
		done      func(Decision)
		finished  bool
	}
)

// startSearch sets the timer for the deadline and starts the search.
func (r *request) startSearch() {
	slack := r.deadline.Sub(r.chooser.loop.Now())
	r.deadlineTimer = r.chooser.loop.After(slack, func() { r.refuseRequest(acaciaroute.CodeDeadlineTooNear) })
	r.searchEndpoints()
}

// searchEndpoints starts or restarts the search among all endpoints known now.
func (r *request) searchEndpoints() {
	r.awaitingEndpoint = false
	r.candidates = r.chooser.findCandidates(r.reservation)
	r.previousChoices, r.askedCount = 0, 0
	if len(r.candidates) < 2 {
		r.reservation.Repeatable = false
	}
	switch {
	case len(r.candidates) > 0:
		r.askNextEndpoints()
	case len(r.reservation.ExcludedEndpoints) > 0:
		// An earlier run of the request ended early, and the caller is already waiting
		// for its result, so the request does not wait for an endpoint.
		r.refuseRequest(acaciaroute.CodeNoEndpoint)
	default:
		r.awaitEndpoint()
	}
}

// askNextEndpoints lets the policy choose the endpoints to ask next, sends them the
// reservation and sets the timer for the policy's next choice.
func (r *request) askNextEndpoints() {
	if r.finished {
		return
	}
	r.stopAskAgainTimer()
	choice := r.chooser.policy.Choose(acaciaroute.PolicyInput{
		Reservation:     r.reservation,
		IsLowestClass:   r.isLowestClass,
		PreviousChoices: r.previousChoices,
		Waited:          r.chooser.loop.Now().Sub(r.submitted),
		LinkAllowed:     r.chooser.linkBudget.allows(r.chooser.loop.Now(), r.reservation.Rank),
		Candidates:      r.candidates,
	})
	r.previousChoices++
	r.setNeedsLink(choice.NeedsLink)
	for _, position := range choice.CandidatesToAsk {
		r.sendReservation(position)
		if r.finished {
			return
		}
	}
	if choice.AskAgainAfter > 0 {
		r.askAgainTimer = r.chooser.loop.After(choice.AskAgainAfter, r.askNextEndpoints)
	}
	r.shedIfDeclined()
}

// setNeedsLink records whether the request is waiting for the link to other regions.
// When the wait begins, lower classes withdraw their reservations there.
func (r *request) setNeedsLink(needsLink bool) {
	if needsLink == r.needsLink {
		return
	}
	r.needsLink = needsLink
	if !needsLink {
		r.chooser.linkBudget.addWaiting(r.chooser.loop.Now(), r.reservation.Rank, -1)
		return
	}
	r.chooser.linkBudget.addWaiting(r.chooser.loop.Now(), r.reservation.Rank, 1)
	r.chooser.withdrawRemoteBelow(r.reservation.Rank)
}

// withdrawRemote withdraws the reservations in other regions; the request may ask those
// endpoints again later.
func (r *request) withdrawRemote() {
	for i := range r.candidates {
		candidate := &r.candidates[i]
		if !candidate.ReservationSent || !candidate.Remote {
			continue
		}
		r.chooser.link.Withdraw(candidate.Address, r.reservation.RequestID)
		candidate.ReservationSent = false
		candidate.Offer = acaciaroute.Offer{}
		r.askedCount--
	}
	if r.askAgainTimer == nil {
		r.askAgainTimer = r.chooser.loop.After(linkRetryInterval, r.askNextEndpoints)
	}
}

// sendReservation sends the reservation to a candidate that was not asked before.
func (r *request) sendReservation(position int) {
	candidate := &r.candidates[position]
	if candidate.ReservationSent {
		return
	}
	candidate.ReservationSent = true
	r.askedCount++
	reservation := r.reservation
	reservation.Slack = r.deadline.Sub(r.chooser.loop.Now())
	reservation.Remote = candidate.Remote
	r.chooser.link.Reserve(candidate.Address, reservation, func(offer acaciaroute.Offer) {
		r.handleOffer(position, offer)
	})
}

// handleOffer records an agent's offer. It accepts a grant, and continues the search when
// a candidate sends its first offer or becomes slow, or when every agent asked has
// declined.
func (r *request) handleOffer(position int, offer acaciaroute.Offer) {
	candidate := &r.candidates[position]
	r.chooser.RecordHint(candidate.ID, offer.Hint)
	if r.finished || !candidate.ReservationSent {
		return
	}
	first := candidate.Offer.Kind == 0
	slowed := offer.Hint.Straggling && !candidate.Offer.Hint.Straggling
	candidate.Offer = offer
	switch offer.Kind {
	case acaciaroute.OfferGranted:
		r.handleGrant(candidate)
	case acaciaroute.OfferWaiting:
		if first || slowed {
			r.askNextEndpoints()
		}
	default:
		if r.allAskedDeclined() {
			r.askNextEndpoints()
		}
	}
}

// handleGrant accepts a grant unless its endpoint is no longer live: an agent that was
// suspended may not know yet that its VM is leaving.
func (r *request) handleGrant(candidate *acaciaroute.Candidate) {
	if r.chooser.liveEndpoints[candidate.ID] {
		r.acceptGrant(*candidate)
		return
	}
	r.chooser.link.Withdraw(candidate.Address, r.reservation.RequestID)
	candidate.Offer.Kind = acaciaroute.OfferRefused
	if r.allAskedDeclined() {
		r.askNextEndpoints()
	}
}

// acceptGrant ends the search with the candidate's grant.
func (r *request) acceptGrant(candidate acaciaroute.Candidate) {
	r.finishRequest(candidate.ID)
	r.chooser.retryRule.RecordGrant(r.chooser.loop.Now(), r.reservation.Class)
	r.chooser.nodeIndex.Add(r.reservation.Prefixes, candidate.ID)
	decision := r.newDecision(acaciaroute.CodeOK)
	decision.Candidate = candidate
	decision.GrantNumber = candidate.Offer.GrantNumber
	if candidate.Remote {
		decision.RegionLinkBytes = r.chooser.linkBudget.debitExpected(r.chooser.loop.Now(), r.reservation.Class)
	}
	r.done(decision)
}

// allAskedDeclined reports whether every agent asked has declined.
func (r *request) allAskedDeclined() bool {
	for i := range r.candidates {
		if r.candidates[i].ReservationSent && !hasDeclined(&r.candidates[i]) {
			return false
		}
	}
	return true
}

// hasDeclined reports whether the candidate's last offer was a refusal or said that the
// grant would come too late.
func hasDeclined(candidate *acaciaroute.Candidate) bool {
	kind := candidate.Offer.Kind
	return kind == acaciaroute.OfferTooLate || kind == acaciaroute.OfferRefused
}

// shedIfDeclined refuses the request with CodeShed once every candidate has declined it:
// a higher class is never shed because only some agents declined. Fewer are enough for a
// request of the lowest class, which is queued at a few endpoints only, and for one that
// must run alone, which asks one endpoint at a time. If every agent asked is
// unavailable, the request waits for an endpoint instead.
func (r *request) shedIfDeclined() {
	if r.finished || !r.allAskedDeclined() {
		return
	}
	if r.askedCount == len(r.candidates) || r.reservation.Exclusive && countNotRefused(r.candidates) > 0 || r.isLowestClass && countNotRefused(r.candidates) >= lowestClassQueues {
		if r.allAskedUnavailable() {
			r.awaitEndpoint()
			return
		}
		r.refuseRequest(acaciaroute.CodeShed)
	}
}

// allAskedUnavailable reports whether every agent asked refuses all work or cannot be
// reached, so that none has declined because its first token would come too late.
func (r *request) allAskedUnavailable() bool {
	for i := range r.candidates {
		offer := r.candidates[i].Offer
		if r.candidates[i].ReservationSent && (offer.Kind != acaciaroute.OfferRefused || offer.RefusedTooLate) {
			return false
		}
	}
	return true
}

// refuseRequest ends the search without a grant. The time after which the caller should
// retry takes into account the shortest wait that an agent has offered.
func (r *request) refuseRequest(code acaciaroute.Code) {
	if r.finished {
		return
	}
	var wait time.Duration
	for i := range r.candidates {
		offer := r.candidates[i].Offer
		if offer.ExpectedWait > 0 && (wait == 0 || offer.ExpectedWait < wait) {
			wait = offer.ExpectedWait
		}
	}
	r.finishRequest("")
	decision := r.newDecision(code)
	refusal := Refusal{Class: r.reservation.Class, Slack: r.reservation.Slack, Wait: wait, NoEndpoint: code == acaciaroute.CodeNoEndpoint}
	decision.RetryAfter = r.chooser.retryRule.RetryAfter(r.chooser.loop.Now(), refusal)
	r.done(decision)
}

// newDecision returns a decision that counts the agents' offers so far.
func (r *request) newDecision(code acaciaroute.Code) Decision {
	decision := Decision{Code: code, Endpoints: len(r.candidates), Asked: r.askedCount}
	for i := range r.candidates {
		candidate := &r.candidates[i]
		switch {
		case !candidate.ReservationSent:
		case candidate.Offer.Kind == 0:
			decision.Silent++
		case hasDeclined(candidate):
			decision.Declined++
		}
	}
	return decision
}

// finishRequest ends the search and withdraws all reservations except the one at the
// endpoint keptID.
func (r *request) finishRequest(keptID string) {
	r.finished = true
	r.setNeedsLink(false)
	delete(r.chooser.requests, r.reservation.RequestID)
	r.stopAskAgainTimer()
	if r.deadlineTimer != nil {
		r.deadlineTimer.Stop()
	}
	for i := range r.candidates {
		candidate := &r.candidates[i]
		if candidate.ReservationSent && candidate.ID != keptID && candidate.Offer.Kind != acaciaroute.OfferRefused {
			r.chooser.link.Withdraw(candidate.Address, r.reservation.RequestID)
		}
	}
}

func (r *request) stopAskAgainTimer() {
	if r.askAgainTimer != nil {
		r.askAgainTimer.Stop()
		r.askAgainTimer = nil
	}
}
