package acaciagrant

import (
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaprefix"
	"github.com/acaciaroute/acaciaroute/acaciaqueue"
)

const (
	// classHeadroom is the share of the limit that each class leaves free for the class
	// above it.
	classHeadroom = 0.06
	// maxHeadroomClasses is the maximum number of higher classes for which a class leaves
	// headroom.
	maxHeadroomClasses = 4
	// maxBacklogTime bounds the prefill backlog: another prompt is granted only while the
	// expected time to prefill the prompts granted so far is below it.
	maxBacklogTime = 150 * time.Millisecond
	// stragglerDelay is the minimum time that a reservation waits at a straggler, so that
	// other endpoints can grant it first.
	stragglerDelay = 300 * time.Millisecond
	// prefillMargin is a factor on the expected prefill time that allows for a slower
	// prefill.
	prefillMargin = 1.15
)

// grantWhileRoom grants waiting reservations, best first, while the endpoint has room.
// It refuses those whose first token would miss its deadline.
func (g *Granter) grantWhileRoom() {
	for !g.stopping {
		item := g.queue.Best()
		if item == nil || !g.hasRoomFor(item) {
			return
		}
		item = g.queue.BestByValue(g.loop.Now(), g.cachedPromptShare)
		if g.missesDeadline(item) {
			g.refuseTooLate(item)
			continue
		}
		g.issueGrant(item)
	}
}

// cachedPromptShare returns the share of a prompt that is expected to be in the engine's
// cache, or -1 for a request that must run alone. Such a request is never preferred for
// its cached prefix, because the endpoint may only have room for a request that can run
// beside others.
func (g *Granter) cachedPromptShare(item *acaciaqueue.Item) float64 {
	if item.Exclusive {
		return -1
	}
	return float64(g.cache.Cached(acaciaprefix.BlockSegments(item.Prefixes))) / float64(max(1, item.PromptTokens))
}

// missesDeadline reports whether the first token of item would miss its deadline even if
// item were granted now, so that its prefill would be wasted. While a lower class waits,
// the estimate is optimistic: it leaves out prefillMargin and the time between tokens,
// because refusing item would give the slot to the lower class.
func (g *Granter) missesDeadline(item *acaciaqueue.Item) bool {
	if g.settings.Plain {
		return false
	}
	left := item.Deadline.Sub(g.loop.Now())
	if g.queue.HasLowerWaiting(item.Rank) {
		return g.prefillTimeLeft(item) > left
	}
	return g.engineFirstTokenDelay(item) > left
}

// prefillTimeLeft returns the expected time until the engine finishes the prefill of
// item, including the prompts granted before it.
func (g *Granter) prefillTimeLeft(item *acaciaqueue.Item) time.Duration {
	uncached := max(0, item.PromptTokens-g.cache.Cached(acaciaprefix.BlockSegments(item.Prefixes)))
	return g.backlogTimeLeft() + g.estimator.PrefillTime(uncached)
}

// engineFirstTokenDelay returns the expected time from a grant to the first token of an
// engine, with prefillMargin.
func (g *Granter) engineFirstTokenDelay(item *acaciaqueue.Item) time.Duration {
	return time.Duration(prefillMargin*float64(g.prefillTimeLeft(item))) + g.estimator.TokenGap()
}

// refuseTooLate removes a reservation whose first token would miss its deadline.
func (g *Granter) refuseTooLate(item *acaciaqueue.Item) {
	id := item.RequestID
	w := g.waiters[id]
	g.queue.Remove(id)
	delete(g.waiters, id)
	offer := g.newOffer(id, acaciaroute.OfferRefused, g.departures.expectedWait(g.loop.Now(), g.queue.Len()))
	offer.RefusedTooLate = true
	offer.FirstTokenDelay = g.engineFirstTokenDelay(item)
	w.notify(offer)
}

