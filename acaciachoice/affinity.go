package acaciachoice

import (
	"math"
	"slices"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaprefix"
)

const (
	// affineCount is the number of endpoints that share the requests with one
	// prefix.
	affineCount = 2
	// savedPrefillFactor and prefixWaitSlackShare bound how long a request waits for
	// an endpoint that has its prefix cached: the first as a multiple of the prefill
	// time saved, the second as a share of the request's slack.
	savedPrefillFactor   = 5.0
	prefixWaitSlackShare = 0.25
	// minCachedTokens is the smallest number of cached tokens that justifies
	// waiting.
	minCachedTokens = 64
)

// affineForLowestClass returns the endpoints to ask for a request of the lowest
// class, instead of the quickest ones: the few that every entry selects for the
// request's prefix. It returns none for other classes.
func (l *lateBinding) affineForLowestClass(input acaciaroute.PolicyInput) []int {
	if !input.IsLowestClass {
		return nil
	}
	isAsked := func(position int) bool { return input.Candidates[position].ReservationSent }
	positions := slices.DeleteFunc(l.affineEndpoints(input, lowestClassQueues), isAsked)
	return positions[:min(len(positions), lowestClassQueues-countNotRefused(input.Candidates))]
}

// affineEndpoints returns up to count endpoints of the entry's own region that
// probably have the prompt's prefix cached. Those that recently ran the longest part
// of it come first; the rest follow in the order of rendezvous hashing of the first
// block, which is the same at every entry. A prompt too short to have prefix hashes
// has no such endpoints.
func (l *lateBinding) affineEndpoints(input acaciaroute.PolicyInput, count int) []int {
	prefixes := input.Reservation.Prefixes
	if len(prefixes) == 0 {
		return nil
	}
	var order []scoredCandidate
	for i := range input.Candidates {
		candidate := &input.Candidates[i]
		if !candidate.Remote && !isStraggling(candidate) {
			score := -float64(candidate.RecentPrefixTokens) - rendezvousScore(prefixes[0], candidate.ID)
			order = append(order, scoredCandidate{i, score})
		}
	}
	return lowestScores(order, count)
}

// rendezvousScore returns a number from 0 to 1; a key is assigned to the node with
// the highest score.
func rendezvousScore(key uint64, node string) float64 {
	return float64(acaciaprefix.RendezvousScore(key, node)) / math.MaxUint64
}

// secondAffineAndQuickest returns the second affine endpoint, unless it was asked
// already, and the quickest of the other endpoints in the region.
func (l *lateBinding) secondAffineAndQuickest(input acaciaroute.PolicyInput, affine []int) []int {
	var positions []int
	if len(affine) > 1 && !input.Candidates[affine[1]].ReservationSent {
		positions = append(positions, affine[1])
	}
	for _, position := range l.quickest(input, false) {
		if !slices.Contains(positions, position) {
			return append(positions, position)
		}
	}
	return positions
}

// prefixWait returns how long after its arrival a request waits for the endpoints
// asked so far because one of them has its prefix cached. A straggler is no reason to
// wait.
func (l *lateBinding) prefixWait(input acaciaroute.PolicyInput) time.Duration {
	saved := 0.0
	for i := range input.Candidates {
		candidate := &input.Candidates[i]
		if candidate.Offer.Kind != acaciaroute.OfferWaiting || candidate.Offer.CachedTokens < minCachedTokens {
			continue
		}
		if candidate.Offer.Hint.Straggling {
			continue
		}
		saved = max(saved, float64(candidate.Offer.CachedTokens)/prefillRate(candidate))
	}
	wait := time.Duration(saved * savedPrefillFactor * float64(time.Second))
	return min(wait, time.Duration(prefixWaitSlackShare*float64(input.Reservation.Slack)))
}
