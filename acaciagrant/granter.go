package acaciagrant

import (
	"cmp"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciabatch"
	"github.com/acaciaroute/acaciaroute/acaciaprefix"
	"github.com/acaciaroute/acaciaroute/acaciaqueue"
)

type (
	// Granter queues the reservations of one agent and grants them. Its methods must
	// run on the loop, except those that say otherwise.
	Granter struct {
		loop       acaciaroute.Loop
		settings   Settings
		queue      *acaciaqueue.Queue
		estimator  *acaciabatch.Estimator
		cache      *acaciaprefix.Cache
		waiters    map[string]*waiter
		heldGrants map[string]*heldGrant
		runs       map[string]*run
		// prefillBacklog is the number of prompt tokens of the held grants and the
		// requests in prefill that the engine has to process.
		prefillBacklog int
		// prefilling holds the requests without a first token, in the order they began.
		prefilling []*run
		// answerLengths holds the average answer length in tokens by class.
		answerLengths map[string]float64
		departures    departureMeter
		// lastGrant is the number of the newest grant.
		lastGrant uint64
		stopping  bool
		backoff   time.Duration
		// backoffUntil is when grants may be issued again after a failed connection.
		backoffUntil  time.Time
		tickScheduled bool
		// lastPrefillEnd is when the engine last finished a prefill, or when a request
		// last ended during its prefill.
		lastPrefillEnd time.Time
		// straggling is the state last passed to Settings.OnStragglingChange.
		straggling bool
	}

	// Settings configures what a granter cannot measure.
	Settings struct {
		// Plain reports whether the endpoint is a plain service, which produces no tokens.
		Plain bool
		// PlainLimit is the maximum number of concurrent calls to a plain service.
		PlainLimit int
		// CacheTokens is the size of the engine's prefix cache in tokens.
		CacheTokens int
		// GrantLifetime is how long a grant is held for its request.
		GrantLifetime time.Duration
		// GrantBase is the number before that of the first grant. Its upper 32 bits
		// identify the agent's incarnation.
		GrantBase uint64
		// TakeBack, if set, cancels a request at the endpoint before its first token, so
		// that it can run at another endpoint, and then calls EndRun.
		TakeBack func(requestID string)
		// OnStragglingChange, if set, is called when the endpoint becomes a straggler or
		// recovers; slowdown is how many times slower than expected its tokens arrive.
		OnStragglingChange func(straggling bool, slowdown float64)
	}

	// OfferFunc receives the offers for one reservation.
	OfferFunc func(acaciaroute.Offer)

	// waiter is a reservation in the queue.
	waiter struct {
		item         *acaciaqueue.Item
		notify       OfferFunc
		lastKind     acaciaroute.OfferKind
		cachedTokens int
		// straggling reports whether the last offer described the endpoint as a straggler.
		straggling bool
	}

	// heldGrant is a grant whose request has not arrived yet.
	heldGrant struct {
		// waiter is the reservation that was granted.
		waiter       *waiter
		item         *acaciaqueue.Item
		notify       OfferFunc
		grant        uint64
		cachedTokens int
		timer        acaciaroute.Timer
		// expires is when the grant becomes invalid, whether or not the timer has run.
		expires time.Time
	}
)

const (
	// DefaultGrantLifetime is the default of Settings.GrantLifetime.
	DefaultGrantLifetime = 500 * time.Millisecond
	// DefaultPlainLimit is the default of Settings.PlainLimit.
	DefaultPlainLimit = 32
	// DefaultCacheTokens is the default of Settings.CacheTokens.
	DefaultCacheTokens = 200_000

	// minBackoff and maxBackoff bound how long no grants are issued after the endpoint
	// could not be reached.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 5 * time.Second

	// incarnationShift is the number of bits of a grant number that count the grants of
	// one incarnation; the bits above identify the incarnation. It must equal the number
	// of bits in grantCounterMask of acaciaagent.
	incarnationShift = 32
)

// New returns a granter with an empty queue; zero values in settings are replaced by
// their defaults.
func New(loop acaciaroute.Loop, settings Settings) *Granter {
	settings.GrantLifetime = cmp.Or(settings.GrantLifetime, DefaultGrantLifetime)
	settings.PlainLimit = cmp.Or(settings.PlainLimit, DefaultPlainLimit)
	settings.CacheTokens = cmp.Or(settings.CacheTokens, DefaultCacheTokens)
	return &Granter{
		loop:          loop,
		settings:      settings,
		queue:         acaciaqueue.New(),
		estimator:     acaciabatch.New(),
		cache:         acaciaprefix.NewCache(settings.CacheTokens),
		waiters:       map[string]*waiter{},
		heldGrants:    map[string]*heldGrant{},
		runs:          map[string]*run{},
		answerLengths: map[string]float64{},
		lastGrant:     settings.GrantBase,
	}
}

