package acaciachoice

import (
	"math/rand/v2"

	"github.com/acaciaroute/acaciaroute"
)

type (
	// roundRobin asks one endpoint after the other.
	roundRobin struct {
		next int
	}

	// leastLoaded asks the endpoint with the lowest lagging report.
	leastLoaded struct{}

	// twoChoices asks the less loaded of two random endpoints.
	twoChoices struct {
		random *rand.Rand
	}

	// earlyBinding asks the endpoint with the lowest hint and no other.
	earlyBinding struct {
		random *rand.Rand
	}
)

// NewRoundRobin returns a baseline that takes endpoints in turn.
func NewRoundRobin() acaciaroute.Policy {
	return &roundRobin{}
}

// NewLeastLoaded returns a baseline that trusts the lagging load reports.
func NewLeastLoaded() acaciaroute.Policy {
	return leastLoaded{}
}

// NewTwoChoices returns a baseline that compares two random endpoints.
func NewTwoChoices(random *rand.Rand) acaciaroute.Policy {
	return &twoChoices{random: random}
}

// NewEarlyBinding returns a baseline that binds a request to the queue of one
// agent at once.
func NewEarlyBinding(random *rand.Rand) acaciaroute.Policy {
	return &earlyBinding{random: random}
}

// Name implements acaciaroute.Policy.
func (*roundRobin) Name() string { return "round_robin" }

// Choose implements acaciaroute.Policy.
func (r *roundRobin) Choose(question acaciaroute.Question) acaciaroute.Choice {
	if question.Stage > 0 {
		return acaciaroute.Choice{}
	}
	r.next++
	return one(r.next % len(question.Candidates))
}

// Name implements acaciaroute.Policy.
func (leastLoaded) Name() string { return "least_loaded" }

// Choose implements acaciaroute.Policy.
func (leastLoaded) Choose(question acaciaroute.Question) acaciaroute.Choice {
	if question.Stage > 0 {
		return acaciaroute.Choice{}
	}
	lowest := 0
	for i, candidate := range question.Candidates {
		if candidate.Reported < question.Candidates[lowest].Reported {
			lowest = i
		}
	}
	return one(lowest)
}

// Name implements acaciaroute.Policy.
func (*twoChoices) Name() string { return "two_choices" }

// Choose implements acaciaroute.Policy.
func (t *twoChoices) Choose(question acaciaroute.Question) acaciaroute.Choice {
	if question.Stage > 0 {
		return acaciaroute.Choice{}
	}
	a := t.random.IntN(len(question.Candidates))
	b := t.random.IntN(len(question.Candidates))
	if question.Candidates[b].Reported < question.Candidates[a].Reported {
		a = b
	}
	return one(a)
}

// Name implements acaciaroute.Policy.
func (*earlyBinding) Name() string { return "early_binding" }

// Choose implements acaciaroute.Policy.
func (e *earlyBinding) Choose(question acaciaroute.Question) acaciaroute.Choice {
	if question.Stage > 0 {
		return acaciaroute.Choice{}
	}
	scores := lateBinding{random: e.random}
	order := scores.quickest(question, false)
	if len(order) == 0 {
		order = scores.quickest(question, true)
	}
	return one(order[0])
}

func one(position int) acaciaroute.Choice {
	return acaciaroute.Choice{Ask: []int{position}}
}
