package acaciaschedule

import (
	"math"
	"strconv"
	"time"
)

// Load pattern: a few endpoints in need name a rate of requests, far below what they ran until
// then, while all processes send to them. Each process knows the use of the others late, and
// together they must keep the rate.

type (
	// RateLimit is what an endpoint says of the requests that it accepts from all processes
	// together.
	RateLimit struct {
		Limited bool
		// Rate is in requests a second.
		Rate float64
	}

	// EndpointLimit is a limit that a process tells the others.
	EndpointLimit struct {
		RateLimit
		// AnsweredAt is when the answer came that named it.
		AnsweredAt time.Time
	}

	// rateLimiter keeps this process's part of an endpoint's limit.
	rateLimiter struct {
		RateLimit
		answeredAt time.Time
		// tellUntil is until when the limit is told to the other processes.
		tellUntil time.Time
		// share is this process's part of the rate, tokens the number of requests that it may
		// send; they are as of refilledAt.
		share      float64
		tokens     float64
		refilledAt time.Time
	}
)

const (
	// minLimitRate is the rate, in requests a second, at which an endpoint is asked that accepts
	// fewer: without answers it could never name another limit.
	minLimitRate = 0.2
	// tokenLifetime is how long a token is kept, in intervals between two requests at the
	// endpoint's rate. An unused one is lost, so that few processes have one at a time and an
	// idle endpoint does not get a request from each of them at once.
	tokenLifetime = 2
	// limitShareMemory is the time constant with which a process's share follows its load.
	limitShareMemory = time.Second
	// minDemand is the demand of a process without requests, so that all get some share.
	minDemand = 0.5
	// limitTellTime is how long a changed limit is told to the other processes. The messages to
	// other regions are some of those sent in that time.
	limitTellTime = 500 * time.Millisecond
)

// String returns the limit as events show it.
func (l RateLimit) String() string {
	if !l.Limited {
		return "no limit"
	}
	return strconv.FormatFloat(l.Rate, 'g', -1, 64) + " requests a second"
}

// RecordRateLimit records what the answer to a request says of the endpoint's limit, and reports
// whether that is new.
func (s *Scheduler) RecordRateLimit(request *Request, limit RateLimit, now time.Time) bool {
	e := request.endpoint
	if e == nil || !s.setLimit(e, EndpointLimit{limit, now}, now) {
		return false
	}
	e.limiter.tellUntil = now.Add(limitTellTime)
	return true
}

// TellLimits tells all limits again, because a process has joined that knows none.
func (s *Scheduler) TellLimits(now time.Time) {
	for _, e := range s.endpointsByKey {
		if e.limiter.Limited {
			e.limiter.tellUntil = now.Add(limitTellTime)
		}
	}
}

// SetReachableShare sets the number of reachable processes as a share of those that may be
// alive; only that part of limits is used.
func (s *Scheduler) SetReachableShare(share float64) {
	s.reachableShare = share
}

// setLimit applies a limit that an endpoint has named, unless a later answer is known, and
// reports whether it changes anything.
func (s *Scheduler) setLimit(e *endpoint, limit EndpointLimit, now time.Time) bool {
	l := &e.limiter
	if !limit.AnsweredAt.After(l.answeredAt) {
		return false
	}
	l.answeredAt = limit.AnsweredAt
	if limit.RateLimit == l.RateLimit {
		return false
	}
	if limit.Limited && !l.Limited {
		// Processes that hear of the limit at the same time must not get their first tokens
		// at the same time.
		l.share, l.tokens, l.refilledAt = s.demandShare(e), s.settings.Random(), now
	}
	l.RateLimit = limit.RateLimit
	return true
}

// limitedSlots returns how many of the free slots of an endpoint its limit lets this process use.
func (s *Scheduler) limitedSlots(e *endpoint, free int, now time.Time) int {
	if !e.limiter.Limited {
		return free
	}
	s.refill(e, now)
	return min(free, int(e.limiter.tokens))
}

// refill adds the tokens for the time since the last call and drops those that were not used.
func (s *Scheduler) refill(e *endpoint, now time.Time) {
	l := &e.limiter
	elapsed := now.Sub(l.refilledAt)
	if elapsed <= 0 {
		return
	}
	l.refilledAt = now
	l.share += (1 - math.Exp(-elapsed.Seconds()/limitShareMemory.Seconds())) * (s.demandShare(e) - l.share)
	rate := max(l.Rate, minLimitRate)
	share := l.share * s.reachableShare
	l.tokens += rate * share * elapsed.Seconds()
	if unused := l.tokens - (1 + tokenLifetime*share); unused > 0 {
		l.tokens -= math.Ceil(unused)
	}
}

// take uses one token for a request that is sent to the endpoint.
func (l *rateLimiter) take() {
	if l.Limited {
		l.tokens--
	}
}

// demandShare returns the part of an endpoint's requests that this process is expected to send:
// its part of the requests that run or wait for the service in the endpoint's region.
func (s *Scheduler) demandShare(e *endpoint) float64 {
	region := s.settings.Regions[e.info.DataCentre]
	svc := e.service
	own, others := 0, svc.regionWaiting[region]
	if !s.inOtherRegion(e) {
		own = len(svc.waiting)
	}
	for _, other := range svc.endpoints {
		if s.settings.Regions[other.info.DataCentre] == region {
			own += other.ownRunning
			others += other.peerLoad.Running
		}
	}
	return (float64(own) + minDemand) / (float64(own+others) + minDemand*float64(1+len(s.lastReports)))
}

// effectiveSlots returns the number of slots that the endpoint's limit lets all processes use.
func (e *endpoint) effectiveSlots(holdTime time.Duration) float64 {
	slots := float64(e.info.Slots)
	if !e.limiter.Limited {
		return slots
	}
	return min(slots, e.limiter.Rate*holdTime.Seconds())
}

// limitsToTell returns the limits for the next report.
func (s *Scheduler) limitsToTell(now time.Time) map[EndpointKey]EndpointLimit {
	var limits map[EndpointKey]EndpointLimit
	for key, e := range s.endpointsByKey {
		l := &e.limiter
		if !now.Before(l.tellUntil) {
			continue
		}
		if limits == nil {
			limits = map[EndpointKey]EndpointLimit{}
		}
		limits[key] = EndpointLimit{l.RateLimit, l.answeredAt}
	}
	return limits
}
