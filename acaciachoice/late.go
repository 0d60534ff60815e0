package acaciachoice

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/acaciaroute/acaciaroute"
)

type (
	// lateBinding queues a request at several endpoints and lets the first grant
	// decide. It asks the endpoints that probably have the prompt's prefix cached, then
	// those with the lowest expected time to the first token, then step by step more
	// of all endpoints.
	lateBinding struct {
		random *rand.Rand
	}

	// scoredCandidate is a candidate's position with its score; lower is better.
	scoredCandidate struct {
		position int
		score    float64
	}
)

const (
	// initialLocalCount is the number of endpoints asked at first for a prompt without
	// prefix hashes.
	initialLocalCount = 2
	// hintLifetime is how long a hint is used after it has arrived.
	hintLifetime = 3 * time.Second
	// defaultWait is the wait assumed at an endpoint without a fresh hint.
	defaultWait = 20 * time.Millisecond
	// defaultPrefillRate is the prefill speed assumed where it is unknown, in tokens
	// per second.
	defaultPrefillRate = 4000.0

	// answerTimeout is the time after which other endpoints are asked although some
	// have not answered yet.
	answerTimeout = 10 * time.Millisecond
	// widenInterval is how long the endpoints asked so far may take to grant before
	// more are asked.
	widenInterval = 15 * time.Millisecond
	// lowestClassQueues is the number of endpoints at which a request of the lowest
	// class is queued.
	lowestClassQueues = 4
)

// NewLateBinding returns the policy that the system uses.
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
		return l.chooseExclusive(question)
	}
	affine := l.affineEndpoints(question, affineCount)
	if asked == 0 && len(affine) > 0 {
		return acaciaroute.Choice{Ask: affine[:1], Again: answerTimeout}
	}
	if silent > 0 && question.Waited < answerTimeout {
		return acaciaroute.Choice{Again: answerTimeout - question.Waited}
	}
	if wait := l.prefixWait(question) - question.Waited; wait > 0 {
		return acaciaroute.Choice{Again: wait}
	}
	if asked == 1 && len(affine) > 0 {
		return acaciaroute.Choice{Ask: l.secondAffineAndQuickest(question, affine), Again: widenInterval}
	}
	return l.widenSearch(question, asked)
}

// countNotRefused returns the number of endpoints that were asked and have not
// refused.
func countNotRefused(candidates []acaciaroute.Candidate) int {
	count := 0
	for i := range candidates {
		if candidates[i].Asked && candidates[i].Offer.Kind != acaciaroute.OfferRefused {
			count++
		}
	}
	return count
}

// chooseExclusive chooses for a request that must run alone: it asks only the quickest
// endpoint that has not refused, because that endpoint must finish all its other work
// first.
func (l *lateBinding) chooseExclusive(question acaciaroute.Question) acaciaroute.Choice {
	order := l.quickest(question, false)
	if len(order) == 0 {
		order = l.quickest(question, true)
	}
	if countNotRefused(question.Candidates) > 0 || len(order) == 0 {
		return acaciaroute.Choice{}
	}
	return acaciaroute.Choice{Ask: order[:1]}
}

// widenSearch asks as many more endpoints as were asked before, those of the entry's
// own region first. A request of the lowest class is queued at a few endpoints only.
func (l *lateBinding) widenSearch(question acaciaroute.Question, asked int) acaciaroute.Choice {
	if question.YieldsFirst && countNotRefused(question.Candidates) >= lowestClassQueues {
		return l.remoteForLowestClass(question)
	}
	if positions := l.affineForLowestClass(question); len(positions) > 0 {
		return acaciaroute.Choice{Ask: positions, Again: widenInterval}
	}
	local := l.quickest(question, false)
	if len(local) > 0 {
		count := min(len(local), max(initialLocalCount, asked))
		return acaciaroute.Choice{Ask: local[:count], Again: widenInterval}
	}
	return l.widenToOtherRegions(question)
}

// hasFreshHint reports whether the candidate's hint is recent enough to be used.
func hasFreshHint(candidate *acaciaroute.Candidate) bool {
	return candidate.HintAge >= 0 && candidate.HintAge < hintLifetime
}

// isStraggling reports whether a fresh hint says that the candidate is much slower
// than expected.
func isStraggling(candidate *acaciaroute.Candidate) bool {
	return candidate.Hint.Straggling && hasFreshHint(candidate)
}

// prefillRate returns the candidate's prefill speed in tokens per second. Its offer
// for this request takes precedence over the last hint.
func prefillRate(candidate *acaciaroute.Candidate) float64 {
	rate := candidate.Hint.PrefillRate
	if offered := candidate.Offer.Hint.PrefillRate; offered > 0 {
		rate = offered
	}
	if rate <= 0 {
		return defaultPrefillRate
	}
	return rate
}

// quickest returns the candidates not yet asked in the entry's own region, or in other
// regions if remote is set, ordered by the expected time to the first token.
func (l *lateBinding) quickest(question acaciaroute.Question, remote bool) []int {
	var order []scoredCandidate
	for i := range question.Candidates {
		candidate := &question.Candidates[i]
		if candidate.Asked || candidate.Remote != remote {
			continue
		}
		order = append(order, scoredCandidate{i, l.expectedFirstToken(question, candidate)})
	}
	return lowestScores(order, len(order))
}

// expectedFirstToken returns the expected time to the first token in seconds. It adds
// up to 20% of random jitter, so that entries with equal hints do not all ask the same
// endpoint.
func (l *lateBinding) expectedFirstToken(question acaciaroute.Question, candidate *acaciaroute.Candidate) float64 {
	wait := defaultWait
	if hasFreshHint(candidate) {
		wait = candidate.Hint.Wait
		if candidate.Hint.Free == 0 {
			wait += candidate.Hint.Gap
		}
	}
	prefill := float64(question.Reservation.PromptTokens) / prefillRate(candidate)
	seconds := wait.Seconds() + prefill + candidate.Hint.Gap.Seconds()
	return seconds * (1 + 0.2*l.random.Float64())
}

// lowestScores returns the positions of the count candidates with the lowest scores,
// lowest first.
func lowestScores(order []scoredCandidate, count int) []int {
	slices.SortFunc(order, func(a, b scoredCandidate) int {
		return cmp.Or(cmp.Compare(a.score, b.score), a.position-b.position)
	})
	count = min(count, len(order))
	positions := make([]int, count)
	for i := range positions {
		positions[i] = order[i].position
	}
	return positions
}
