package acaciaroute

import "time"

type (
	// Loop is the one thread of control state: functions given to it run one at
	// a time, in order, and never concurrently.
	//
	// Decisions take a Loop instead of a clock, so that the same code runs on a
	// goroutine in a process and on virtual time in a test.
	Loop interface {
		// Now returns the loop's time; it never goes backwards.
		Now() time.Time
		// Post runs f on the loop after the functions already posted.
		Post(f func())
		// After runs f on the loop once d has passed.
		After(d time.Duration, f func()) Timer
	}

	// Timer is a pending call of Loop.After.
	Timer interface {
		// Stop prevents the call if it has not begun.
		Stop()
	}
)
