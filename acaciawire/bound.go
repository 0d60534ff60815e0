package acaciawire

import (
	"math"
	"time"
)

// maxTime bounds the times of messages, so that sums of them fit into a Duration.
const maxTime = 365 * 24 * time.Hour

// Microseconds returns the time that a message gives in microseconds. One beyond a year, in either direction, counts
// as a year.
func Microseconds(us int64) time.Duration {
	return time.Duration(min(max(us, -maxTime.Microseconds()), maxTime.Microseconds())) * time.Microsecond
}

// number returns a number as a message holds it: one that doesn't fit is the nearest that does.
func number(n int) int32 {
	return int32(min(max(n, math.MinInt32), math.MaxInt32))
}

// count returns a count of a message; a negative one counts as none.
func count(n int32) int {
	return int(max(n, 0))
}

// rate returns a rate of a message; one that is no finite positive number counts as unknown.
func rate(value float64) float64 {
	if !(value > 0) || math.IsInf(value, 0) {
		return 0
	}
	return value
}
