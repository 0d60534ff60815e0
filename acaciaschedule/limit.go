package acaciaschedule

import (
	"math"
	"strconv"
	"time"
)

// Load pattern: overloaded endpoints announce rate limits far below what they ran until then, while
// many processes send to them. Each process hears late of what the others send, and all of them
// together must stay within the limit.

type (
	// RateLimit is the limit that an endpoint announces for the requests of all processes
	// together.
	RateLimit struct {
		Limited bool
		// Rate is in requests a second.
		Rate float64
	}

	// EndpointLimit is a limit in a report to the other processes.
	EndpointLimit struct {
		RateLimit
		// AnsweredAt is when the answer that announced it arrived.
		AnsweredAt time.Time
	}

	// rateLimiter keeps this process's part of an endpoint's limit.
	rateLimiter struct {
		RateLimit
		answeredAt time.Time
		// reportUntil is until when reports to the other processes hold the limit.
		reportUntil time.Time
		// share is this process's part of the rate, tokens the number of requests that it may
		// send; they are as of refilledAt.
		share      float64
		tokens     float64
		refilledAt time.Time
	}
)

const (
	// minLimitRate is the least rate, in requests a second, at which a limited endpoint gets
	// requests: without answers it could never announce another limit.
	minLimitRate = 0.2
	// tokenLifetime is how long a token is valid, as a multiple of the interval between requests
	// at the endpoint's rate. Unused tokens expire, so that few processes hold one at a time and
	// an idle endpoint does not get a request from each of them at once.
	tokenLifetime = 2
	// limitShareMemory is the time constant with which a process's share follows its load.
	limitShareMemory = time.Second
	// minDemand is the demand of a process without requests, so that all get some share.
	minDemand = 0.5
	// limitReportTime is how long reports hold a changed limit: other regions get only some of
	// the reports.
	limitReportTime = 500 * time.Millisecond
)

// String returns the limit as events show it.
func (l RateLimit) String() string {
	if !l.Limited {
		return "no limit"
	}
	return strconv.FormatFloat(l.Rate, 'g', -1, 64) + " requests a second"
}

// RecordRateLimit records the limit that the answer to a request announces, or that it announces
// none, and reports whether that is new.
func (s *Scheduler) RecordRateLimit(request *Request, limit RateLimit, now time.Time) bool {
	e := request.endpoint
	if e == nil || !s.setLimit(e, EndpointLimit{limit, now}, now) {
		return false
	}
	e.limiter.reportUntil = now.Add(limitReportTime)
	return true
}

// ReportLimits puts all limits into the next reports, because a process has joined that knows none.
func (s *Scheduler) ReportLimits(now time.Time) {
	for _, e := range s.endpointsByKey {
		if e.limiter.Limited {
			e.limiter.reportUntil = now.Add(limitReportTime)
		}
	}
}

// SetReachableShare sets the number of reachable processes as a share of those that may be
// alive; only that part of limits is used.
func (s *Scheduler) SetReachableShare(share float64) {
	s.reachableShare = share
}

// setLimit applies a limit that an endpoint has announced, unless a later answer is known, and
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
	e.markChanged()
	return true
}

// limitedSlots returns how many of an endpoint's free slots this process may use within the limit.
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
		own = svc.ownRanks.total
	}
	for _, other := range svc.sorted {
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

// limitsToReport returns the limits for the next report.
func (s *Scheduler) limitsToReport(now time.Time) map[EndpointKey]EndpointLimit {
	var limits map[EndpointKey]EndpointLimit
	for key, e := range s.endpointsByKey {
		l := &e.limiter
		if !now.Before(l.reportUntil) {
			continue
		}
		if limits == nil {
			limits = map[EndpointKey]EndpointLimit{}
		}
		limits[key] = EndpointLimit{l.RateLimit, l.answeredAt}
	}
	return limits
}
