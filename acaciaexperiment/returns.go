package acaciaexperiment

import (
	"slices"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciaevent"
)

// CallerMeasures are the figures of one class's callers, who come back when they are
// refused.
type CallerMeasures struct {
	Class   string
	Callers int
	// FirstTry is the share of them who were served within the targets at once, Served
	// of those who were in the end.
	FirstTry, Served float64
	// Tries is how often a caller asked, on average.
	Tries float64
	// Ninetieth is the 90th percentile of the time from the first call to the first
	// token, of callers who were served.
	Ninetieth time.Duration
}

const (
	// patience is how long a caller keeps coming back, in times to the first token.
	patience = 10
	// returnTime is how long a run goes on for callers who come back.
	returnTime = 4 * time.Minute
)

// comeBack has the caller of a refused request send it again when it was told to,
// unless its patience ends before.
func (w *world) comeBack(r *Result, after time.Duration) {
	// Retry-After holds whole seconds.
	after = (after + time.Second - 1).Truncate(time.Second)
	at := w.since() + after
	if !w.returning || at-r.Called > patience*w.workload.Classes[r.Class].FirstToken {
		return
	}
	again := &Result{Arrival: r.Arrival, Called: r.Called, Tries: r.Tries + 1}
	again.At = at
	again.ID = requestID(len(w.results))
	w.results = append(w.results, again)
	w.loop.After(after, func() {
		w.record(acaciaevent.RequestArrived, again, "")
		w.submit(again)
	})
}

// MeasureCallers computes the figures of a run's callers by class; those who first
// called between from and to count.
func MeasureCallers(run Run, from, to time.Duration) []CallerMeasures {
	measures := make([]CallerMeasures, len(run.Workload.Classes))
	times := make([][]time.Duration, len(measures))
	for _, r := range run.Results {
		if r.Called < from || r.Called >= to {
			continue
		}
		m := &measures[r.Class]
		if r.Tries == 1 {
			m.Callers++
		}
		m.Tries++
		if !run.Good(r) {
			continue
		}
		m.Served++
		if r.Tries == 1 {
			m.FirstTry++
		}
		times[r.Class] = append(times[r.Class], r.First-r.Called)
	}
	for class := range measures {
		m := &measures[class]
		m.Class = run.Workload.Classes[class].Name
		n := float64(max(1, m.Callers))
		m.FirstTry, m.Served, m.Tries = m.FirstTry/n, m.Served/n, m.Tries/n
		slices.Sort(times[class])
		if len(times[class]) > 0 {
			m.Ninetieth = times[class][len(times[class])*9/10]
		}
	}
	return measures
}
