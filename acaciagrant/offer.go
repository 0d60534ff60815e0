package acaciagrant

import (
	"maps"
	"slices"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaqueue"
)

// tickInterval is how often waiting reservations and running requests are checked.
const tickInterval = 50 * time.Millisecond

// Hint returns the load and speed of the endpoint as entries see them.
func (g *Granter) Hint() acaciaroute.Hint {
	return acaciaroute.Hint{
		FreeSlots:    max(0, g.Limit()-len(g.runs)-len(g.heldGrants)-g.queue.Len()),
		Waiting:      g.queue.Len(),
		ExpectedWait: g.departures.expectedWait(g.loop.Now(), g.queue.Len()) + g.backlogTimeLeft(),
		TokenGap:     g.estimator.TokenGap(),
		PrefillRate:  g.estimator.PrefillRate(),
		Stopping:     g.stopping,
		Straggling:   g.estimator.Straggling(),
	}
}

// sendChangedOffer sends a waiter a new offer if its kind, or whether the endpoint is a
// straggler, has changed since the last one.
func (g *Granter) sendChangedOffer(w *waiter) {
	wait := g.expectedWait(w.item)
	firstTokenDelay := g.firstTokenDelay(w.item)
	kind := acaciaroute.OfferWaiting
	if g.isTooLate(w, wait+firstTokenDelay) {
		kind = acaciaroute.OfferTooLate
	}
	straggling := g.estimator.Straggling()
	if kind == w.lastKind && straggling == w.straggling {
		return
	}
	w.lastKind = kind
	w.straggling = straggling
	offer := g.newOffer(w.item.RequestID, kind, wait)
	offer.CachedTokens = w.cachedTokens
	offer.FirstTokenDelay = firstTokenDelay
	w.notify(offer)
}

// isTooLate reports whether a first token after the given delay would miss the
// deadline while no lower class waits here that could be displaced.
func (g *Granter) isTooLate(w *waiter, delay time.Duration) bool {
	if g.queue.HasLowerWaiting(w.item.Rank) {
		return false
	}
	return g.loop.Now().Add(delay).After(w.item.Deadline)
}

// firstTokenDelay returns the expected time from a grant to the first token, or 0 for
// plain services, which produce no tokens.
func (g *Granter) firstTokenDelay(item *acaciaqueue.Item) time.Duration {
	if g.settings.Plain {
		return 0
	}
	return g.engineFirstTokenDelay(item)
}

// expectedWait returns the expected time until item is granted.
func (g *Granter) expectedWait(item *acaciaqueue.Item) time.Duration {
	return g.departures.expectedWait(g.loop.Now(), g.queue.EstimateAhead(item))
}

func (g *Granter) newOffer(id string, kind acaciaroute.OfferKind, wait time.Duration) acaciaroute.Offer {
	return acaciaroute.Offer{RequestID: id, Kind: kind, ExpectedWait: wait, Hint: g.Hint()}
}

// sortedWaiters returns the waiters in order of arrival.
func (g *Granter) sortedWaiters() []*waiter {
	waiters := slices.Collect(maps.Values(g.waiters))
	slices.SortFunc(waiters, func(a, b *waiter) int { return a.item.Compare(b.item) })
	return waiters
}

// scheduleTick schedules the next tick unless one is already scheduled.
func (g *Granter) scheduleTick() {
	if g.tickScheduled {
		return
	}
	g.tickScheduled = true
	g.loop.After(tickInterval, g.tick)
}

// tick updates what time alone changes: the measured silence, the straggling state, the
// grants and the offers. It reschedules itself while reservations wait or requests run.
func (g *Granter) tick() {
	g.tickScheduled = false
	g.observeSilence()
	g.reportStraggling()
	g.takeBackDelayedRequests()
	g.grantWhileRoom()
	for _, w := range g.sortedWaiters() {
		g.sendChangedOffer(w)
	}
	if len(g.waiters) > 0 || len(g.runs) > 0 {
		g.scheduleTick()
	}
}
