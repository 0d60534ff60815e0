package acaciachoice

import (
	"math/rand/v2"

	"github.com/acaciaroute/acaciaroute"
)

type (
	// roundRobin asks the endpoints in turn.
	roundRobin struct {
		next int
	}

	// leastLoaded asks the endpoint whose last load report, which lags behind, is the
	// lowest.
	leastLoaded struct{}

	// twoChoices asks the less loaded of two endpoints picked at random.
	twoChoices struct {
		random *rand.Rand
	}

	// earlyBinding asks only the endpoint with the lowest expected time to the first
	// token, as estimated from its last hint.
	earlyBinding struct {
		random *rand.Rand
	}
)

// NewRoundRobin returns a baseline policy that asks the endpoints in turn.
func NewRoundRobin() acaciaroute.Policy {
	return &roundRobin{}
}

// NewLeastLoaded returns a baseline policy that relies on the engines' load reports,
// which lag behind.
func NewLeastLoaded() acaciaroute.Policy {
	return leastLoaded{}
}

// NewTwoChoices returns a baseline policy that compares two endpoints picked at
// random.
func NewTwoChoices(random *rand.Rand) acaciaroute.Policy {
	return &twoChoices{random: random}
}

// NewEarlyBinding returns a baseline policy that commits a request to the queue of a
// single agent on arrival.
func NewEarlyBinding(random *rand.Rand) acaciaroute.Policy {
	return &earlyBinding{random: random}
}

// Name implements acaciaroute.Policy.
func (*roundRobin) Name() string { return "round_robin" }

// Choose implements acaciaroute.Policy.
func (r *roundRobin) Choose(input acaciaroute.PolicyInput) acaciaroute.PolicyChoice {
	if input.PreviousChoices > 0 {
		return acaciaroute.PolicyChoice{}
	}
	r.next++
	return singleChoice(r.next % len(input.Candidates))
}

// Name implements acaciaroute.Policy.
func (leastLoaded) Name() string { return "least_loaded" }

// Choose implements acaciaroute.Policy.
func (leastLoaded) Choose(input acaciaroute.PolicyInput) acaciaroute.PolicyChoice {
	if input.PreviousChoices > 0 {
		return acaciaroute.PolicyChoice{}
	}
	lowest := 0
	for i, candidate := range input.Candidates {
		if candidate.ReportedLoad < input.Candidates[lowest].ReportedLoad {
			lowest = i
		}
	}
	return singleChoice(lowest)
}

// Name implements acaciaroute.Policy.
func (*twoChoices) Name() string { return "two_choices" }

// Choose implements acaciaroute.Policy.
func (t *twoChoices) Choose(input acaciaroute.PolicyInput) acaciaroute.PolicyChoice {
	if input.PreviousChoices > 0 {
		return acaciaroute.PolicyChoice{}
	}
	a := t.random.IntN(len(input.Candidates))
	b := t.random.IntN(len(input.Candidates))
	if input.Candidates[b].ReportedLoad < input.Candidates[a].ReportedLoad {
		a = b
	}
	return singleChoice(a)
}

// Name implements acaciaroute.Policy.
func (*earlyBinding) Name() string { return "early_binding" }

// Choose implements acaciaroute.Policy.
func (e *earlyBinding) Choose(input acaciaroute.PolicyInput) acaciaroute.PolicyChoice {
	if input.PreviousChoices > 0 {
		return acaciaroute.PolicyChoice{}
	}
	estimator := lateBinding{random: e.random}
	order := estimator.quickest(input, false)
	if len(order) == 0 {
		order = estimator.quickest(input, true)
	}
	return singleChoice(order[0])
}

// singleChoice returns a choice of one candidate that is never revised.
func singleChoice(position int) acaciaroute.PolicyChoice {
	return acaciaroute.PolicyChoice{CandidatesToAsk: []int{position}}
}
