package acaciafollow

import (
	"context"
	"sync"

	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

// EraWatch tells the followers of all topics of a new era of the store as soon as one of them
// has heard of it. A long poll would hear of it only at its end.
type EraWatch struct {
	mu      sync.Mutex
	current acaciaplatform.Era
	// currentContext ends with the current era, by endCurrent.
	currentContext context.Context
	endCurrent     context.CancelFunc
	// moves counts how often the store has got another address.
	moves int
}

// NewEraWatch returns a watch that has heard of no era.
func NewEraWatch() *EraWatch {
	w := &EraWatch{}
	w.currentContext, w.endCurrent = context.WithCancel(context.Background())
	return w
}

// Observe records the era that a response of the store names. moves is how often the store had moved before the
// call: a response from a former address says nothing of the store in use.
func (w *EraWatch) Observe(era acaciaplatform.Era, moves int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.moves != moves || !era.Replaces(w.current) {
		return
	}
	w.current = era
	w.endCurrent()
	w.currentContext, w.endCurrent = context.WithCancel(context.Background())
}

// MoveStore calls move, which gives the client another address of the store, and makes all topics be read anew
// there: it may be another store, whose era is not known yet.
//
// Both happen under the lock, so that a reader that finds the same number of moves before and after a call knows that
// the call has gone to one address only.
func (w *EraWatch) MoveStore(move func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	move()
	w.moves++
	w.current = 0
	w.endCurrent()
	w.currentContext, w.endCurrent = context.WithCancel(context.Background())
}

// Moves returns how often the store has got another address.
func (w *EraWatch) Moves() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.moves
}

// Current returns the newest era of which the process has heard, zero if it has heard of none since the store moved.
func (w *EraWatch) Current() acaciaplatform.Era {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current
}

// contextWithin returns a context that ends with ctx, with cancel, or as soon as the store is known
// to be in another era than the given one, or has moved more often than given.
func (w *EraWatch) contextWithin(ctx context.Context, era acaciaplatform.Era, moves int) (_ context.Context, cancel context.CancelFunc) {
	ctx, cancelWithin := context.WithCancel(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.current.Replaces(era) || w.moves != moves {
		cancelWithin()
		return ctx, cancelWithin
	}
	stop := context.AfterFunc(w.currentContext, cancelWithin)
	return ctx, func() {
		stop()
		cancelWithin()
	}
}
