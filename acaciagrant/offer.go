package acaciagrant

import (
	"maps"
	"slices"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaqueue"
)

// tickInterval is how often waiting reservations are looked at again.
const tickInterval = 50 * time.Millisecond

// Hint describes the granter to entries.
func (g *Granter) Hint() acaciaroute.Hint {
	return acaciaroute.Hint{
		Free:        max(0, g.Limit()-len(g.runs)-len(g.held)-g.queue.Len()),
		Waiting:     g.queue.Len(),
		Wait:        g.drain.wait(g.loop.Now(), g.queue.Len()) + g.backlogLeft(),
		Gap:         g.learner.Gap(),
		PrefillRate: g.learner.PrefillRate(),
		Stopping:    g.stopping,
		Straggling:  g.learner.Straggling(),
	}
}

// sendOffer sends a waiter its present position if the kind of offer has changed.
func (g *Granter) sendOffer(w *waiter) {
	wait := g.expectedWait(w.item)
	first := g.firstAfterGrant(w.item)
	kind := acaciaroute.OfferWaiting
	if g.hopeless(w, wait+first) {
		kind = acaciaroute.OfferHopeless
	}
	straggling := g.learner.Straggling()
	if kind == w.last && straggling == w.straggling {
		return
	}
	w.last = kind
	w.straggling = straggling
	offer := g.offer(w.item.RequestID, kind, wait)
	offer.CachedTokens = w.cached
	offer.First = first
	w.notify(offer)
}

// hopeless reports whether a first token after a time would be too late although no
// lower class waits here.
func (g *Granter) hopeless(w *waiter, first time.Duration) bool {
	if g.queue.LowerWaiting(w.item.Rank) {
		return false
	}
	return g.loop.Now().Add(first).After(w.item.Deadline)
}

// firstAfterGrant returns the expected time from a grant to the first token; plain
// services have none.
func (g *Granter) firstAfterGrant(item *acaciaqueue.Item) time.Duration {
	if g.settings.Plain {
		return 0
	}
	return g.firstTokenTime(item)
}

func (g *Granter) expectedWait(item *acaciaqueue.Item) time.Duration {
	return g.drain.wait(g.loop.Now(), g.queue.Ahead(item))
}

func (g *Granter) offer(id string, kind acaciaroute.OfferKind, wait time.Duration) acaciaroute.Offer {
	return acaciaroute.Offer{RequestID: id, Kind: kind, Wait: wait, Hint: g.Hint()}
}

// sortedWaiters returns the waiters in order of arrival.
func (g *Granter) sortedWaiters() []*waiter {
	waiters := slices.Collect(maps.Values(g.waiters))
	slices.SortFunc(waiters, func(a, b *waiter) int { return a.item.Compare(b.item) })
	return waiters
}

// tickLater keeps the tick running while there is work.
func (g *Granter) tickLater() {
	if g.ticking {
		return
	}
	g.ticking = true
	g.loop.After(tickInterval, g.tick)
}

func (g *Granter) tick() {
	g.ticking = false
	g.watchSilence()
	g.noteSpeed()
	g.takeBack()
	g.pump()
	for _, w := range g.sortedWaiters() {
		g.sendOffer(w)
	}
	if len(g.waiters) > 0 || len(g.runs) > 0 {
		g.tickLater()
	}
}
