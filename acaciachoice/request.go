package acaciachoice

import (
	"time"

	"github.com/acaciaroute/acaciaroute"
)

type (
	// request is one request's search for a place.
	request struct {
		chooser     *Chooser
		reservation acaciaroute.Reservation
		yieldsFirst bool
		submitted   time.Time
		deadline    time.Time
		candidates  []acaciaroute.Candidate
		stage       int
		asked       int
		again       acaciaroute.Timer
		expiry      acaciaroute.Timer
		// away tells that the request waits until an endpoint can be asked.
		away bool
		// linkWanted tells that the request waits for the link to other regions.
		linkWanted bool
		done       func(Decision)
		finished   bool
	}
)

func (r *request) begin() {
	slack := r.deadline.Sub(r.chooser.loop.Now())
	r.expiry = r.chooser.loop.After(slack, func() { r.refuse(acaciaroute.CodeDeadlineTooNear) })
	r.search()
}

// search looks for a place among all endpoints that are known now.
func (r *request) search() {
	r.away = false
	r.candidates = r.chooser.candidates(r.reservation)
	r.stage, r.asked = 0, 0
	if len(r.candidates) < 2 {
		r.reservation.Repeatable = false
	}
	switch {
	case len(r.candidates) > 0:
		r.askMore()
	case len(r.reservation.Avoid) > 0:
		// Its caller waits to be told of the run that broke off.
		r.refuse(acaciaroute.CodeNoEndpoint)
	default:
		r.awaitEndpoint()
	}
}

// askMore asks the policy whom to ask next, until it names somebody or waits.
func (r *request) askMore() {
	if r.finished {
		return
	}
	r.stopAgain()
	choice := r.chooser.policy.Choose(acaciaroute.Question{
		Reservation: r.reservation,
		YieldsFirst: r.yieldsFirst,
		Stage:       r.stage,
		Waited:      r.chooser.loop.Now().Sub(r.submitted),
		LinkOpen:    r.chooser.budget.open(r.chooser.loop.Now(), r.reservation.Rank),
		Candidates:  r.candidates,
	})
	r.stage++
	r.wantLink(choice.LinkWanted)
	for _, position := range choice.Ask {
		r.ask(position)
		if r.finished {
			return
		}
	}
	if choice.Again > 0 {
		r.again = r.chooser.loop.After(choice.Again, r.askMore)
	}
	r.shedIfHopeless()
}

// wantLink notes whether the request waits for the link to other regions.
func (r *request) wantLink(wanted bool) {
	if wanted == r.linkWanted {
		return
	}
	r.linkWanted = wanted
	if !wanted {
		r.chooser.budget.wait(r.chooser.loop.Now(), r.reservation.Rank, -1)
		return
	}
	r.chooser.budget.wait(r.chooser.loop.Now(), r.reservation.Rank, 1)
	r.chooser.yield(r.reservation.Rank)
}

// leaveRegions withdraws the reservations in other regions; they may be asked again.
func (r *request) leaveRegions() {
	for i := range r.candidates {
		candidate := &r.candidates[i]
		if !candidate.Asked || !candidate.Remote {
			continue
		}
		r.chooser.link.Withdraw(candidate.Address, r.reservation.RequestID)
		candidate.Asked = false
		candidate.Offer = acaciaroute.Offer{}
		r.asked--
	}
	if r.again == nil {
		r.again = r.chooser.loop.After(linkTime, r.askMore)
	}
}

func (r *request) ask(position int) {
	candidate := &r.candidates[position]
	if candidate.Asked {
		return
	}
	candidate.Asked = true
	r.asked++
	reservation := r.reservation
	reservation.Slack = r.deadline.Sub(r.chooser.loop.Now())
	reservation.Remote = candidate.Remote
	r.chooser.link.Reserve(candidate.Address, reservation, func(offer acaciaroute.Offer) {
		r.take(position, offer)
	})
}

// take handles an agent's offer.
func (r *request) take(position int, offer acaciaroute.Offer) {
	candidate := &r.candidates[position]
	r.chooser.Hint(candidate.ID, offer.Hint)
	if r.finished || !candidate.Asked {
		return
	}
	first := candidate.Offer.Kind == 0
	slowed := offer.Hint.Straggling && !candidate.Offer.Hint.Straggling
	candidate.Offer = offer
	switch offer.Kind {
	case acaciaroute.OfferGranted:
		r.takeGrant(candidate)
	case acaciaroute.OfferWaiting:
		if first || slowed {
			r.askMore()
		}
	default:
		if r.allAnswered() {
			r.askMore()
		}
	}
}

