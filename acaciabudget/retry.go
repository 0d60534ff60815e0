package acaciabudget

import "time"

type (
	// RetrySettings limit the requests that are sent again, over all processes.
	RetrySettings struct {
		// Ratio is the share of a service's requests in a Window that may be sent again;
		// Slack is a number of requests per Window that may be sent again in addition.
		Ratio  float64
		Slack  float64
		Window time.Duration
	}

	// RetryBudget counts requests and those that were sent again, by service. It is
	// not safe for concurrent use.
	RetryBudget struct {
		settings RetrySettings
		services map[string]*countedIntervals
	}

	// countedIntervals holds the counts of the last intervals, one more than a window has: a window may begin within an
	// interval, and what was sent again in the rest of that one still counts.
	countedIntervals [windowIntervals + 1]intervalCounts

	// intervalCounts holds the counts of one interval of the window.
	intervalCounts struct {
		interval int64
		requests int
		retries  int
	}
)

const (
	// windowIntervals is the number of intervals into which a window is divided.
	windowIntervals = 10
	// usableShare is the share of the budget that a process uses. It is below 1 because the
	// process sees neither the requests that did not reach it nor the retries of the
	// other processes.
	usableShare = 0.7
)

// NewRetryBudget returns an unused budget.
func NewRetryBudget(settings RetrySettings) *RetryBudget {
	return &RetryBudget{settings: settings, services: map[string]*countedIntervals{}}
}

// SetSettings changes the limits. What was counted goes on to count, and never so that more requests could be
// sent again: in another window, the requests of an interval count as if they had arrived at its beginning, and
// those that were sent again as if that had happened at its end.
func (r *RetryBudget) SetSettings(settings RetrySettings, now time.Time) {
	former := r.settings.Window / windowIntervals
	r.settings = settings
	length := settings.Window / windowIntervals
	if length == former {
		return
	}
	current := now.UnixNano() / int64(length)
	for service, intervals := range r.services {
		counted := countedIntervals{}
		add := func(interval int64, requests, retries int) {
			if current-interval > windowIntervals {
				return
			}
			counts := &counted[interval%int64(len(counted))]
			counts.interval = interval
			counts.requests += requests
			counts.retries += retries
		}
		for _, counts := range intervals {
			begin := counts.interval * int64(former)
			age := now.UnixNano() - begin
			if age >= (windowIntervals+1)*int64(former) {
				continue
			}
			if age < windowIntervals*int64(former) {
				add(begin/int64(length), counts.requests, 0)
			}
			add(min(begin+int64(former), now.UnixNano())/int64(length), 0, counts.retries)
		}
		*r.services[service] = counted
	}
}

// RecordRequest counts a request that arrived from a caller.
func (r *RetryBudget) RecordRequest(service string, now time.Time) {
	r.currentInterval(service, now).requests++
}

// TryRetry reports whether a request may be sent once more and, if so, counts it;
// processes is the number of processes that share the slack, those included that may be alive behind a network partition.
func (r *RetryBudget) TryRetry(service string, processes int, now time.Time) bool {
	current := r.currentInterval(service, now)
	requests, retries := 0, 0
	for _, counts := range r.services[service] {
		age := current.interval - counts.interval
		if age < windowIntervals {
			requests += counts.requests
		}
		if age <= windowIntervals {
			retries += counts.retries
		}
	}
	allowed := usableShare * (r.settings.Ratio*float64(requests) + r.settings.Slack/float64(max(processes, 1)))
	if float64(retries+1) > allowed {
		return false
	}
	current.retries++
	return true
}

// currentInterval returns the counts of the interval that contains now, reset if they are
// of an earlier one.
func (r *RetryBudget) currentInterval(service string, now time.Time) *intervalCounts {
	intervals := r.services[service]
	if intervals == nil {
		intervals = &countedIntervals{}
		r.services[service] = intervals
	}
	interval := now.UnixNano() / int64(r.settings.Window/windowIntervals)
	counts := &intervals[interval%int64(len(intervals))]
	if counts.interval != interval {
		*counts = intervalCounts{interval: interval}
	}
	return counts
}
