package acaciaevent

import (
	"sync"
	"time"
)

type (
	// Stamp orders events over all processes: milliseconds of the time of day in
	// the upper bits, a counter in the lower ones.
	Stamp uint64

	// Clock is a hybrid logical clock: its stamps follow the time of day, and a
	// message's stamp is always lower than any made after its arrival.
	Clock struct {
		now func() time.Time

		mu   sync.Mutex
		last Stamp
	}
)

const counterBits = 16

// NewClock returns a clock over a time of day.
func NewClock(now func() time.Time) *Clock {
	return &Clock{now: now}
}

// Next returns a stamp higher than any that the clock has made or seen.
func (c *Clock) Next() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, Stamp(c.now().UnixMilli())<<counterBits)
	return c.last
}

// Observe notes the stamp of a message that has arrived.
func (c *Clock) Observe(stamp Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, stamp)
}

// Time returns the time of day of a stamp.
func (s Stamp) Time() time.Time {
	return time.UnixMilli(int64(s >> counterBits))
}
