package acaciaschedule

import (
	"strconv"
	"time"
)

// RateLimit is what an endpoint says of the requests that it accepts from all processes together.
type RateLimit struct {
	Limited bool
	// Rate is in requests a second.
	Rate float64
}

// String returns the limit as events show it.
func (l RateLimit) String() string {
	if !l.Limited {
		return "no limit"
	}
	return strconv.FormatFloat(l.Rate, 'g', -1, 64) + " requests a second"
}

// RecordRateLimit records what the answer to a request says of the endpoint's limit, and reports
// whether that is new.
func (s *Scheduler) RecordRateLimit(request *Request, limit RateLimit, _ time.Time) bool {
	e := request.endpoint
	if e == nil || e.limit == limit {
		return false
	}
	e.limit = limit
	return true
}
