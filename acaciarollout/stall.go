package acaciarollout

import (
	"sync"
	"time"
)

// Load pattern: a process is suspended, or gets no processor time, while answers to its requests arrive. It
// reads them late, which says nothing of the endpoints.

// StallClock measures for how long its process didn't run. Tick must be called every StallInterval by a
// goroutine that does nothing else, except after Pause; Stalled may be called by any.
type StallClock struct {
	mu       sync.Mutex
	tickedAt time.Time
	stalled  time.Duration
}

const (
	// StallInterval is the time between two ticks.
	StallInterval = 20 * time.Millisecond
	// maxTickDelay is how late a tick may come before the process counts as stalled.
	maxTickDelay = 5 * time.Millisecond
)

// Tick records that the process runs.
func (c *StallClock) Tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stalled += c.tickDelay(now)
	c.tickedAt = now
}

// Stalled returns for how long the process has been stalled since the first tick. A tick that is overdue counts: what
// a stall delays may run before the tick does.
func (c *StallClock) Stalled(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stalled + c.tickDelay(now)
}

// tickDelay returns how late a tick would come now, zero if that is no stall.
func (c *StallClock) tickDelay(now time.Time) time.Duration {
	if c.tickedAt.IsZero() {
		return 0
	}
	// The monotonic clock stops while the machine is suspended.
	elapsed := max(now.Sub(c.tickedAt), now.Round(0).Sub(c.tickedAt.Round(0)))
	if delay := elapsed - StallInterval; delay > maxTickDelay {
		return delay
	}
	return 0
}

// Pause keeps the time until the next tick from counting.
func (c *StallClock) Pause() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tickedAt = time.Time{}
}

// Without returns the timing without the time for which the process was stalled meanwhile.
func (t Timing) Without(stalled time.Duration) Timing {
	if stalled <= 0 {
		return t
	}
	t.FirstByte = max(t.FirstByte-stalled, 0)
	t.EventInterval = max(t.EventInterval-stalled, 0)
	return t
}
