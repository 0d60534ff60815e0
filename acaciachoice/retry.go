package acaciachoice

import (
	"math/rand/v2"
	"time"
)

type (
	// RetryRule decides how long the caller of a refused request should wait before
	// it retries. Its methods must be called on the loop.
	RetryRule interface {
		// RecordGrant records that a request of the class received a grant.
		RecordGrant(now time.Time, class string)
		// RetryAfter returns how long the caller of a refused request should wait
		// before it retries.
		RetryAfter(now time.Time, refusal Refusal) time.Duration
	}

	// Refusal describes a request that is refused.
	Refusal struct {
		Class string
		// Slack is the time that the request had for its first token, and Wait the
		// shortest wait for a grant that an agent expected; zero if none did.
		Slack, Wait time.Duration
		// NoEndpoint reports whether the request was refused because no endpoint was
		// available, rather than for lack of capacity.
		NoEndpoint bool
	}

	// expectedWaitRetry lets callers retry after the wait that the agents expect.
	expectedWaitRetry struct {
		random *rand.Rand
	}

	// scheduledRetry gives each caller its own retry time, in the order of refusal.
	//
	// Load pattern: an overload that lasts. Callers who retry after the wait that the
	// agents expect retry often while the overload lasts, and take the slots of new
	// requests. The schedule spaces the retries of a class at the rate at which the
	// class receives grants.
	scheduledRetry struct {
		random  *rand.Rand
		classes map[string]*classRetries
	}

	// classRetries is the schedule of one class.
	classRetries struct {
		// grantRate is the smoothed number of grants per second.
		grantRate   float64
		windowStart time.Time
		grants      int
		// nextRetry is the earliest time that is not yet assigned to a caller.
		nextRetry time.Time
	}
)

const (
	minRetryAfter = time.Second
	maxRetryAfter = 2 * time.Minute
	// retryJitter is the largest share of a retry time by which it is varied at random,
	// so that callers who were refused together do not retry together.
	retryJitter = 0.25

	// noEndpointRetryAfter is the shortest retry time when no endpoint was available,
	// and also the largest random delay that is added to it.
	noEndpointRetryAfter = 2 * time.Second
	// maxSlackMultiple limits how far ahead a retry is scheduled, as a multiple of the
	// request's slack: a later retry is of no use to callers who need an answer soon.
	maxSlackMultiple = 3
	// grantRateWindow is the time over which grants are counted for one sample.
	grantRateWindow = time.Second
	// grantRateWeight is the weight of a new sample in the smoothed rate.
	grantRateWeight = 0.2
	// minGrantRate is the lowest rate assumed for a schedule, in grants per second.
	minGrantRate = 0.5
)

// NewExpectedWaitRetry returns the rule that follows only the wait that the agents
// expect.
func NewExpectedWaitRetry(random *rand.Rand) RetryRule {
	return &expectedWaitRetry{random: random}
}

// NewScheduledRetry returns the rule that the system uses: it schedules the retries
// of each class at the rate of its grants.
func NewScheduledRetry(random *rand.Rand) RetryRule {
	return &scheduledRetry{random: random, classes: map[string]*classRetries{}}
}

// RecordGrant implements RetryRule.
func (r *expectedWaitRetry) RecordGrant(time.Time, string) {}

// RetryAfter implements RetryRule.
func (r *expectedWaitRetry) RetryAfter(_ time.Time, refusal Refusal) time.Duration {
	wait := min(max(refusal.Wait, minRetryAfter), maxRetryAfter)
	return wait + time.Duration(r.random.Float64()*retryJitter*float64(wait))
}

// RecordGrant implements RetryRule.
func (s *scheduledRetry) RecordGrant(now time.Time, class string) {
	c := s.forClass(now, class)
	c.updateRate(now)
	c.grants++
}

// RetryAfter implements RetryRule.
func (s *scheduledRetry) RetryAfter(now time.Time, refusal Refusal) time.Duration {
	if refusal.NoEndpoint {
		return noEndpointRetryAfter + time.Duration(s.random.Float64()*float64(noEndpointRetryAfter))
	}
	c := s.forClass(now, refusal.Class)
	c.updateRate(now)
	earliest := min(max(refusal.Wait, minRetryAfter), maxRetryAfter)
	latest := min(max(maxSlackMultiple*refusal.Slack, earliest), maxRetryAfter)
	if c.nextRetry.Before(now.Add(earliest)) {
		c.nextRetry = now.Add(earliest)
	}
	spacing := time.Duration(float64(time.Second) / max(c.grantRate, minGrantRate))
	after := c.nextRetry.Sub(now) + time.Duration(s.random.Float64()*float64(spacing))
	if after > latest {
		// The schedule is full: spread these callers over its last quarter.
		return max(earliest, latest-time.Duration(s.random.Float64()*retryJitter*float64(latest)))
	}
	c.nextRetry = c.nextRetry.Add(spacing)
	return after
}

func (s *scheduledRetry) forClass(now time.Time, name string) *classRetries {
	c, ok := s.classes[name]
	if !ok {
		c = &classRetries{windowStart: now}
		s.classes[name] = c
	}
	return c
}

// updateRate updates the smoothed rate with each window that has ended. After a long
// idle period it skips the remaining windows once the rate has become negligible.
func (c *classRetries) updateRate(now time.Time) {
	for now.Sub(c.windowStart) >= grantRateWindow {
		c.grantRate += grantRateWeight * (float64(c.grants)/grantRateWindow.Seconds() - c.grantRate)
		c.grants = 0
		c.windowStart = c.windowStart.Add(grantRateWindow)
		if c.grantRate < minGrantRate/2 && now.Sub(c.windowStart) > time.Minute {
			c.windowStart = now
		}
	}
}
