package acaciarollout

import (
	"maps"
	"slices"
	"time"
)

type (
	// Explanation says why a service's requests go where they go.
	Explanation struct {
		Order Order
		// Known reports whether this process knows the state of the order.
		Known bool
		Age   time.Duration
		// InContact reports whether a verdict of others would be heard.
		InContact bool
		Step      int
		// Share is the share of requests that the target may get now.
		Share float64
		// SentAll and SentTarget count this process's requests since the order.
		SentAll, SentTarget int64
		// AllSent and AllSentTarget count those of all processes, as they have told.
		AllSent, AllSentTarget int64
		Verdict                State
		// Status is the state of the order that the store holds.
		Status State
		// Reason says why the verdict is what it is, or what the order waits for.
		Reason string
		Routes []RouteExplanation
	}

	// RouteExplanation holds the merged evidence on a route. The last one, with an empty Route, is that of
	// all routes together.
	RouteExplanation struct {
		Route       string
		Old, Target Counts
		// Baseline is the share of bad answers that is expected of a good version now.
		Baseline float64
		// Score is the logarithm of the evidence that the version is bad here; ScoreWithoutWorst is the
		// score without the endpoint that contributes most to it. The version is bad from Threshold on.
		Score, ScoreWithoutWorst, Threshold float64
		// Worst is that endpoint.
		Worst string
	}
)

// Explain returns why the requests of a service go where they go now; the zero value if it has no order.
func (t *Table) Explain(service string, now time.Time) Explanation {
	s := t.services[service]
	if s == nil || s.rollout == nil {
		return Explanation{}
	}
	r := s.rollout
	e := Explanation{
		Order: r.order, Known: r.known, Age: r.age(now), InContact: t.inContact(now), Step: r.step,
		Share: t.settings.share(r.step), SentAll: r.exposure.all, SentTarget: r.exposure.target,
		AllSent: r.exposure.all, AllSentTarget: r.exposure.target,
		Verdict: r.verdict(), Status: r.statusIn(s), Reason: r.reason, Routes: r.explainRoutes(),
	}
	for _, told := range r.told {
		e.AllSent += told.sentAll
		e.AllSentTarget += told.sentTarget
	}
	if e.Verdict == StateNone {
		e.Reason = t.waitsFor(s, now)
	}
	return e
}

// statusIn returns the state of the order in the store.
func (r *rollout) statusIn(s *service) State {
	switch {
	case r.stored != StateNone:
		return r.stored
	case r.began != (Position{}) && s.status.At == r.began:
		return StateRunning
	}
	return StateNone
}

// explainRoutes returns the evidence on each route and on all together.
func (r *rollout) explainRoutes() []RouteExplanation {
	byRoute := map[string]*RouteExplanation{}
	all := RouteExplanation{}
	for key, counts := range r.evidence.total {
		route := byRoute[key.route]
		if route == nil {
			route = &RouteExplanation{Route: key.route, Baseline: r.judge.expected(key.route)}
			byRoute[key.route] = route
		}
		route.add(key.target, counts)
		all.add(key.target, counts)
	}
	var routes []RouteExplanation
	for _, name := range slices.Sorted(maps.Keys(byRoute)) {
		if test := r.judge.tests[name]; test != nil {
			byRoute[name].explain(test, r.judge.threshold())
		}
		routes = append(routes, *byRoute[name])
	}
	all.explain(r.judge.pooled, r.judge.threshold())
	return append(routes, all)
}

func (e *RouteExplanation) add(target bool, counts Counts) {
	if target {
		e.Target = e.Target.plus(counts)
	} else {
		e.Old = e.Old.plus(counts)
	}
}

func (e *RouteExplanation) explain(test *test, threshold float64) {
	e.Score, e.Threshold = test.score, threshold
	e.ScoreWithoutWorst, e.Worst = test.withoutWorst()
}