// takeGrant accepts a grant unless its endpoint has begun to leave since it was
// asked; an agent that was frozen does not know that yet.
func (r *request) takeGrant(candidate *acaciaroute.Candidate) {
	if r.chooser.live[candidate.ID] {
		r.accept(*candidate)
		return
	}
	r.chooser.link.Withdraw(candidate.Address, r.reservation.RequestID)
	candidate.Offer.Kind = acaciaroute.OfferRefused
	if r.allAnswered() {
		r.askMore()
	}
}

func (r *request) accept(candidate acaciaroute.Candidate) {
	r.finish(candidate.ID)
	r.chooser.returns.Granted(r.chooser.loop.Now(), r.reservation.Class)
	r.chooser.memory.Add(r.reservation.Prefixes, candidate.ID)
	decision := r.decision(acaciaroute.CodeOK)
	decision.Candidate = candidate
	decision.Grant = candidate.Offer.Grant
	if candidate.Remote {
		decision.LinkBytes = r.chooser.budget.spend(r.chooser.loop.Now(), r.reservation.Class)
	}
	r.done(decision)
}

// allAnswered reports whether every agent asked has said that it cannot help.
func (r *request) allAnswered() bool {
	for i := range r.candidates {
		if r.candidates[i].Asked && !declined(&r.candidates[i]) {
			return false
		}
	}
	return true
}

// declined reports whether the candidate's last word was that it cannot help.
func declined(candidate *acaciaroute.Candidate) bool {
	kind := candidate.Offer.Kind
	return kind == acaciaroute.OfferHopeless || kind == acaciaroute.OfferRefused
}

// shedIfHopeless gives the request up once every candidate has declined it: a
// higher class is never shed on the word of a few. For the class that yields first
// a few are enough.
func (r *request) shedIfHopeless() {
	if r.finished || !r.allAnswered() {
		return
	}
	if r.asked == len(r.candidates) || r.reservation.Alone && queued(r.candidates) > 0 || r.yieldsFirst && queued(r.candidates) >= fewAsked {
		if r.noneServes() {
			r.awaitEndpoint()
			return
		}
		r.refuse(acaciaroute.CodeShed)
	}
}

// noneServes reports whether every agent asked refuses all work or cannot be reached:
// none has said that it would be too late for this request.
func (r *request) noneServes() bool {
	for i := range r.candidates {
		offer := r.candidates[i].Offer
		if r.candidates[i].Asked && (offer.Kind != acaciaroute.OfferRefused || offer.TooLate) {
			return false
		}
	}
	return true
}

func (r *request) refuse(code acaciaroute.Code) {
	if r.finished {
		return
	}
	var wait time.Duration
	for i := range r.candidates {
		offer := r.candidates[i].Offer
		if offer.Wait > 0 && (wait == 0 || offer.Wait < wait) {
			wait = offer.Wait
		}
	}
	r.finish("")
	decision := r.decision(code)
	refusal := Refusal{Class: r.reservation.Class, Slack: r.reservation.Slack, Wait: wait, Unserved: code == acaciaroute.CodeNoEndpoint}
	decision.RetryAfter = r.chooser.returns.After(r.chooser.loop.Now(), refusal)
	r.done(decision)
}

// decision returns a decision that tells what the agents have said so far.
func (r *request) decision(code acaciaroute.Code) Decision {
	decision := Decision{Code: code, Endpoints: len(r.candidates), Asked: r.asked}
	for i := range r.candidates {
		candidate := &r.candidates[i]
		switch {
		case !candidate.Asked:
		case candidate.Offer.Kind == 0:
			decision.Silent++
		case declined(candidate):
			decision.Declined++
		}
	}
	return decision
}

// finish withdraws all reservations but the one that was taken.
func (r *request) finish(taken string) {
	r.finished = true
	r.wantLink(false)
	delete(r.chooser.requests, r.reservation.RequestID)
	r.stopAgain()
	if r.expiry != nil {
		r.expiry.Stop()
	}
	for i := range r.candidates {
		candidate := &r.candidates[i]
		if candidate.Asked && candidate.ID != taken && candidate.Offer.Kind != acaciaroute.OfferRefused {
			r.chooser.link.Withdraw(candidate.Address, r.reservation.RequestID)
		}
	}
}

func (r *request) stopAgain() {
	if r.again != nil {
		r.again.Stop()
		r.again = nil
	}
}
