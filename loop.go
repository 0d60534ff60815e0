package acaciaroute

import "time"

type (
	// Loop is an event loop that owns the scheduling state. The functions passed to it
	// run one at a time and in order, never concurrently.
	//
	// Code that takes decisions gets a Loop instead of a clock, so that the same code
	// runs on a goroutine in a process and on virtual time in a test.
	Loop interface {
		// Now returns the loop's time, which never goes backwards.
		Now() time.Time
		// Post runs f on the loop, after the functions that were posted before.
		Post(f func())
		// After runs f on the loop when d has passed.
		After(d time.Duration, f func()) Timer
	}

	// Timer is a pending call of Loop.After.
	Timer interface {
		// Stop cancels the call if it has not begun.
		Stop()
	}
)
