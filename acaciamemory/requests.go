package acaciamemory

import (
	"context"
	"sync"
	"time"
)

type (
	// Requests bounds the memory that callers' requests hold together.
	//
	// Load pattern: many callers send large bodies at once, of which most never end, while others send
	// ordinary requests.
	//
	// If a request needs more than there is, requests of the caller that holds most give way: first the body
	// that has made no progress for longest (a small one that has not stalled comes before large ones of the same
	// caller), then, for the sake of a caller that holds less, the newest request
	// that waits to be passed on. A request that has been passed on never gives way. A request is never refused
	// while it is the only one.
	Requests struct {
		mu sync.Mutex
		bound
		held     int64
		sequence int64
		requests map[*Request]bool
		callers  map[string]*caller
		// latest is the latest time that requests have told.
		latest time.Time
		// released is closed, and replaced, whenever a request has released its memory.
		released chan struct{}
		evicted  int64
		refused  int64
	}

	// Request is what one request holds.
	Request struct {
		requests *Requests
		caller   *caller
		sequence int64
		evict    func(Phase)

		size int64
		// whole is what the request holds when its body is complete; zero if that isn't known.
		whole int64
		phase Phase
		// received is how much of the body had come at progressAt.
		received   int64
		progressAt time.Time
		evicted    bool
		ended      bool
	}

	// caller is the sum of the requests of a caller that are not evicted.
	caller struct {
		name     string
		held     int64
		requests int
	}

	// Phase is what a request does with its memory.
	Phase int

	// Counts is the state of Requests.
	Counts struct {
		Requests int
		// Bytes is what the requests hold, of which Limit may be held.
		Bytes, Limit int64
		// Evicted counts the requests that gave way to others, Refused those that got no memory.
		Evicted, Refused int64
	}
)

// The phases of a request, in their order.
const (
	// PhaseReading means that the body is being read.
	PhaseReading Phase = iota
	// PhaseWaiting means that the body is complete and the request has not been passed on.
	PhaseWaiting
	// PhaseRunning means that an endpoint may have the request.
	PhaseRunning
)

const (
	// progressBytes is how much of a body must come to count as progress; a caller that sends a byte now and
	// then makes none.
	progressBytes = 16 << 10
	// releaseTimeout bounds how long a request waits for memory that evicted ones have not released yet.
	releaseTimeout = time.Second
)

// NewRequests returns a budget of limit bytes, zero for no limit.
func NewRequests(limit int64) *Requests {
	return &Requests{bound: newBound(limit), requests: map[*Request]bool{}, callers: map[string]*caller{}, released: make(chan struct{})}
}

// SetLimit changes how many bytes all requests may hold together, zero for no limit. A lower limit evicts nothing by
// itself; it is reached as requests release their memory.
func (b *Requests) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.set(limit, b.held)
	b.wakeWaiters()
}

// Begin registers a request of a caller. Release must be called when it ends. evict is called at most once, when
// the request must give way, with its phase: its owner must release it soon. It is called with locks held, so that it must not
// call this package.
func (b *Requests) Begin(callerName string, now time.Time, evict func(Phase)) *Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.callers[callerName]
	if c == nil {
		c = &caller{name: callerName}
		b.callers[callerName] = c
	}
	c.requests++
	b.sequence++
	b.latest = later(b.latest, now)
	r := &Request{requests: b, caller: c, sequence: b.sequence, evict: evict, progressAt: now}
	b.requests[r] = true
	return r
}

// Resize changes how much the request holds. If others have to give way, it waits until they have released
// their memory. It returns false if the request gets no more and must be refused.
func (r *Request) Resize(ctx context.Context, size int64) bool {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	for {
		granted, refused, released := r.tryResize(size)
		if granted || refused {
			return granted
		}
		select {
		case <-released:
		case <-ctx.Done():
			r.requests.countRefusal()
			return false
		}
	}
}

// tryResize decides whether the request may change its size now. If it is neither granted nor refused, it must
// wait until others have released their memory.
func (r *Request) tryResize(size int64) (granted, refused bool, released <-chan struct{}) {
	b := r.requests
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.evicted || r.ended {
		return false, true, nil
	}
	more := size - r.size
	for {
		if more <= 0 || b.limit <= 0 || b.held+more <= b.limit || len(b.requests) == 1 {
			b.held += more
			r.size += more
			r.caller.held += more
			return true, false, nil
		}
		if b.live()+more <= b.limit {
			return false, false, b.released
		}
		victim := b.victim(r, more)
		if victim == nil {
			b.refused++
			return false, true, nil
		}
		victim.giveWay()
	}
}

// live returns what requests hold that are not evicted.
func (b *Requests) live() (bytes int64) {
	for _, c := range b.callers {
		bytes += c.held
	}
	return bytes
}

// giveWay evicts the request. Its memory counts until it is released.
func (r *Request) giveWay() {
	r.evicted = true
	r.caller.held -= r.size
	r.requests.evicted++
	r.evict(r.phase)
}

// Announce records what the request will hold, in bytes, when its body is complete.
func (r *Request) Announce(size int64) {
	r.requests.mu.Lock()
	defer r.requests.mu.Unlock()
	r.whole = size
}

// Progress records how much of the body has come.
func (r *Request) Progress(received int64, now time.Time) {
	r.requests.mu.Lock()
	defer r.requests.mu.Unlock()
	r.requests.latest = later(r.requests.latest, now)
	if received-r.received >= progressBytes {
		r.received, r.progressAt = received, now
	}
}

// Enter records that the request has reached a phase. It returns false if the request has been evicted before:
// then it must not go on.
func (r *Request) Enter(phase Phase) bool {
	r.requests.mu.Lock()
	defer r.requests.mu.Unlock()
	if r.evicted {
		return false
	}
	r.phase = max(r.phase, phase)
	return true
}

// Evicted reports whether the request must give way.
func (r *Request) Evicted() bool {
	r.requests.mu.Lock()
	defer r.requests.mu.Unlock()
	return r.evicted
}

// Release records that the request holds nothing any more.
func (r *Request) Release() {
	b := r.requests
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	b.held -= r.size
	b.release(r.size, b.held)
	if !r.evicted {
		r.caller.held -= r.size
	}
	r.caller.requests--
	if r.caller.requests == 0 {
		delete(b.callers, r.caller.name)
	}
	delete(b.requests, r)
	b.wakeWaiters()
}

// wakeWaiters makes the requests that wait for memory look again whether there is enough.
func (b *Requests) wakeWaiters() {
	close(b.released)
	b.released = make(chan struct{})
}

// Counts returns the state.
func (b *Requests) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Counts{Requests: len(b.requests), Bytes: b.held, Limit: b.limit, Evicted: b.evicted, Refused: b.refused}
}

func (b *Requests) countRefusal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refused++
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
