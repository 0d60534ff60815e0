package acaciaschedule

import (
	"math"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciatoml"
)

type (
	// Reason says why an endpoint is not the one that a request would get.
	Reason string

	// EndpointExplanation says what a request is expected to cost at an endpoint, and why the endpoint is not
	// the one that it would get.
	EndpointExplanation struct {
		ID         string `json:"id"`
		DataCentre string `json:"data_centre"`
		Region     string `json:"region"`
		Version    string `json:"version,omitempty"`
		Reason     Reason `json:"reason"`
		// WithinJitter reports whether the random part of costs may make this one the choice.
		WithinJitter bool `json:"within_jitter,omitempty"`
		// Cost is what endpoints are compared by: ExpectedFirstByte, which is the sum of SlotWait, FirstByte
		// and Distance, and what follows them.
		Cost              acaciatoml.Duration `json:"cost"`
		ExpectedFirstByte acaciatoml.Duration `json:"expected_first_byte"`
		SlotWait          acaciatoml.Duration `json:"slot_wait"`
		FirstByte         acaciatoml.Duration `json:"first_byte"`
		Distance          acaciatoml.Duration `json:"distance"`
		Lateness          acaciatoml.Duration `json:"lateness,omitempty"`
		PauseRisk         acaciatoml.Duration `json:"pause_risk,omitempty"`
		OthersPrefill     acaciatoml.Duration `json:"others_prefill,omitempty"`
		OthersAwaiting    acaciatoml.Duration `json:"others_awaiting,omitempty"`
		// CachedTokens is the part of the prompt that is expected in the prefix cache, PrefillTokens the rest,
		// and PrefillBefore what the endpoint has to prefill before it.
		CachedTokens  int `json:"cached_tokens"`
		PrefillTokens int `json:"prefill_tokens"`
		PrefillBefore int `json:"prefill_before"`
		// Running is the number of this process's requests that run there, PeersRunning that of the others',
		// and LoadAge the age of the oldest report that tells of them; of any report if none does.
		Slots        int                 `json:"slots"`
		Running      int                 `json:"running"`
		PeersRunning int                 `json:"peers_running"`
		Occupancy    float64             `json:"occupancy"`
		FreeSlots    int                 `json:"free_slots"`
		LoadAge      acaciatoml.Duration `json:"load_age"`
		// Slowdown is the time to the first byte relative to what is usual for the service, Observations the
		// number of answers behind it, and SilenceFactor how much more is expected because the oldest unanswered
		// request is late.
		Slowdown      float64 `json:"slowdown"`
		Observations  int     `json:"observations"`
		SilenceFactor float64 `json:"silence_factor"`
		// FailureRate is the rate of failures, and FailureFactor what the time to the first byte is multiplied
		// by for it.
		FailureRate    float64   `json:"failure_rate"`
		FailureFactor  float64   `json:"failure_factor"`
		SuspendedUntil time.Time `json:"suspended_until,omitzero"`
		BackoffUntil   time.Time `json:"backoff_until,omitzero"`
		// RateLimit is the limit in requests a second that the endpoint has announced, nil without one, and
		// LimitTokens the number of requests that this process may send now.
		RateLimit   *float64 `json:"rate_limit,omitempty"`
		LimitTokens float64  `json:"limit_tokens,omitempty"`
		// Window is how many requests of all processes may be unanswered while the endpoint recovers, zero
		// unless it does. Unanswered is the number of this process's, PeersUnanswered that of the others'.
		Window          int `json:"window,omitempty"`
		Unanswered      int `json:"unanswered"`
		PeersUnanswered int `json:"peers_unanswered,omitempty"`
		// Draining reports whether the endpoint takes no new requests any more, VersionDoubted whether its version
		// is unknown because its process has ended.
		Draining       bool `json:"draining,omitempty"`
		VersionDoubted bool `json:"version_doubted,omitempty"`
		// Side is its side of a rollout: "old" or "target"; empty without one.
		Side string `json:"side,omitempty"`
	}

	// reasoner finds out why endpoints are not the one that a request would get.
	reasoner struct {
		view    *view
		pass    *pass
		request *Request
		// isNext reports whether one of the free slots would be the request's.
		isNext bool
		// chosen is the endpoint that it would get, awaited the one for whose slot it would wait.
		chosen, awaited *endpoint
	}
)

// The names of the sides of a rollout.
const (
	nameOld    = "old"
	nameTarget = "target"
)

// The reasons, in the order in which they are looked for.
const (
	ReasonChosen  Reason = "chosen"
	ReasonAwaited Reason = "awaited"
	// ReasonDraining means that the endpoint takes no new requests any more.
	ReasonDraining Reason = "draining"
	// ReasonRollout means that its version is not on the side of the rollout on which the request may run, or
	// is not in the sample for it.
	ReasonRollout Reason = "rollout"
	// ReasonSuspended means that it has failed requests, and ReasonBackoff that it has asked for none.
	ReasonSuspended Reason = "suspended"
	ReasonBackoff   Reason = "backoff"
	// ReasonOtherRegion means that its slots are left to the requests that wait in its region.
	ReasonOtherRegion Reason = "other_region_waiting"
	// ReasonNoSlot means that all slots are taken, and others are expected to be free sooner.
	ReasonNoSlot Reason = "no_free_slot"
	// ReasonPace means that it recovers and has as many unanswered requests as it may have.
	ReasonPace Reason = "pace_window"
	// ReasonRateLimit means that this process's part of its rate limit is used up.
	ReasonRateLimit Reason = "rate_limit"
	// ReasonAhead means that its free slots go to requests before this one.
	ReasonAhead Reason = "taken_by_requests_ahead"
	// ReasonCost means that the request is expected to cost more there.
	ReasonCost Reason = "costs_more"
)

