package acaciamemory

import (
	"cmp"
	"slices"
	"time"
)

// stallTime is how long a body must have made no progress to be evicted for the sake of a connection, or to
// count as one that a small size no longer protects.
const stallTime = time.Second

// victim returns the request that gives way to a request that needs more bytes, nil if none does and that one is to
// be refused. Callers that hold less than the request's own caller would are not touched.
func (b *Requests) victim(r *Request, more int64) *Request {
	weight := func(c *caller) int64 {
		if c == r.caller {
			return c.held + more
		}
		return c.held
	}
	var callers []*caller
	for _, c := range b.callers {
		if weight(c) >= weight(r.caller) {
			callers = append(callers, c)
		}
	}
	slices.SortFunc(callers, func(a, c *caller) int {
		return cmp.Or(cmp.Compare(weight(c), weight(a)), cmp.Compare(a.name, c.name))
	})
	for _, c := range callers {
		if c == r.caller {
			return b.ownVictim(r, more)
		}
		if victim := b.slowest(c); victim != nil {
			return victim
		}
		if victim := b.newestWaiting(c); victim != nil {
			return victim
		}
	}
	return nil
}

// ownVictim returns the body of the same caller that gives way: of those that yield, the one that has made no
// progress for longest.
func (b *Requests) ownVictim(r *Request, more int64) *Request {
	return b.first(func(other *Request) bool {
		return other != r && other.caller == r.caller && other.phase == PhaseReading && b.yields(other, r, more)
	}, compareProgress)
}

// yields reports whether a body gives way to a request of the same caller that needs more bytes. What is small comes
// before what is large; otherwise, what has made progress later does.
func (b *Requests) yields(body, r *Request, more int64) bool {
	switch {
	case b.precedes(body, r, r.size+more):
		return false
	case b.precedes(r, body, body.size):
		return true
	}
	return r.phase != PhaseReading || compareProgress(body, r) < 0
}

// precedes reports whether a body that has not stalled needs in all at most half of what another one does, which holds
// at least as much. A small body alone can't make room for many large ones, and is soon complete.
func (b *Requests) precedes(small, other *Request, held int64) bool {
	if small.whole == 0 || small.phase != PhaseReading || b.latest.Sub(small.progressAt) >= stallTime {
		return false
	}
	return held >= small.whole && (other.whole == 0 || other.whole >= 2*small.whole)
}

// compareProgress orders bodies by the time for which they have made no progress, the longest first.
func compareProgress(r, other *Request) int {
	return cmp.Or(r.progressAt.Compare(other.progressAt), cmp.Compare(r.sequence, other.sequence))
}

// slowest returns the body of a caller (nil for all callers) that has made no progress for longest, nil if none is
// being read.
func (b *Requests) slowest(c *caller) *Request {
	return b.first(func(r *Request) bool { return r.phase == PhaseReading && (c == nil || r.caller == c) }, compareProgress)
}

// newestWaiting returns the request of a caller that has begun last of those that wait.
func (b *Requests) newestWaiting(c *caller) *Request {
	return b.first(func(r *Request) bool { return r.phase == PhaseWaiting && r.caller == c },
		func(r, other *Request) int { return cmp.Compare(other.sequence, r.sequence) })
}

// first returns the first request in an order, of those that match and hold anything.
func (b *Requests) first(matches func(*Request) bool, compare func(r, other *Request) int) *Request {
	var found *Request
	for r := range b.requests {
		if r.evicted || r.size == 0 || !matches(r) {
			continue
		}
		if found == nil || compare(r, found) < 0 {
			found = r
		}
	}
	return found
}

// EvictStalled evicts the body that has made no progress for longest, if that is at least a second, because its
// connection is needed. It reports whether there was one.
func (b *Requests) EvictStalled(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	victim := b.slowest(nil)
	if victim == nil || now.Sub(victim.progressAt) < stallTime {
		return false
	}
	victim.giveWay()
	return true
}
