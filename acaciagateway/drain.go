package acaciagateway

import (
	"context"
	"sync"
	"time"

	"github.com/acaciaroute/acaciaroute"
)

// inFlight counts the requests in flight and decides which new requests a gateway accepts
// while it drains.
//
// Load pattern: all gateways are stopped one after another, a second apart, while each has
// streams that last for many seconds. If a gateway accepted no requests while it waits for
// its last stream, callers would soon find no gateway at all.
type inFlight struct {
	mu sync.Mutex
	// beforeDrain counts the unfinished requests that arrived before the drain.
	beforeDrain int
	draining    bool
	// stopAt is when the process ends; during the drain, a request whose deadline is later
	// is refused.
	stopAt  time.Time
	drained chan struct{}
}

const (
	// maxDrainTime bounds a drain whose context has no deadline.
	maxDrainTime = 24 * time.Hour
	// answerMargin is how long before the end of a stop the requests that are still unanswered
	// are ended, so that their answers reach the callers; it is at most answerShare of the stop.
	answerMargin = 300 * time.Millisecond
	answerShare  = 0.25
)

func newInFlight() *inFlight {
	return &inFlight{drained: make(chan struct{})}
}

// beginRequest admits a request, or refuses it if the gateway drains and the request's deadline
// is after stopAt. done must be called when an admitted request ends.
func (f *inFlight) beginRequest(deadline time.Time) (done func(), err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !f.draining:
		f.beforeDrain++
		return f.endRequest, nil
	case f.refuses(deadline):
		return nil, shutdownError()
	}
	return func() {}, nil
}

// wouldRefuse reports whether beginRequest would refuse a request.
func (f *inFlight) wouldRefuse(deadline time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refuses(deadline)
}

// refuses is wouldRefuse for a caller that holds mu.
func (f *inFlight) refuses(deadline time.Time) bool {
	return f.draining && deadline.After(f.stopAt)
}

// endRequest ends a request that arrived before the drain.
func (f *inFlight) endRequest() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.beforeDrain--
	if f.draining && f.beforeDrain == 0 {
		close(f.drained)
	}
}

// startDrain starts the drain. The returned channel is closed when all requests that arrived
// before it have ended.
func (f *inFlight) startDrain(stopAt time.Time) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.draining && f.beforeDrain == 0 {
		close(f.drained)
	}
	f.draining, f.stopAt = true, stopAt
	return f.drained
}

// drainDeadline returns when the last requests must end in a stop that ends with ctx.
func drainDeadline(ctx context.Context) time.Time {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Now().Add(maxDrainTime)
	}
	return deadline.Add(-min(answerMargin, time.Duration(answerShare*float64(time.Until(deadline)))))
}

// shutdownError returns the error for a request that has not run because the gateway is shutting
// down; other gateways may run it.
func shutdownError() error {
	return &acaciaroute.Error{Code: acaciaroute.CodeNotReady, Detail: "the gateway is shutting down", RetryAfter: shortRetryAfter}
}
