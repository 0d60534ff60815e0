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

	// offerTimeout is the time after which other endpoints are asked although some
	// have not sent an offer yet.
	offerTimeout = 10 * time.Millisecond
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
func (l *lateBinding) Choose(input acaciaroute.PolicyInput) acaciaroute.PolicyChoice {
	asked, silent := 0, 0
	for i := range input.Candidates {
		if input.Candidates[i].ReservationSent {
			asked++
		}
		if input.Candidates[i].ReservationSent && input.Candidates[i].Offer.Kind == 0 {
			silent++
		}
	}
	if input.Reservation.Exclusive {
		return l.chooseExclusive(input)
	}
	affine := l.affineEndpoints(input, affineCount)
	if asked == 0 && len(affine) > 0 {
		return acaciaroute.PolicyChoice{CandidatesToAsk: affine[:1], AskAgainAfter: offerTimeout}
	}
	if silent > 0 && input.Waited < offerTimeout {
		return acaciaroute.PolicyChoice{AskAgainAfter: offerTimeout - input.Waited}
	}
	if wait := l.prefixWait(input) - input.Waited; wait > 0 {
		return acaciaroute.PolicyChoice{AskAgainAfter: wait}
	}
	if asked == 1 && len(affine) > 0 {
		return acaciaroute.PolicyChoice{CandidatesToAsk: l.secondAffineAndQuickest(input, affine), AskAgainAfter: widenInterval}
	}
	return l.widenSearch(input, asked)
}

// countNotRefused returns the number of endpoints that were asked and have not
// refused.
func countNotRefused(candidates []acaciaroute.Candidate) int {
	count := 0
	for i := range candidates {
		if candidates[i].ReservationSent && candidates[i].Offer.Kind != acaciaroute.OfferRefused {
			count++
		}
	}
	return count
}

// chooseExclusive chooses for a request that must run alone. It asks one endpoint at a
// time, the quickest of those not yet asked, because an endpoint must finish all its
// other work before it runs such a request.
func (l *lateBinding) chooseExclusive(input acaciaroute.PolicyInput) acaciaroute.PolicyChoice {
	order := l.quickest(input, false)
	if len(order) == 0 {
		order = l.quickest(input, true)
	}
	if countNotRefused(input.Candidates) > 0 || len(order) == 0 {
		return acaciaroute.PolicyChoice{}
	}
	return acaciaroute.PolicyChoice{CandidatesToAsk: order[:1]}
}

// widenSearch asks as many more endpoints as were asked before, those of the entry's
// own region first. A request of the lowest class is queued at a few endpoints only.
func (l *lateBinding) widenSearch(input acaciaroute.PolicyInput, asked int) acaciaroute.PolicyChoice {
	if input.IsLowestClass && countNotRefused(input.Candidates) >= lowestClassQueues {
		return l.remoteForLowestClass(input)
	}
	if positions := l.affineForLowestClass(input); len(positions) > 0 {
		return acaciaroute.PolicyChoice{CandidatesToAsk: positions, AskAgainAfter: widenInterval}
	}
	local := l.quickest(input, false)
	if len(local) > 0 {
		count := min(len(local), max(initialLocalCount, asked))
		return acaciaroute.PolicyChoice{CandidatesToAsk: local[:count], AskAgainAfter: widenInterval}
	}
	return l.widenToOtherRegions(input)
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
func (l *lateBinding) quickest(input acaciaroute.PolicyInput, remote bool) []int {
	var order []scoredCandidate
	for i := range input.Candidates {
		candidate := &input.Candidates[i]
		if candidate.ReservationSent || candidate.Remote != remote {
			continue
		}
		order = append(order, scoredCandidate{i, l.expectedFirstToken(input, candidate)})
	}
	return lowestScores(order, len(order))
}

// expectedFirstToken returns the expected time to the first token in seconds. It adds
// up to 20% of random jitter, so that entries with equal hints do not all ask the same
// endpoint.
func (l *lateBinding) expectedFirstToken(input acaciaroute.PolicyInput, candidate *acaciaroute.Candidate) float64 {
	wait := defaultWait
	if hasFreshHint(candidate) {
		wait = candidate.Hint.ExpectedWait
		if candidate.Hint.FreeSlots == 0 {
			wait += candidate.Hint.TokenGap
		}
	}
	prefill := float64(input.Reservation.PromptTokens) / prefillRate(candidate)
	seconds := wait.Seconds() + prefill + candidate.Hint.TokenGap.Seconds()
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
