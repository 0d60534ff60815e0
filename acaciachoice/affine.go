package acaciachoice

import (
	"math"
	"slices"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaprefix"
)

const (
	// affineAsk is how many endpoints share a prefix.
	affineAsk = 2
	// holdShare is the share of the saved prefill, and slackShare that of the
	// slack, for which a request waits for an endpoint that holds its prefix.
	holdShare  = 5.0
	slackShare = 0.25
	// worthHolding is the least cached tokens that are worth a wait.
	worthHolding = 64
)

// yieldingAsk returns the endpoints where a request of the class that yields first
// waits in place of the quickest ones: the few that all entries choose for its
// prefix.
func (l *lateBinding) yieldingAsk(question acaciaroute.Question) []int {
	if !question.YieldsFirst {
		return nil
	}
	isAsked := func(position int) bool { return question.Candidates[position].Asked }
	ask := slices.DeleteFunc(l.affine(question, fewAsked), isAsked)
	return ask[:min(len(ask), fewAsked-queued(question.Candidates))]
}

// affine returns the local endpoints that probably hold the prompt's prefix: the
// ones that have lately run most of it, then those to which its first block
// belongs by rendezvous hashing, which is the same at every entry. There are none
// for a prompt without a prefix worth looking for.
func (l *lateBinding) affine(question acaciaroute.Question, count int) []int {
	prefixes := question.Reservation.Prefixes
	if len(prefixes) == 0 {
		return nil
	}
	var order []scored
	for i := range question.Candidates {
		candidate := &question.Candidates[i]
		if !candidate.Remote && !straggling(candidate) {
			score := -float64(candidate.HeldTokens) - belongs(prefixes[0], candidate.ID)
			order = append(order, scored{i, score})
		}
	}
	return best(order, count)
}

// belongs returns a number from 0 to 1 that is highest at the node to which a key
// belongs.
func belongs(key uint64, node string) float64 {
	return float64(acaciaprefix.Score(key, node)) / math.MaxUint64
}

// withSecond returns the second affine endpoint and the quickest of the others.
func (l *lateBinding) withSecond(question acaciaroute.Question, affine []int) []int {
	var ask []int
	if len(affine) > 1 && !question.Candidates[affine[1]].Asked {
		ask = append(ask, affine[1])
	}
	for _, position := range l.quickest(question, false) {
		if !slices.Contains(ask, position) {
			return append(ask, position)
		}
	}
	return ask
}

// hold returns how long to wait, since the request came, for the endpoints that
// were asked, because one of them holds its prefix.
func (l *lateBinding) hold(question acaciaroute.Question) time.Duration {
	saved := 0.0
	for i := range question.Candidates {
		candidate := &question.Candidates[i]
		if candidate.Offer.Kind != acaciaroute.OfferWaiting || candidate.Offer.CachedTokens < worthHolding {
			continue
		}
		if candidate.Offer.Hint.Straggling {
			continue
		}
		saved = max(saved, float64(candidate.Offer.CachedTokens)/rateOf(candidate))
	}
	hold := time.Duration(saved * holdShare * float64(time.Second))
	return min(hold, time.Duration(slackShare*float64(question.Reservation.Slack)))
}
