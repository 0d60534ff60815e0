package acaciaschedule

import "time"

// costs is what the cost of a request at an endpoint is made of.
type costs struct {
	// slotWait is the wait for a slot, firstByte the time from there to the first byte with the risks
	// of failure and silence, distance what the distance adds.
	slotWait  time.Duration
	firstByte time.Duration
	distance  time.Duration
	// lateness and pauses are what the request is expected to lose with its objective, jitter is
	// the random part.
	lateness time.Duration
	pauses   time.Duration
	jitter   time.Duration
	// prefill and awaiting are what the request takes from others that wait.
	prefill  time.Duration
	awaiting time.Duration
}

// total returns the cost.
func (c *costs) total() time.Duration {
	return c.expected() + c.lateness + c.pauses + c.jitter + c.prefill + c.awaiting
}

// expected returns the expected time to the first byte.
func (c *costs) expected() time.Duration {
	return c.slotWait + c.firstByte + c.distance
}
