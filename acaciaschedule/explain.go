package acaciaschedule

import (
	"math"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciatoml"
)

type (
	// Outcome is what would become of a request now.
	Outcome string

	// Explanation says what would become of a request now, and why. Durations are encoded as text.
	Explanation struct {
		Outcome Outcome `json:"outcome"`
		// Endpoint is where the request would go now, AwaitedEndpoint the one for whose slot it would wait
		// though others are free.
		Endpoint        string `json:"endpoint,omitempty"`
		AwaitedEndpoint string `json:"awaited_endpoint,omitempty"`
		// Canary reports whether it would go to a rollout's target as one of a sample.
		Canary bool `json:"canary,omitempty"`
		// RetryAfter and MaxRetryAfter bound the delay that the caller of a rejected request is told.
		RetryAfter    acaciatoml.Duration `json:"retry_after,omitempty"`
		MaxRetryAfter acaciatoml.Duration `json:"max_retry_after,omitempty"`
		// Late reports whether the request could no longer meet its objective, Guaranteed whether it would
		// wait on its class's guaranteed share.
		Late       bool `json:"late,omitempty"`
		Guaranteed bool `json:"guaranteed,omitempty"`
		// QueuePosition is its place in the queue over all processes, from 1. Ahead is the number of requests
		// before it that wait in this process, PeersAhead of those that are known to in others.
		QueuePosition int `json:"queue_position"`
		Ahead         int `json:"ahead"`
		PeersAhead    int `json:"peers_ahead"`
		// Waiting is the number of requests that wait for the service in this process, PeersWaiting in others.
		Waiting      int `json:"waiting"`
		PeersWaiting int `json:"peers_waiting"`
		// UsableEndpoints is the number of endpoints that aren't draining, FreeSlots that of their free slots.
		UsableEndpoints int `json:"usable_endpoints"`
		FreeSlots       int `json:"free_slots"`
		// ExpectedWait is the expected wait for a slot, UsualFirstByte the usual time from there to the first
		// byte.
		ExpectedWait   acaciatoml.Duration `json:"expected_wait"`
		UsualFirstByte acaciatoml.Duration `json:"usual_first_byte"`
		// ExpectedEvents is the expected number of events of the response, by the length hint if there is one;
		// ExpectedSlotTime is the time for which the request is expected to hold a slot, WorkAhead that of the requests
		// that go before it in all processes, and SizeTerm what its size adds to its objective in the order of its rank.
		ExpectedEvents   float64             `json:"expected_events"`
		ExpectedSlotTime acaciatoml.Duration `json:"expected_slot_time"`
		WorkAhead        acaciatoml.Duration `json:"work_ahead"`
		SizeTerm         acaciatoml.Duration `json:"size_term"`
		// SpareCapacity reports whether the service has free slots and no process has waiting requests.
		SpareCapacity bool `json:"spare_capacity"`
		// Peers is the number of other processes with reports in use, OldestReport the age of the oldest.
		Peers        int                   `json:"peers"`
		OldestReport acaciatoml.Duration   `json:"oldest_report"`
		Endpoints    []EndpointExplanation `json:"endpoints"`
	}
)

// What would become of a request.
const (
	// OutcomeEndpoint means that the request would be sent to an endpoint at once.
	OutcomeEndpoint Outcome = "endpoint"
	// OutcomeWait means that it would wait for a slot.
	OutcomeWait Outcome = "wait"
	// OutcomeRefused means that no endpoint is expected to have capacity in time.
	OutcomeRefused Outcome = "refused"
	// OutcomeVersionGone means that no endpoint is left of the version that the request is bound to.
	OutcomeVersionGone Outcome = "version_gone"
)

var outcomes = map[verdict]Outcome{
	verdictWaits: OutcomeWait, verdictPlaced: OutcomeEndpoint, verdictRefused: OutcomeRefused, verdictVersionGone: OutcomeVersionGone,
}

// Explain returns what would become of a new request now, and changes nothing but the request. It takes the
// requests that wait before it to go on waiting, and the random parts of costs to be zero.
func (s *Scheduler) Explain(request *Request, now time.Time) Explanation {
	v := s.newView(request.Service, now)
	explanation := Explanation{SpareCapacity: v.scheduler.HasSpareCapacity(request.Service, now)}
	p := v.enqueue(s.services[request.Service], request, now)
	explanation.Waiting, explanation.PeersWaiting = len(v.service.waiting)-1, v.service.peerRanks.total
	explanation.Ahead = p.kept
	explanation.PeersAhead = max(v.service.countPeerAhead(request, now), v.service.peerRanks.upTo(request.queueRank()-1))
	explanation.QueuePosition = 1 + explanation.Ahead + explanation.PeersAhead
	v.service.relaxChoice(request)
	choice, isNext := request.Choice, p.isNext(request)
	judged, chosen := p.judge(request)
	inputs := p.inputs(request)
	explanation.Outcome = outcomes[judged]
	explanation.Late, explanation.Guaranteed = request.late, request.guaranteed
	explanation.UsableEndpoints, explanation.FreeSlots = inputs.Endpoints, inputs.Free
	explanation.ExpectedWait, explanation.UsualFirstByte = rounded(inputs.ExpectedWait), rounded(inputs.UsualFirstByte)
	explanation.ExpectedEvents, explanation.ExpectedSlotTime = math.Round(inputs.ExpectedEvents), rounded(inputs.ExpectedSlotTime)
	explanation.WorkAhead, explanation.SizeTerm = rounded(inputs.WorkAhead), rounded(request.sizeTerm)
	explanation.Peers, explanation.OldestReport = len(v.scheduler.lastReports), rounded(inputs.OldestReport)
	if judged == verdictRefused {
		wait, left := p.expectedWait(request), request.Deadline.Sub(now)
		explanation.RetryAfter, explanation.MaxRetryAfter = rounded(spreadRetry(wait, left, 0)), rounded(spreadRetry(wait, left, 1))
	}
	r := reasoner{view: v, pass: p, request: request, isNext: isNext}
	if chosen != nil {
		r.chosen, explanation.Endpoint = chosen.endpoint, chosen.endpoint.info.ID
		explanation.Canary = choice.Canary && chosen.endpoint.info.Version == choice.Target
	}
	if explanation.Canary {
		// Only the endpoints of the sample came into question.
		choice.Canary, choice.Side = false, SideTarget
		request.Choice, request.canaryEndpoints = choice, v.scheduler.canaryEndpoints(v.service, choice)
		r.isNext = true
	}
	if judged == verdictWaits && request.awaited != nil {
		r.awaited, explanation.AwaitedEndpoint = request.awaited, request.awaited.info.ID
	}
	explanation.Endpoints = r.explainAll()
	return explanation
}

// rounded returns a duration rounded to the microsecond.
func rounded(d time.Duration) acaciatoml.Duration {
	return acaciatoml.Duration(d.Round(time.Microsecond))
}
