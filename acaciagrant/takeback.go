package acaciagrant

import (
	"slices"
	"time"
)

const (
	// takeBackFactor is the slowdown from which requests are taken back.
	takeBackFactor = 6
	// moveTime is what it takes to find another place, and moveGain by how much
	// sooner the first token must come there.
	moveTime = 100 * time.Millisecond
	moveGain = 100 * time.Millisecond
	// moveMargin allows for an endpoint that is slower than this one at its best.
	moveMargin = 2
)

// noteSpeed tells the owner when the endpoint becomes a straggler or recovers.
func (g *Granter) noteSpeed() {
	straggling := g.learner.Straggling()
	if straggling == g.straggling {
		return
	}
	g.straggling = straggling
	if g.settings.Straggled != nil {
		g.settings.Straggled(straggling, g.learner.Slowdown())
	}
}

// takeBack has the owner end the repeatable requests whose first token a straggler
// would bring much later than another endpoint.
func (g *Granter) takeBack() {
	if g.settings.TakeBack == nil || g.learner.Slowdown() < takeBackFactor {
		return
	}
	ahead := 0
	for _, r := range slices.Clone(g.prefill) {
		ahead += r.uncached
		if r.item.Repeatable && g.worthMoving(r, ahead) {
			ahead -= r.uncached
			g.settings.TakeBack(r.item.RequestID)
		}
	}
}

// worthMoving reports whether a request whose prefill ends after that of ahead
// tokens gets its first token sooner, and in time, if it starts again elsewhere.
func (g *Granter) worthMoving(r *run, ahead int) bool {
	spent := g.loop.Now().Sub(g.prefillSince(g.prefill[0]))
	here := g.learner.PrefillTime(ahead) - spent
	there := moveTime + moveMargin*g.learner.OwnPrefillTime(r.item.PromptTokens)
	left := r.item.Deadline.Sub(g.loop.Now())
	return there < left && there+moveGain < here
}
