package acaciamemory

import (
	"errors"
	"sync"
	"time"
)

type (
	// Answers bounds the memory for the parts of answers that are held until more of them has come, or until their
	// callers have read them. If an answer needs more than there is, one of those whose caller has read nothing
	// for a second gives way, the longest first, or else the one that holds most.
	//
	// Load pattern: endpoints answer many requests at once with bytes that don't end, or callers don't read their
	// answers, while others answer and read as usual.
	Answers struct {
		mu sync.Mutex
		bound
		held    int64
		answers map[*Answer]bool
		evicted int64
	}

	// Answer is what the memory holds of one answer.
	Answer struct {
		answers *Answers
		size    int64
		evicted bool
		// evict ends the answer, which must release the memory then.
		evict func(error)
		// unreadSince is since when the caller has a part to take, zero if it has taken all that was sent.
		unreadSince time.Time
	}
)

// ErrAnswersTooLarge is the cause for which an answer is ended that gives way.
var ErrAnswersTooLarge = errors.New("the answers that endpoints have not ended, or callers have not read, need too much memory, and this one gives way")

// unreadTime is how long a caller must have read nothing for its answer to give way before larger ones.
const unreadTime = time.Second

// NewAnswers returns a budget of limit bytes, zero for no limit.
func NewAnswers(limit int64) *Answers {
	return &Answers{bound: newBound(limit), answers: map[*Answer]bool{}}
}

// SetLimit changes how many bytes all answers may hold together, zero for no limit. A lower limit ends no answer by
// itself; it is reached as answers release their memory.
func (m *Answers) SetLimit(limit int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.set(limit, m.held)
}

// Hold registers an answer that holds nothing yet; Release must be called when it ends. evict must not call this
// package.
func (m *Answers) Hold(evict func(error)) *Answer {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := &Answer{answers: m, evict: evict}
	m.answers[a] = true
	return a
}

// Resize records how many bytes the answer holds. While all together hold too much, others or the answer itself are
// evicted.
func (a *Answer) Resize(size int, now time.Time) {
	m := a.answers
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.answers[a] {
		return
	}
	more := int64(size) - a.size
	m.held += more
	a.size = int64(size)
	m.release(max(-more, 0), m.held)
	for m.limit > 0 && m.held > m.limit {
		m.evictOne(now)
	}
}

// Deliver records that a part of the answer is sent to the caller, who has taken what was sent before.
func (a *Answer) Deliver(now time.Time) {
	a.answers.mu.Lock()
	defer a.answers.mu.Unlock()
	a.unreadSince = now
}

// Delivered records that the caller has taken what was sent.
func (a *Answer) Delivered() {
	a.Deliver(time.Time{})
}

// Evicted reports whether the answer has been ended for others.
func (a *Answer) Evicted() bool {
	a.answers.mu.Lock()
	defer a.answers.mu.Unlock()
	return a.evicted
}

// Release records that the answer holds nothing any more.
func (a *Answer) Release() {
	a.answers.mu.Lock()
	defer a.answers.mu.Unlock()
	a.answers.remove(a)
}

// evictOne evicts the answer that gives way. It must be called with the lock held.
func (m *Answers) evictOne(now time.Time) {
	var victim *Answer
	for a := range m.answers {
		if victim == nil || a.givesWayBefore(victim, now) {
			victim = a
		}
	}
	m.remove(victim)
	m.evicted++
	victim.evicted = true
	victim.evict(ErrAnswersTooLarge)
}

// givesWayBefore reports whether the answer gives way before another one.
func (a *Answer) givesWayBefore(other *Answer, now time.Time) bool {
	unread, otherUnread := a.unreadFor(now), other.unreadFor(now)
	if unread != otherUnread {
		return unread > otherUnread
	}
	return a.size > other.size
}

// unreadFor returns for how long the caller has read nothing, zero if that is not long or it holds nothing.
func (a *Answer) unreadFor(now time.Time) time.Duration {
	if a.unreadSince.IsZero() || a.size == 0 || now.Sub(a.unreadSince) < unreadTime {
		return 0
	}
	return now.Sub(a.unreadSince)
}

// remove forgets an answer. It must be called with the lock held.
func (m *Answers) remove(a *Answer) {
	if m.answers[a] {
		delete(m.answers, a)
		m.held -= a.size
		m.release(a.size, m.held)
	}
}

// Counts returns the state.
func (m *Answers) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Counts{Requests: len(m.answers), Bytes: m.held, Limit: m.limit, Evicted: m.evicted}
}
