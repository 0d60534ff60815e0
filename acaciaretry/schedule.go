package acaciaretry

import (
	"sync"
	"time"
)

type (
	// Settings hold the mean times from the beginning of a failed call to the next one: First after the first failure, then twice as much after each
	// further one, up to Max. Random returns a number in [0, 1).
	Settings struct {
		First  time.Duration
		Max    time.Duration
		Random func() float64
	}

	// Schedule says when the callers of one server repeat failed calls. It is safe for concurrent use.
	//
	// Load pattern: a server refuses the calls of many processes for seconds, or answers none of them. Callers that
	// each repeat their calls at a constant rate send it most of their calls just then, and more when it returns.
	//
	// The delays grow, and a successful call of one caller ends those of the others, so that few calls find out when
	// the server is back.
	Schedule struct {
		settings Settings

		mu sync.Mutex
		// recovered is closed, and replaced, when a call succeeds while callers wait.
		recovered chan struct{}
		waiting   bool
	}

	// Caller is what a Schedule knows of one caller, which makes one call at a time.
	Caller struct {
		schedule *Schedule
		failures int
	}
)

// maxDoublings bounds the shift of the first delay.
const maxDoublings = 20

// New returns a Schedule without failures.
func New(settings Settings) *Schedule {
	return &Schedule{settings: settings, recovered: make(chan struct{})}
}

// NewCaller returns a caller without failures.
func (s *Schedule) NewCaller() *Caller {
	return &Caller{schedule: s}
}

// Failed records that the caller's last call has failed after the time that it took. It returns how long the caller waits
// before the next one, and a channel that is closed as soon as a call of another caller succeeds: then it needn't wait any
// longer. Delays count from the beginning of the failed call, because a call that times out has spared the server for
// that long already.
func (c *Caller) Failed(took time.Duration) (delay time.Duration, recovered <-chan struct{}) {
	s := c.schedule
	s.mu.Lock()
	defer s.mu.Unlock()
	mean := min(s.settings.First<<min(c.failures, maxDoublings), s.settings.Max)
	c.failures++
	s.waiting = true
	interval := time.Duration(2 * s.settings.Random() * float64(mean))
	return max(interval-took, 0), s.recovered
}

// Succeeded records that the caller's last call has succeeded.
func (c *Caller) Succeeded() {
	s := c.schedule
	s.mu.Lock()
	defer s.mu.Unlock()
	c.failures = 0
	if !s.waiting {
		return
	}
	s.waiting = false
	close(s.recovered)
	s.recovered = make(chan struct{})
}