// hasRoomFor reports whether item may be granted now.
func (g *Granter) hasRoomFor(item *acaciaqueue.Item) bool {
	if item.Exclusive && !g.Idle() || g.usedExclusively() {
		return false
	}
	if g.loop.Now().Before(g.backoffUntil) || len(g.runs)+len(g.heldGrants) >= g.limitForRank(item.Rank) {
		return false
	}
	if g.settings.Plain {
		return true
	}
	if g.higherClassGrantHeld(item.Rank) {
		return false
	}
	if g.estimator.Straggling() && g.loop.Now().Sub(item.Arrived) < stragglerDelay {
		return false
	}
	return g.prefillBacklog == 0 || g.backlogTimeLeft() < maxBacklogTime
}

// higherClassGrantHeld reports whether a grant of a class above rank is still held for
// its request. A prompt that reached the engine before that request would delay it.
func (g *Granter) higherClassGrantHeld(rank int) bool {
	for _, h := range g.heldGrants {
		if h.item.Rank > rank {
			return true
		}
	}
	return false
}

// usedExclusively reports whether the endpoint runs, or is held for, a request that must
// run alone.
func (g *Granter) usedExclusively() bool {
	if len(g.heldGrants)+len(g.runs) != 1 {
		return false
	}
	for _, h := range g.heldGrants {
		return h.item.Exclusive
	}
	for _, r := range g.runs {
		return r.item.Exclusive
	}
	return false
}

// limitForRank returns the limit for a class: lower classes leave some room for the
// higher ones that are known here.
func (g *Granter) limitForRank(rank int) int {
	limit := g.Limit()
	higherClasses := min(g.queue.RanksAbove(rank), maxHeadroomClasses)
	return max(1, int(float64(limit)*(1-classHeadroom*float64(higherClasses))))
}

// issueGrant moves a reservation from the queue to the held grants. If its request does
// not arrive within GrantLifetime, the grant expires and the reservation is refused.
func (g *Granter) issueGrant(item *acaciaqueue.Item) {
	id := item.RequestID
	w := g.waiters[id]
	g.queue.Remove(id)
	delete(g.waiters, id)
	g.departures.recordDeparture(g.loop.Now())
	g.lastGrant++
	h := &heldGrant{waiter: w, item: item, notify: w.notify, grant: g.lastGrant, cachedTokens: g.cache.Cached(acaciaprefix.BlockSegments(item.Prefixes))}
	h.expires = g.loop.Now().Add(g.settings.GrantLifetime)
	h.timer = g.loop.After(g.settings.GrantLifetime, func() {
		if g.heldGrants[id] == h {
			g.releaseGrant(id)
			g.grantWhileRoom()
			h.notify(g.newOffer(id, acaciaroute.OfferRefused, 0))
		}
	})
	g.heldGrants[id] = h
	g.prefillBacklog += h.uncachedTokens()
	offer := g.newOffer(id, acaciaroute.OfferGranted, 0)
	offer.GrantNumber = h.grant
	offer.CachedTokens = h.cachedTokens
	w.notify(offer)
}

// releaseGrant drops a request's held grant, if it has one.
func (g *Granter) releaseGrant(requestID string) {
	h, ok := g.heldGrants[requestID]
	if !ok {
		return
	}
	h.timer.Stop()
	delete(g.heldGrants, requestID)
	g.prefillBacklog -= h.uncachedTokens()
}

// uncachedTokens returns how many prompt tokens are to be prefilled, at least 1.
func (h *heldGrant) uncachedTokens() int {
	return max(1, h.item.PromptTokens-h.cachedTokens)
}

// backlogTimeLeft returns the expected time until all granted prompts are prefilled.
func (g *Granter) backlogTimeLeft() time.Duration {
	if g.settings.Plain || g.prefillBacklog == 0 {
		return 0
	}
	if len(g.prefilling) == 0 {
		return g.estimator.PrefillTime(g.prefillBacklog)
	}
	first := g.prefilling[0]
	spent := g.loop.Now().Sub(g.prefillStart(first))
	left := max(0, g.estimator.PrefillTime(first.uncachedTokens)-spent)
	return left + g.estimator.PrefillTime(g.prefillBacklog-first.uncachedTokens)
}
