package acaciaevent

import (
	"sync"
	"time"
)

type (
	// Stamp is a hybrid logical timestamp, which orders events across all processes.
	// The upper bits hold milliseconds of Unix time, the lower bits a counter.
	Stamp uint64

	// Clock is a hybrid logical clock: its stamps follow the wall clock, and the stamp
	// of a received message is always lower than any stamp issued after its receipt.
	Clock struct {
		now func() time.Time

		mu   sync.Mutex
		last Stamp
	}
)

// counterBits is the number of low bits of a stamp that hold the counter.
const counterBits = 16

// NewClock returns a clock that reads the wall-clock time from now.
func NewClock(now func() time.Time) *Clock {
	return &Clock{now: now}
}

// Next returns a stamp higher than any that the clock has issued or observed.
func (c *Clock) Next() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, Stamp(c.now().UnixMilli())<<counterBits)
	return c.last
}

// Observe takes the stamp of a received message, so that later stamps are higher.
func (c *Clock) Observe(stamp Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, stamp)
}

// Time returns the wall-clock part of the stamp.
func (s Stamp) Time() time.Time {
	return time.UnixMilli(int64(s >> counterBits))
}
