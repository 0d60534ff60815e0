package acaciafollow

import (
	"context"
	"sync"
	"time"

	"github.com/acaciaroute/acaciaroute/acacialoop"
)

// Refresher lets requests wait for a read of the store that begins after they ask for it.
type Refresher struct {
	// wake asks for a read before the next one is due.
	wake chan struct{}

	mu sync.Mutex
	// waiting get the result of the next read, reading that of the one in progress.
	waiting []chan error
	reading []chan error
}

// MinRefreshInterval is the least pause before a read that requests have asked for.
const MinRefreshInterval = 30 * time.Millisecond

// NewRefresher returns a Refresher for which nobody waits.
func NewRefresher() *Refresher {
	return &Refresher{wake: make(chan struct{}, 1)}
}

// Refresh waits for a read that begins from now on and returns its error, or that of ctx.
func (r *Refresher) Refresh(ctx context.Context) error {
	result := make(chan error, 1)
	r.mu.Lock()
	r.waiting = append(r.waiting, result)
	r.mu.Unlock()
	r.WakeUp()
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// WakeUp ends the pause before the next read.
func (r *Refresher) WakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Begin records that a read begins, and reports whether requests wait for it.
func (r *Refresher) Begin() (asked bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reading = append(r.reading, r.waiting...)
	r.waiting = nil
	return len(r.reading) > 0
}

// End records the result of the read that has begun last.
func (r *Refresher) End(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, result := range r.reading {
		result <- err
	}
	r.reading = nil
}

// Sleep waits for d, until ctx ends or until a read is asked for.
func (r *Refresher) Sleep(ctx context.Context, d time.Duration) {
	acacialoop.Sleep(ctx, min(d, MinRefreshInterval))
	if d <= MinRefreshInterval {
		return
	}
	timer := time.NewTimer(d - MinRefreshInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.wake:
	case <-ctx.Done():
	}
}
