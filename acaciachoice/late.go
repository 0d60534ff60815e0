package acaciachoice

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/acaciaroute/acaciaroute"
)

type (
	// lateBinding asks the endpoints that probably hold the prompt's prefix, then
	// the ones that look quickest, then more and more of all.
	lateBinding struct {
		random *rand.Rand
	}

	scored struct {
		position int
		score    float64
	}
)

const (
	// firstAsk is how many endpoints are asked at first for a prompt without a
	// prefix.
	firstAsk = 2
	// hintLife is how long a hint counts.
	hintLife = 3 * time.Second
	// staleWait is the expected wait of an endpoint without a fresh hint.
	staleWait = 20 * time.Millisecond
	// defaultRate stands for an unknown prefill speed, in tokens per second.
	defaultRate = 4000.0

	// answerTime is how long an endpoint may take to answer before others are
	// asked.
	answerTime = 10 * time.Millisecond
	// widenTime is how long the endpoints asked so far have to grant.
	widenTime = 15 * time.Millisecond
	// fewAsked is how many endpoints queue a request of the class that yields
	// first.
	fewAsked = 4
)

// NewLateBinding returns the policy that the system runs.
func NewLateBinding(random *rand.Rand) acaciaroute.Policy {
	return &lateBinding{random: random}
}

// Name implements acaciaroute.Policy.
func (l *lateBinding) Name() string {
	return "late_binding"
}

// Choose implements acaciaroute.Policy.
func (l *lateBinding) Choose(question acaciaroute.Question) acaciaroute.Choice {
	asked, silent := 0, 0
	for i := range question.Candidates {
		if question.Candidates[i].Asked {
			asked++
		}
		if question.Candidates[i].Asked && question.Candidates[i].Offer.Kind == 0 {
			silent++
		}
	}
	if question.Reservation.Alone {
		return l.askOne(question)
	}
	affine := l.affine(question, affineAsk)
	if asked == 0 && len(affine) > 0 {
		return acaciaroute.Choice{Ask: affine[:1], Again: answerTime}
	}
	if silent > 0 && question.Waited < answerTime {
		return acaciaroute.Choice{Again: answerTime - question.Waited}
	}
	if hold := l.hold(question) - question.Waited; hold > 0 {
		return acaciaroute.Choice{Again: hold}
	}
	if asked == 1 && len(affine) > 0 {
		return acaciaroute.Choice{Ask: l.withSecond(question, affine), Again: widenTime}
	}
	return l.widen(question, asked)
}

// queued counts the endpoints that were asked and have not refused.
func queued(candidates []acaciaroute.Candidate) int {
	count := 0
	for i := range candidates {
		if candidates[i].Asked && candidates[i].Offer.Kind != acaciaroute.OfferRefused {
			count++
		}
	}
	return count
}

// askOne asks the quickest endpoint that has not refused, and no other, because it
// has to run empty for a request that must run alone.
func (l *lateBinding) askOne(question acaciaroute.Question) acaciaroute.Choice {
	order := l.quickest(question, false)
	if len(order) == 0 {
		order = l.quickest(question, true)
	}
	if queued(question.Candidates) > 0 || len(order) == 0 {
		return acaciaroute.Choice{}
	}
	return acaciaroute.Choice{Ask: order[:1]}
}

// widen asks as many more endpoints as were asked before, in the region first.
func (l *lateBinding) widen(question acaciaroute.Question, asked int) acaciaroute.Choice {
	if question.YieldsFirst && queued(question.Candidates) >= fewAsked {
		return l.yieldingRemote(question)
	}
	if ask := l.yieldingAsk(question); len(ask) > 0 {
		return acaciaroute.Choice{Ask: ask, Again: widenTime}
	}
	local := l.quickest(question, false)
	if len(local) > 0 {
		count := min(len(local), max(firstAsk, asked))
		return acaciaroute.Choice{Ask: local[:count], Again: widenTime}
	}
	return l.widenRemote(question)
}

// fresh reports whether the candidate's hint still counts.
func fresh(candidate *acaciaroute.Candidate) bool {
	return candidate.HintAge >= 0 && candidate.HintAge < hintLife
}

// straggling reports whether the candidate was lately much slower than it should
// be.
func straggling(candidate *acaciaroute.Candidate) bool {
	return candidate.Hint.Straggling && fresh(candidate)
}

func rateOf(candidate *acaciaroute.Candidate) float64 {
	rate := candidate.Hint.PrefillRate
	if offered := candidate.Offer.Hint.PrefillRate; offered > 0 {
		rate = offered
	}
	if rate <= 0 {
		return defaultRate
	}
	return rate
}

// quickest orders the candidates that were not asked by the expected time to
// the first token.
func (l *lateBinding) quickest(question acaciaroute.Question, remote bool) []int {
	var order []scored
	for i := range question.Candidates {
		candidate := &question.Candidates[i]
		if candidate.Asked || candidate.Remote != remote {
			continue
		}
		order = append(order, scored{i, l.expected(question, candidate)})
	}
	return best(order, len(order))
}

// expected returns the expected seconds to the first token, with a little chance
// so that entries with equal hints do not all ask the same endpoint.
func (l *lateBinding) expected(question acaciaroute.Question, candidate *acaciaroute.Candidate) float64 {
	wait := staleWait
	if fresh(candidate) {
		wait = candidate.Hint.Wait
		if candidate.Hint.Free == 0 {
			wait += candidate.Hint.Gap
		}
	}
	prefill := float64(question.Reservation.PromptTokens) / rateOf(candidate)
	seconds := wait.Seconds() + prefill + candidate.Hint.Gap.Seconds()
	return seconds * (1 + 0.2*l.random.Float64())
}

func best(order []scored, count int) []int {
	slices.SortFunc(order, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), a.position-b.position)
	})
	count = min(count, len(order))
	positions := make([]int, count)
	for i := range positions {
		positions[i] = order[i].position
	}
	return positions
}
