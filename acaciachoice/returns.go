package acaciachoice

import (
	"math/rand/v2"
	"time"
)

type (
	// Returns decides when a caller whose request was refused is to come back. Its
	// methods run on the loop.
	Returns interface {
		// Granted notes that a request of a class got a place.
		Granted(now time.Time, class string)
		// After returns the time until a refused request comes back.
		After(now time.Time, refusal Refusal) time.Duration
	}

	// Refusal is a request that gets no place.
	Refusal struct {
		Class string
		// Slack is the time that the request had for its first token, and Wait when the
		// agents expect a place.
		Slack, Wait time.Duration
		// Unserved tells that no endpoint could be asked: it is not for want of places.
		Unserved bool
	}

	// returnsByWait sends callers back when the agents expect a place for them.
	returnsByWait struct {
		random *rand.Rand
	}

	// returnSchedule gives each caller a time of its own, in the order of their refusals.
	//
	// Load pattern: a crest that lasts. Callers who come back by the agents' word alone
	// come back into the crest, all of them and often, and take the places of new ones.
	// The schedule lets those of a class return at the rate at which the class gets places.
	returnSchedule struct {
		random  *rand.Rand
		classes map[string]*classReturns
	}

	// classReturns is what a schedule holds of one class.
	classReturns struct {
		// rate is the smoothed number of places a second.
		rate    float64
		counted time.Time
		grants  int
		// next is the first time that is not promised to anybody.
		next time.Time
	}
)

const (
	minRetryAfter = time.Second
	maxRetryAfter = 2 * time.Minute
	// retrySpread is the random share that is added to a retry time, so that
	// callers who were refused together do not return together.
	retrySpread = 0.25

	// unservedPause is the least time until a caller comes back whose service had no
	// endpoint, and the most that is added at random.
	unservedPause = 2 * time.Second
	// horizon is how far ahead the schedule goes, in times of a request's slack: callers
	// who want an answer soon have no use for a later return.
	horizon = 3
	// returnWindow is the time over which places are counted.
	returnWindow = time.Second
	// returnWeight is the weight of a new count in the smoothed rate.
	returnWeight = 0.2
	// minReturnRate is the lowest rate of places assumed, in places a second.
	minReturnRate = 0.5
)

// NewReturnsByWait returns the rule that goes by the agents' word alone.
func NewReturnsByWait(random *rand.Rand) Returns {
	return &returnsByWait{random: random}
}

// NewReturnSchedule returns the rule that the system runs.
func NewReturnSchedule(random *rand.Rand) Returns {
	return &returnSchedule{random: random, classes: map[string]*classReturns{}}
}

// Granted implements Returns.
func (r *returnsByWait) Granted(time.Time, string) {}

// After implements Returns.
func (r *returnsByWait) After(_ time.Time, refusal Refusal) time.Duration {
	wait := min(max(refusal.Wait, minRetryAfter), maxRetryAfter)
	return wait + time.Duration(r.random.Float64()*retrySpread*float64(wait))
}

// Granted implements Returns.
func (s *returnSchedule) Granted(now time.Time, class string) {
	c := s.class(now, class)
	c.count(now)
	c.grants++
}

// After implements Returns.
func (s *returnSchedule) After(now time.Time, refusal Refusal) time.Duration {
	if refusal.Unserved {
		return unservedPause + time.Duration(s.random.Float64()*float64(unservedPause))
	}
	c := s.class(now, refusal.Class)
	c.count(now)
	earliest := min(max(refusal.Wait, minRetryAfter), maxRetryAfter)
	latest := min(max(horizon*refusal.Slack, earliest), maxRetryAfter)
	if c.next.Before(now.Add(earliest)) {
		c.next = now.Add(earliest)
	}
	slot := time.Duration(float64(time.Second) / max(c.rate, minReturnRate))
	after := c.next.Sub(now) + time.Duration(s.random.Float64()*float64(slot))
	if after > latest {
		// The schedule is full: these callers come back spread over its last quarter.
		return max(earliest, latest-time.Duration(s.random.Float64()*retrySpread*float64(latest)))
	}
	c.next = c.next.Add(slot)
	return after
}

func (s *returnSchedule) class(now time.Time, name string) *classReturns {
	c, ok := s.classes[name]
	if !ok {
		c = &classReturns{counted: now}
		s.classes[name] = c
	}
	return c
}

// count smooths the rate at the end of each window.
func (c *classReturns) count(now time.Time) {
	for now.Sub(c.counted) >= returnWindow {
		c.rate += returnWeight * (float64(c.grants)/returnWindow.Seconds() - c.rate)
		c.grants = 0
		c.counted = c.counted.Add(returnWindow)
		if c.rate < minReturnRate/2 && now.Sub(c.counted) > time.Minute {
			c.counted = now
		}
	}
}
