package acaciaexperiment

import (
	"slices"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciacheck"
)

type (
	// Measures are the metrics of one run.
	Measures struct {
		Scenario string
		Policy   string
		// Goodput is the share of requests that met their targets, by class in the
		// order of the workload's classes.
		Goodput []float64
		// WastedPrefill is the share of all prefilled tokens that belong to requests
		// which missed their targets, were lost when a run was taken back, or were
		// prefilled although another endpoint of the region had them in its cache.
		WastedPrefill float64
		// SwingGoodput is the goodput of the top class between SwingStart and
		// SwingEnd; the table calls it crest.
		SwingGoodput float64
		// FirstTokenP99 is the 99th percentile of the time to the first token of the top
		// two classes.
		FirstTokenP99 time.Duration
		// SmallShare is the minimum, over windows of 30 seconds, of the part of its
		// max-min fair share that a small organisation got while it had requests
		// waiting.
		SmallShare float64
		// SmallLag is the maximum, over the same windows, of the tokens by which a
		// small organisation fell short of 0.9 of its share, as a multiple of the
		// largest request in the window. Requests cannot be divided, so a lag of up
		// to one is no sign of unfairness.
		SmallLag float64
		// JainIndex is the minimum of Jain's fairness index of the two largest
		// organisations over the windows in which their shares were about equal.
		JainIndex float64
		// ShedOrderViolations counts violations of the rule that lower classes are
		// shed before higher ones.
		ShedOrderViolations int
		// UnknownOutcomes counts requests that ended with CodeOutcomeUnknown.
		UnknownOutcomes int
		// Failures counts missed targets by class and reason; see Run.Failures.
		Failures [][4]int
		// GoodputSeries is the goodput of all classes over time, in steps of
		// GoodputSeriesStep by time of arrival.
		GoodputSeries []float64
		// LinkBytes is the number of bytes sent over the link between the regions.
		LinkBytes int64
	}
)

// GoodputSeriesStep is the interval between the values of Measures.GoodputSeries.
const GoodputSeriesStep = 5 * time.Second

// Measure computes the metrics of a run.
func Measure(run Run) Measures {
	m := Measures{Scenario: run.Scenario, Policy: run.Policy, LinkBytes: run.LinkBytes}
	for class := range run.Workload.Classes {
		m.Goodput = append(m.Goodput, run.goodput(class, Warmup, ArrivalPeriod))
	}
	m.GoodputSeries = run.goodputSeries()
	m.WastedPrefill = run.wastedPrefillShare()
	m.Failures = run.Failures()
	m.SwingGoodput = run.goodput(0, SwingStart, SwingEnd)
	m.FirstTokenP99 = run.firstTokenP99()
	m.SmallShare, m.SmallLag, m.JainIndex = run.fairness()
	m.ShedOrderViolations = len(acaciacheck.CheckOne(acaciacheck.ShedOrderInvariant, run.Events))
	for _, r := range run.Results {
		if r.Code == acaciaroute.CodeOutcomeUnknown {
			m.UnknownOutcomes++
		}
	}
	return m
}

// MetTargets reports whether a request was answered in full within the targets of its
// class for the first token and for the mean time between tokens.
func (run Run) MetTargets(r *Result) bool {
	class := run.Workload.Classes[r.Class]
	if !r.Done || r.Code != acaciaroute.CodeOK || r.FirstTokenAt-r.At > class.FirstToken {
		return false
	}
	if r.ProducedTokens < 2 {
		return true
	}
	return (r.LastTokenAt-r.FirstTokenAt)/time.Duration(r.ProducedTokens-1) <= class.TokenGap
}

// Failures counts the requests that missed their targets by class and by reason: shed,
// interrupted (the table calls it cut), late first token, slow tokens. It leaves out arrivals
// during Warmup.
func (run Run) Failures() [][4]int {
	failures := make([][4]int, len(run.Workload.Classes))
	for _, r := range run.Results {
		if r.At < Warmup || run.MetTargets(r) {
			continue
		}
		failures[r.Class][run.failureReason(r)]++
	}
	return failures
}

// failureReason returns the index of a reason in the order of Failures.
func (run Run) failureReason(r *Result) int {
	switch {
	case !r.Done && r.ProducedTokens == 0 && r.GrantedAt == 0:
		return 0
	case !r.Done:
		return 1
	case r.FirstTokenAt-r.At > run.Workload.Classes[r.Class].FirstToken:
		return 2
	}
	return 3
}

func (run Run) goodputSeries() []float64 {
	steps := int(ArrivalPeriod / GoodputSeriesStep)
	good, all := make([]int, steps), make([]int, steps)
	for _, r := range run.Results {
		step := int(r.At / GoodputSeriesStep)
		all[step]++
		if run.MetTargets(r) {
			good[step]++
		}
	}
	shares := make([]float64, steps)
	for i := range shares {
		shares[i] = ratio(good[i], all[i])
	}
	return shares
}

func (run Run) goodput(class int, from, to time.Duration) float64 {
	good, all := 0, 0
	for _, r := range run.Results {
		if r.Class != class || r.At < from || r.At >= to {
			continue
		}
		all++
		if run.MetTargets(r) {
			good++
		}
	}
	return ratio(good, all)
}

func (run Run) wastedPrefillShare() float64 {
	wasted, all := 0, 0
	for _, r := range run.Results {
		if r.At < Warmup {
			continue
		}
		all += r.PrefilledTokens + r.LostPrefill
		wasted += r.LostPrefill
		if !run.MetTargets(r) {
			wasted += r.PrefilledTokens
		} else {
			wasted += r.AvoidablePrefill
		}
	}
	return ratio(wasted, all)
}

func (run Run) firstTokenP99() time.Duration {
	var firstTokenTimes []time.Duration
	for _, r := range run.Results {
		if r.Class < 2 && r.At >= Warmup && r.ProducedTokens > 0 {
			firstTokenTimes = append(firstTokenTimes, r.FirstTokenAt-r.At)
		}
	}
	if len(firstTokenTimes) == 0 {
		return 0
	}
	slices.Sort(firstTokenTimes)
	return firstTokenTimes[len(firstTokenTimes)*99/100]
}

func jainIndex(values []float64) float64 {
	total, squares := 0.0, 0.0
	for _, v := range values {
		total += v
		squares += v * v
	}
	if squares == 0 {
		return 1
	}
	return total * total / (float64(len(values)) * squares)
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