// IsOwnGrant reports whether a grant's number belongs to this incarnation of the agent.
// It may be called from any goroutine.
func (g *Granter) IsOwnGrant(grant uint64) bool {
	return grant>>incarnationShift == g.settings.GrantBase>>incarnationShift
}

// MarkEndpointDown records that the endpoint could not be reached. No grants are issued
// during a backoff, which doubles with each consecutive call. The predicted prefix cache
// is cleared.
func (g *Granter) MarkEndpointDown() {
	g.backoff = min(max(2*g.backoff, minBackoff), maxBackoff)
	g.backoffUntil = g.loop.Now().Add(g.backoff)
	g.cache.Clear()
	g.loop.After(g.backoff, g.grantWhileRoom)
}

// MarkEndpointUp records that the endpoint has responded and resets the backoff.
func (g *Granter) MarkEndpointUp() {
	g.backoff = 0
}

// Reserve queues a reservation and calls notify with a first offer before it returns. It
// replaces an earlier reservation of the same request, which may have been left by a
// broken connection. The returned function withdraws this reservation, but not a later
// one that has replaced it.
func (g *Granter) Reserve(reservation acaciaroute.Reservation, notify OfferFunc) (withdraw func()) {
	if g.stopping || g.runs[reservation.RequestID] != nil {
		notify(g.newOffer(reservation.RequestID, acaciaroute.OfferRefused, 0))
		return func() {}
	}
	g.dropReservation(reservation.RequestID)
	item := g.queue.Add(reservation, g.loop.Now())
	w := &waiter{item: item, notify: notify, cachedTokens: g.cache.Cached(acaciaprefix.BlockSegments(reservation.Prefixes))}
	g.waiters[reservation.RequestID] = w
	g.grantWhileRoom()
	if g.waiters[reservation.RequestID] == w {
		g.sendChangedOffer(w)
	}
	g.scheduleTick()
	return func() {
		h := g.heldGrants[reservation.RequestID]
		if g.waiters[reservation.RequestID] == w || h != nil && h.waiter == w {
			g.Withdraw(reservation.RequestID)
		}
	}
}

// Withdraw removes a request's reservation from the queue or releases its unused grant.
func (g *Granter) Withdraw(requestID string) {
	if g.waiters[requestID] != nil {
		g.departures.recordDeparture(g.loop.Now())
	}
	g.dropReservation(requestID)
	g.grantWhileRoom()
}

// dropReservation removes a request's reservation and its unused grant, and neither
// counts a departure nor issues grants.
func (g *Granter) dropReservation(requestID string) {
	if g.waiters[requestID] != nil {
		g.queue.Remove(requestID)
		delete(g.waiters, requestID)
	}
	g.releaseGrant(requestID)
}

// Stop refuses all waiting and all new reservations; held grants stay valid and running
// requests continue.
func (g *Granter) Stop() {
	g.stopping = true
	for _, w := range g.sortedWaiters() {
		id := w.item.RequestID
		g.queue.Remove(id)
		delete(g.waiters, id)
		w.notify(g.newOffer(id, acaciaroute.OfferRefused, 0))
	}
}

// Resume makes a stopped granter accept reservations again.
func (g *Granter) Resume() {
	g.stopping = false
}

// Idle reports whether no request is running and no grant is held.
func (g *Granter) Idle() bool {
	return len(g.runs) == 0 && len(g.heldGrants) == 0
}

// Running returns the number of requests that are running at the endpoint.
func (g *Granter) Running() int {
	return len(g.runs)
}

// Limit returns how many requests may currently run at the endpoint at once.
func (g *Granter) Limit() int {
	if g.settings.Plain {
		return g.settings.PlainLimit
	}
	return g.estimator.Limit(g.strictestTokenGap())
}

// RemoveCachedPrefix records that the engine has evicted a prefix from its cache.
func (g *Granter) RemoveCachedPrefix(prefix uint64) {
	g.cache.Remove(prefix)
}