// explainAll explains all endpoints in the order of their IDs.
func (r *reasoner) explainAll() []EndpointExplanation {
	svc := r.view.service
	explanations := make([]EndpointExplanation, len(svc.sorted))
	most := time.Duration(0)
	if r.chosen != nil {
		c := r.pass.costs(r.chosen, r.request, true, 1)
		most = c.total()
	}
	for i, e := range svc.sorted {
		explanations[i] = r.explain(e)
		if r.chosen != nil && explanations[i].Reason == ReasonCost && time.Duration(explanations[i].Cost) < most {
			explanations[i].WithinJitter = true
		}
	}
	return explanations
}

// explain explains one endpoint.
func (r *reasoner) explain(e *endpoint) EndpointExplanation {
	p, svc, scheduler, now := r.pass, r.view.service, r.view.scheduler, r.pass.now
	isFree := scheduler.openSlots(e, now) > 0
	c := p.costs(e, r.request, isFree, 0)
	cached := e.cachedTokens(r.request)
	explanation := EndpointExplanation{
		ID: e.info.ID, DataCentre: e.info.DataCentre, Region: scheduler.settings.Regions[e.info.DataCentre], Version: e.registeredVersion,
		Reason: r.reason(e), Cost: rounded(c.total()), ExpectedFirstByte: rounded(c.expected()),
		SlotWait: rounded(c.slotWait), FirstByte: rounded(c.firstByte), Distance: rounded(c.distance), Lateness: rounded(c.lateness),
		PauseRisk: rounded(c.pauses), OthersPrefill: rounded(c.prefill), OthersAwaiting: rounded(c.awaiting),
		CachedTokens: cached, PrefillTokens: r.request.PromptTokens - cached, PrefillBefore: e.ownPrefill + e.peerLoad.Prefill,
		Slots: e.info.Slots, Running: e.ownRunning, PeersRunning: e.peerLoad.Running, Occupancy: float64(e.running()) / float64(e.info.Slots),
		FreeSlots: scheduler.freeSlots(e, now), LoadAge: rounded(p.oldestReport),
		Slowdown: finite(svc.slowdown(e)), Observations: e.observations, SilenceFactor: finite(svc.silencePenalty(e, now)),
		FailureRate: e.failureRate, FailureFactor: e.failureFactor(),
		Window: e.windowInForce(now), Unanswered: len(e.unanswered), PeersUnanswered: e.pace.unansweredElsewhere,
		Draining: e.info.Draining, VersionDoubted: e.versionDoubted(),
	}
	if age, known := r.view.loadAges[e]; known {
		explanation.LoadAge = rounded(age)
	}
	if now.Before(e.suspendedUntil) {
		explanation.SuspendedUntil = e.suspendedUntil
	}
	if e.backoff.active(now) {
		explanation.BackoffUntil = e.backoff.until
	}
	if e.limiter.Limited {
		rate := finite(e.limiter.Rate)
		explanation.RateLimit, explanation.LimitTokens = &rate, finite(e.limiter.tokens)
	}
	if target := r.request.Choice.Target; target != "" {
		explanation.Side = nameOld
		if e.registeredVersion == target {
			explanation.Side = nameTarget
		}
	}
	return explanation
}

// finite returns the nearest finite number, zero for one that is none: JSON has no others.
func finite(f float64) float64 {
	if math.IsNaN(f) {
		return 0
	}
	return min(max(f, -math.MaxFloat64), math.MaxFloat64)
}

// reason returns why an endpoint is not the one that the request would get.
func (r *reasoner) reason(e *endpoint) Reason {
	now := r.pass.now
	switch {
	case e == r.chosen:
		return ReasonChosen
	case e == r.awaited:
		return ReasonAwaited
	case !e.usable():
		return ReasonDraining
	case r.request.excludes(e):
		return ReasonRollout
	case now.Before(e.suspendedUntil):
		return ReasonSuspended
	case e.backoff.active(now):
		return ReasonBackoff
	}
	return r.slotReason(e)
}

// slotReason returns why the request would get no slot of an endpoint that takes requests.
func (r *reasoner) slotReason(e *endpoint) Reason {
	scheduler, now := r.view.scheduler, r.pass.now
	unoccupied := scheduler.unoccupiedSlots(e)
	switch {
	case unoccupied == 0 && e.running() < e.info.Slots:
		return ReasonOtherRegion
	case unoccupied == 0:
		return ReasonNoSlot
	case e.limitUnanswered(unoccupied, now) == 0:
		return ReasonPace
	case scheduler.openSlots(e, now) == 0:
		return ReasonRateLimit
	case !r.isNext && !e.limiter.Limited:
		return ReasonAhead
	}
	return ReasonCost
}
