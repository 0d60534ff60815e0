package acaciagateway

import (
	"context"
	"sync"
	"time"

	"github.com/acaciaroute/acaciaroute"
)

// inHand counts the requests that a gateway has, and says which ones it still takes while
// it drains.
//
// Load pattern: all gateways are stopped one after another, a second apart, while each has
// streams that last for many seconds. If none took requests while it waits for the last of
// them, there would be none left for callers to reach.
type inHand struct {
	mu sync.Mutex
	// early counts the requests that came before the drain.
	early    int
	draining bool
	// end is when the process ends; what may last longer is not taken while it drains.
	end     time.Time
	drained chan struct{}
}

// endless stands for the end of a drain without a bound.
const endless = 24 * time.Hour

func newInHand() *inHand {
	return &inHand{drained: make(chan struct{})}
}

// begin takes a request that must be answered by a deadline; done is called at its end.
func (h *inHand) begin(deadline time.Time) (done func(), err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case !h.draining:
		h.early++
		return h.done, nil
	case deadline.After(h.end):
		return nil, &acaciaroute.Error{Code: acaciaroute.CodeNotReady, Detail: "the process ends", RetryAfter: notReadyPause}
	}
	return func() {}, nil
}

func (h *inHand) done() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.early--
	if h.draining && h.early == 0 {
		close(h.drained)
	}
}

// drain returns a channel that is closed when all requests have ended that came before it.
func (h *inHand) drain(end time.Time) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.draining && h.early == 0 {
		close(h.drained)
	}
	h.draining, h.end = true, end
	return h.drained
}

// endOf returns when a context ends.
func endOf(ctx context.Context) time.Time {
	if deadline, ok := ctx.Deadline(); ok {
		return deadline
	}
	return time.Now().Add(endless)
}
