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
	// Granter is the control state of one agent. Its methods run on the loop.
	Granter struct {
		loop     acaciaroute.Loop
		settings Settings
		queue    *acaciaqueue.Queue
		learner  *acaciabatch.Learner
		cache    *acaciaprefix.Cache
		waiters  map[string]*waiter
		held     map[string]*hold
		runs     map[string]*run
		backlog  int
		prefill  []*run
		outputs  map[string]float64
		drain    drainMeter
		grants   uint64
		stopping bool
		pause    time.Duration
		resumeAt time.Time
		ticking  bool
		// lastPrefilled is when the engine was last done with a prompt.
		lastPrefilled time.Time
		// straggling is what Settings.Straggled heard last.
		straggling bool
	}

	// Settings fix what a granter cannot learn.
	Settings struct {
		// Plain tells that the endpoint is a plain service, which has no tokens.
		Plain bool
		// PlainLimit is the number of calls that a plain service runs at once.
		PlainLimit int
		// CacheTokens is the size of the engine's prefix cache in tokens.
		CacheTokens int
		// HoldTime is how long a grant waits for its request.
		HoldTime time.Duration
		// FirstGrant is the number before the first grant; its upper half names
		// the agent's incarnation.
		FirstGrant uint64
		// TakeBack, if set, ends a request at the endpoint before its first token, so
		// that it can run at another one, and then calls End.
		TakeBack func(requestID string)
		// Straggled, if set, hears when the endpoint becomes a straggler or recovers,
		// and how many times slower than expected its tokens come.
		Straggled func(straggling bool, slowdown float64)
	}

	// Notify tells the owner of a reservation about a change.
	Notify func(acaciaroute.Offer)

	waiter struct {
		item   *acaciaqueue.Item
		notify Notify
		last   acaciaroute.OfferKind
		cached int
		// straggling is what the last offer said of the endpoint.
		straggling bool
	}

	hold struct {
		// waiter is the reservation that was granted.
		waiter *waiter
		item   *acaciaqueue.Item
		notify Notify
		grant  uint64
		cached int
		timer  acaciaroute.Timer
		// expires is when the grant is no longer held, whether or not the timer has run.
		expires time.Time
	}
)

const (
	// DefaultHoldTime is the default of Settings.HoldTime.
	DefaultHoldTime = 500 * time.Millisecond
	// DefaultPlainLimit is the default of Settings.PlainLimit.
	DefaultPlainLimit = 32
	// DefaultCacheTokens is the default of Settings.CacheTokens.
	DefaultCacheTokens = 200_000

	minPause = 500 * time.Millisecond
	maxPause = 5 * time.Second

	incarnationShift = 32
)

// New returns a granter with no work.
func New(loop acaciaroute.Loop, settings Settings) *Granter {
	settings.HoldTime = cmp.Or(settings.HoldTime, DefaultHoldTime)
	settings.PlainLimit = cmp.Or(settings.PlainLimit, DefaultPlainLimit)
	settings.CacheTokens = cmp.Or(settings.CacheTokens, DefaultCacheTokens)
	return &Granter{
		loop:     loop,
		settings: settings,
		queue:    acaciaqueue.New(),
		learner:  acaciabatch.New(),
		cache:    acaciaprefix.NewCache(settings.CacheTokens),
		waiters:  map[string]*waiter{},
		held:     map[string]*hold{},
		runs:     map[string]*run{},
		outputs:  map[string]float64{},
		grants:   settings.FirstGrant,
	}
}

// OwnGrant reports whether this incarnation of the agent gave a grant. It may be
// called from any goroutine.
func (g *Granter) OwnGrant(grant uint64) bool {
	return grant>>incarnationShift == g.settings.FirstGrant>>incarnationShift
}

// EndpointDown notes that the endpoint could not be reached: there are no grants
// for a while, twice as long each time.
func (g *Granter) EndpointDown() {
	g.pause = min(max(2*g.pause, minPause), maxPause)
	g.resumeAt = g.loop.Now().Add(g.pause)
	g.cache.Clear()
	g.loop.After(g.pause, g.pump)
}

// EndpointUp notes that the endpoint answers.
func (g *Granter) EndpointUp() {
	g.pause = 0
}

// Reserve queues a reservation and tells notify at once where it stands. A reservation
// of the same request that came before, over a connection that has broken off, is
// replaced. The function that it returns ends this reservation and no later one.
func (g *Granter) Reserve(reservation acaciaroute.Reservation, notify Notify) (withdraw func()) {
	if g.stopping || g.runs[reservation.RequestID] != nil {
		notify(g.offer(reservation.RequestID, acaciaroute.OfferRefused, 0))
		return func() {}
	}
	g.forget(reservation.RequestID)
	item := g.queue.Add(reservation, g.loop.Now())
	w := &waiter{item: item, notify: notify, cached: g.cache.Cached(reservation.Prefixes)}
	g.waiters[reservation.RequestID] = w
	g.pump()
	if g.waiters[reservation.RequestID] == w {
		g.sendOffer(w)
	}
	g.tickLater()
	return func() {
		h := g.held[reservation.RequestID]
		if g.waiters[reservation.RequestID] == w || h != nil && h.waiter == w {
			g.Withdraw(reservation.RequestID)
		}
	}
}

// Withdraw ends a request's reservation or gives back its unused grant.
func (g *Granter) Withdraw(requestID string) {
	if g.waiters[requestID] != nil {
		g.drain.add(g.loop.Now())
	}
	g.forget(requestID)
	g.pump()
}

// forget drops a request's reservation and its unused grant.
func (g *Granter) forget(requestID string) {
	if g.waiters[requestID] != nil {
		g.queue.Remove(requestID)
		delete(g.waiters, requestID)
	}
	g.release(requestID)
}

// Stop makes the granter refuse new work; what runs goes on.
func (g *Granter) Stop() {
	g.stopping = true
	for _, w := range g.sortedWaiters() {
		id := w.item.RequestID
		g.queue.Remove(id)
		delete(g.waiters, id)
		w.notify(g.offer(id, acaciaroute.OfferRefused, 0))
	}
}

// Resume makes a stopped granter take work again.
func (g *Granter) Resume() {
	g.stopping = false
}

// Idle reports whether nothing runs and no grant is held.
func (g *Granter) Idle() bool {
	return len(g.runs) == 0 && len(g.held) == 0
}

// Running returns the number of requests in the endpoint.
func (g *Granter) Running() int {
	return len(g.runs)
}

// Limit returns the present limit of the running batch.
func (g *Granter) Limit() int {
	if g.settings.Plain {
		return g.settings.PlainLimit
	}
	return g.learner.Limit(g.strictestGap())
}

// Evicted notes that a prefix has left the engine's cache.
func (g *Granter) Evicted(prefix uint64) {
	g.cache.Remove(prefix)
}
