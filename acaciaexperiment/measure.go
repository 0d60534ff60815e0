package acaciaexperiment

import (
	"slices"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciacheck"
)

type (
	// Measures are the figures of one run.
	Measures struct {
		Scenario  string
		Contender string
		// Goodput is the share of each class's requests that met its targets, in
		// the order of the workload's classes.
		Goodput []float64
		// Wasted is the share of all prefill that was spent on requests which did
		// not meet their targets, or again though held in the region.
		Wasted float64
		// Crest is the share of the top class's requests that met its targets
		// during the swing.
		Crest float64
		// Tail is the 99th percentile of the time to the first token of the top
		// two classes.
		Tail time.Duration
		// SmallShare is the least that a small member got of its max-min share
		// while it was backlogged, over windows of 30 seconds.
		SmallShare float64
		// SmallLag is by how many of the largest requests in a window a small
		// member fell short of 0.9 of its share at most; requests cannot be
		// divided, so up to one is no sign of unfairness.
		SmallLag float64
		// Jain is Jain's index of the two largest members.
		Jain float64
		// Violations counts breaches of the order of shedding.
		Violations int
		// Unknown counts requests whose outcome could not be told.
		Unknown int
		// Failures are the reasons for missed targets by class.
		Failures [][4]int
		// Series is the share of requests within their targets by time of arrival,
		// in steps of SeriesStep.
		Series []float64
		// LinkBytes is what the link between the regions carried.
		LinkBytes int64
	}
)

// SeriesStep is the step of Measures.Series.
const SeriesStep = 5 * time.Second

// Measure computes a run's figures.
func Measure(run Run) Measures {
	m := Measures{Scenario: run.Scenario, Contender: run.Contender, LinkBytes: run.LinkBytes}
	for class := range run.Workload.Classes {
		m.Goodput = append(m.Goodput, run.goodput(class, Warmup, Length))
	}
	m.Series = run.series()
	m.Wasted = run.wasted()
	m.Failures = run.Failures()
	m.Crest = run.goodput(0, SwingStart, SwingEnd)
	m.Tail = run.tail()
	m.SmallShare, m.SmallLag, m.Jain = run.shares()
	m.Violations = len(acaciacheck.One(acaciacheck.ShedOrder, run.Events))
	for _, r := range run.Results {
		if r.Code == acaciaroute.CodeOutcomeUnknown {
			m.Unknown++
		}
	}
	return m
}

// Good reports whether a request met its class's targets.
func (run Run) Good(r *Result) bool {
	class := run.Workload.Classes[r.Class]
	if !r.Done || r.Code != acaciaroute.CodeOK || r.First-r.At > class.FirstToken {
		return false
	}
	if r.Produced < 2 {
		return true
	}
	return (r.Last-r.First)/time.Duration(r.Produced-1) <= class.TokenGap
}

// Failures counts, for each class, the requests that missed their targets by
// the reason: shed, broken off, late first token, slow tokens.
func (run Run) Failures() [][4]int {
	failures := make([][4]int, len(run.Workload.Classes))
	for _, r := range run.Results {
		if r.At < Warmup || run.Good(r) {
			continue
		}
		failures[r.Class][run.failure(r)]++
	}
	return failures
}

func (run Run) failure(r *Result) int {
	switch {
	case !r.Done && r.Produced == 0 && r.Granted == 0:
		return 0
	case !r.Done:
		return 1
	case r.First-r.At > run.Workload.Classes[r.Class].FirstToken:
		return 2
	}
	return 3
}

func (run Run) series() []float64 {
	steps := int(Length / SeriesStep)
	good, all := make([]int, steps), make([]int, steps)
	for _, r := range run.Results {
		step := int(r.At / SeriesStep)
		all[step]++
		if run.Good(r) {
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
		if run.Good(r) {
			good++
		}
	}
	return ratio(good, all)
}

func (run Run) wasted() float64 {
	wasted, all := 0, 0
	for _, r := range run.Results {
		if r.At < Warmup {
			continue
		}
		all += r.Prefilled + r.Lost
		wasted += r.Lost
		if !run.Good(r) {
			wasted += r.Prefilled
		} else {
			wasted += r.Avoidable
		}
	}
	return ratio(wasted, all)
}

func (run Run) tail() time.Duration {
	var times []time.Duration
	for _, r := range run.Results {
		if r.Class < 2 && r.At >= Warmup && r.Produced > 0 {
			times = append(times, r.First-r.At)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)*99/100]
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
