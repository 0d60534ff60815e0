package acaciagrant

import (
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaqueue"
)

const (
	// headroom is the share of the limit that each class leaves to the class
	// above it.
	headroom = 0.06
	// maxSteps bounds the classes for which headroom adds up.
	maxSteps = 4
	// backlogTime is how much prefill the engine holds at most before another
	// prompt is granted.
	backlogTime = 150 * time.Millisecond
	// stragglerDelay is how long a reservation waits at a straggler, so that the
	// others can grant first.
	stragglerDelay = 300 * time.Millisecond
	// prefillMargin allows for prefill that turns out slower than expected.
	prefillMargin = 1.15
)

// pump grants while there is room.
func (g *Granter) pump() {
	for !g.stopping {
		item := g.queue.Best()
		if item == nil || !g.room(item) {
			return
		}
		item = g.queue.BestFor(g.loop.Now(), g.cachedShare)
		if g.tooLate(item) {
			g.refuse(item)
			continue
		}
		g.grant(item)
	}
}

// cachedShare returns which part of a prompt is expected in the engine's cache. A
// request that must run alone is never preferred: there may be room for another one
// only.
func (g *Granter) cachedShare(item *acaciaqueue.Item) float64 {
	if item.Alone {
		return -1
	}
	return float64(g.cache.Cached(item.Prefixes)) / float64(max(1, item.PromptTokens))
}

// tooLate reports whether the first token would miss its deadline even if item
// were granted now; its prefill would be wasted. While a lower class waits the doubt
// is the item's: the place that it does not get would go to the lower class.
func (g *Granter) tooLate(item *acaciaqueue.Item) bool {
	if g.settings.Plain {
		return false
	}
	left := item.Deadline.Sub(g.loop.Now())
	if g.queue.LowerWaiting(item.Rank) {
		return g.prefillLeft(item) > left
	}
	return g.firstTokenTime(item) > left
}

// prefillLeft returns the expected time until the engine is done with item's prompt.
func (g *Granter) prefillLeft(item *acaciaqueue.Item) time.Duration {
	uncached := max(0, item.PromptTokens-g.cache.Cached(item.Prefixes))
	return g.backlogLeft() + g.learner.PrefillTime(uncached)
}

// firstTokenTime returns the time from a grant to the first token.
func (g *Granter) firstTokenTime(item *acaciaqueue.Item) time.Duration {
	return time.Duration(prefillMargin*float64(g.prefillLeft(item))) + g.learner.Gap()
}

// refuse ends a reservation that has no use here any more.
func (g *Granter) refuse(item *acaciaqueue.Item) {
	id := item.RequestID
	w := g.waiters[id]
	g.queue.Remove(id)
	delete(g.waiters, id)
	offer := g.offer(id, acaciaroute.OfferRefused, g.drain.wait(g.loop.Now(), g.queue.Len()))
	offer.TooLate = true
	offer.First = g.firstTokenTime(item)
	w.notify(offer)
}

// room reports whether the endpoint has room for item now.
func (g *Granter) room(item *acaciaqueue.Item) bool {
	if item.Alone && !g.Idle() || g.isolated() {
		return false
	}
	if g.loop.Now().Before(g.resumeAt) || len(g.runs)+len(g.held) >= g.limitFor(item.Rank) {
		return false
	}
	if g.settings.Plain {
		return true
	}
	if g.higherHeld(item.Rank) {
		return false
	}
	if g.learner.Straggling() && g.loop.Now().Sub(item.Arrived) < stragglerDelay {
		return false
	}
	return g.backlog == 0 || g.backlogLeft() < backlogTime
}

// higherHeld reports whether a grant of a higher class waits for its request: a prompt
// that came to the engine before it would delay it.
func (g *Granter) higherHeld(rank int) bool {
	for _, h := range g.held {
		if h.item.Rank > rank {
			return true
		}
	}
	return false
}

// isolated reports whether a request that must run alone has the endpoint.
func (g *Granter) isolated() bool {
	if len(g.held)+len(g.runs) != 1 {
		return false
	}
	for _, h := range g.held {
		return h.item.Alone
	}
	for _, r := range g.runs {
		return r.item.Alone
	}
	return false
}

// limitFor returns the limit that holds for a class: lower classes leave some
// room for the higher ones that are known here.
func (g *Granter) limitFor(rank int) int {
	limit := g.Limit()
	steps := min(g.queue.RanksAbove(rank), maxSteps)
	return max(1, int(float64(limit)*(1-headroom*float64(steps))))
}

func (g *Granter) grant(item *acaciaqueue.Item) {
	id := item.RequestID
	w := g.waiters[id]
	g.queue.Remove(id)
	delete(g.waiters, id)
	g.drain.add(g.loop.Now())
	g.grants++
	h := &hold{waiter: w, item: item, notify: w.notify, grant: g.grants, cached: g.cache.Cached(item.Prefixes)}
	h.expires = g.loop.Now().Add(g.settings.HoldTime)
	h.timer = g.loop.After(g.settings.HoldTime, func() {
		if g.held[id] == h {
			g.release(id)
			g.pump()
			h.notify(g.offer(id, acaciaroute.OfferRefused, 0))
		}
	})
	g.held[id] = h
	g.backlog += h.uncached()
	offer := g.offer(id, acaciaroute.OfferGranted, 0)
	offer.Grant = h.grant
	offer.CachedTokens = h.cached
	w.notify(offer)
}

func (g *Granter) release(requestID string) {
	h, ok := g.held[requestID]
	if !ok {
		return
	}
	h.timer.Stop()
	delete(g.held, requestID)
	g.backlog -= h.uncached()
}

func (h *hold) uncached() int {
	return max(1, h.item.PromptTokens-h.cached)
}

// backlogLeft returns how long the engine still needs for granted prompts.
func (g *Granter) backlogLeft() time.Duration {
	if g.settings.Plain || g.backlog == 0 {
		return 0
	}
	if len(g.prefill) == 0 {
		return g.learner.PrefillTime(g.backlog)
	}
	first := g.prefill[0]
	spent := g.loop.Now().Sub(g.prefillSince(first))
	left := max(0, g.learner.PrefillTime(first.uncached)-spent)
	return left + g.learner.PrefillTime(g.backlog-first.uncached)
}
