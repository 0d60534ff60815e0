package acaciaexperiment

import (
	"slices"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciaevent"
)

// CallerMeasures are the metrics of the callers of one class when refused callers
// retry.
type CallerMeasures struct {
	Class   string
	Callers int
	// ServedAtOnce is the share of callers who were served within the targets at the
	// first attempt, ServedEventually at any attempt.
	ServedAtOnce, ServedEventually float64
	// MeanAttempts is the mean number of attempts of a caller.
	MeanAttempts float64
	// FirstTokenP90 is the 90th percentile of the time from the first call to the first
	// token, over the callers who were served.
	FirstTokenP90 time.Duration
}

const (
	// maxRetryMultiple is the time after the first call during which a caller retries, as
	// a multiple of its class's target for the first token.
	maxRetryMultiple = 10
	// retryDrainTime is the time that a run continues after the last arrival when
	// callers retry.
	retryDrainTime = 4 * time.Minute
)

// scheduleRetry lets the caller of a refused request send it again after the time in
// Retry-After, unless callers do not retry or the time that maxRetryMultiple allows has
// passed by then.
func (s *simulation) scheduleRetry(r *Result, after time.Duration) {
	// Retry-After is in whole seconds.
	after = (after + time.Second - 1).Truncate(time.Second)
	at := s.elapsed() + after
	if !s.callersRetry || at-r.FirstCallAt > maxRetryMultiple*s.workload.Classes[r.Class].FirstToken {
		return
	}
	retry := &Result{Arrival: r.Arrival, FirstCallAt: r.FirstCallAt, Attempt: r.Attempt + 1}
	retry.At = at
	retry.ID = requestID(len(s.results))
	s.results = append(s.results, retry)
	s.loop.After(after, func() {
		s.recordEvent(acaciaevent.RequestArrived, retry, "")
		s.submit(retry)
	})
}

// MeasureCallers computes the metrics of a run's callers by class. It counts callers
// whose first call was at or after from and before to.
func MeasureCallers(run Run, from, to time.Duration) []CallerMeasures {
	measures := make([]CallerMeasures, len(run.Workload.Classes))
	firstTokenTimes := make([][]time.Duration, len(measures))
	for _, r := range run.Results {
		if r.FirstCallAt < from || r.FirstCallAt >= to {
			continue
		}
		m := &measures[r.Class]
		if r.Attempt == 1 {
			m.Callers++
		}
		m.MeanAttempts++
		if !run.MetTargets(r) {
			continue
		}
		m.ServedEventually++
		if r.Attempt == 1 {
			m.ServedAtOnce++
		}
		firstTokenTimes[r.Class] = append(firstTokenTimes[r.Class], r.FirstTokenAt-r.FirstCallAt)
	}
	for class := range measures {
		m := &measures[class]
		m.Class = run.Workload.Classes[class].Name
		n := float64(max(1, m.Callers))
		m.ServedAtOnce, m.ServedEventually, m.MeanAttempts = m.ServedAtOnce/n, m.ServedEventually/n, m.MeanAttempts/n
		slices.Sort(firstTokenTimes[class])
		if len(firstTokenTimes[class]) > 0 {
			m.FirstTokenP90 = firstTokenTimes[class][len(firstTokenTimes[class])*9/10]
		}
	}
	return measures
}
