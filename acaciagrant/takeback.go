package acaciagrant

import (
	"slices"
	"time"
)

const (
	// minTakeBackSlowdown is the lowest present slowdown at which requests are taken back.
	// The slowdown whose rise by one late event is bounded reaches it a token later, and the
	// tails with stragglers grow by a twentieth.
	minTakeBackSlowdown = 6
	// restartDelay is the expected time to find another endpoint, and minRestartGain is
	// how much earlier the first token must arrive there.
	restartDelay   = 100 * time.Millisecond
	minRestartGain = 100 * time.Millisecond
	// restartPrefillMargin is a factor on the prefill time at this endpoint's nominal
	// speed that allows for a slower endpoint.
	restartPrefillMargin = 2
)

// reportStraggling calls Settings.OnStragglingChange when the endpoint becomes a
// straggler or recovers.
func (g *Granter) reportStraggling() {
	straggling := g.estimator.Straggling()
	if straggling == g.straggling {
		return
	}
	g.straggling = straggling
	if g.settings.OnStragglingChange != nil {
		g.settings.OnStragglingChange(straggling, g.estimator.Slowdown())
	}
}

// takeBackDelayedRequests calls Settings.TakeBack for the repeatable requests whose first
// token is expected much later from this straggling endpoint than from another one.
func (g *Granter) takeBackDelayedRequests() {
	if g.settings.TakeBack == nil || g.estimator.PresentSlowdown() < minTakeBackSlowdown {
		return
	}
	prefillTokens := 0
	for _, r := range slices.Clone(g.prefilling) {
		prefillTokens += r.uncachedTokens
		if r.item.Repeatable && g.startsSoonerElsewhere(r, prefillTokens) {
			prefillTokens -= r.uncachedTokens
			g.settings.TakeBack(r.item.RequestID)
		}
	}
}

// startsSoonerElsewhere reports whether a request gets its first token sooner, and before
// its deadline, if it is restarted at another endpoint. prefillTokens is the number of
// tokens that the engine has to prefill up to and including this request.
func (g *Granter) startsSoonerElsewhere(r *run, prefillTokens int) bool {
	spent := g.loop.Now().Sub(g.prefillStart(g.prefilling[0]))
	delayHere := g.estimator.PresentPrefillTime(prefillTokens) - spent
	delayElsewhere := restartDelay + restartPrefillMargin*g.estimator.NominalPrefillTime(r.item.PromptTokens)
	left := r.item.Deadline.Sub(g.loop.Now())
	return delayElsewhere < left && delayElsewhere+minRestartGain < delayHere
}
