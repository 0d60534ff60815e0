package acaciakey

import (
	"context"
	"time"

	"github.com/google/uuid"
)

// outage is what a registry knows of the log's outages.
type outage struct {
	// caughtUp is the time up to which the index holds all claims.
	caughtUp time.Time
	down     bool
	// backAt is when the log answered again; the outage ends a grace later.
	backAt time.Time
	// unlogged are the claims that were decided without the log.
	unlogged []Claim
}

// Grace is how long after the log's return entries still decide keys without it,
// so that all can write down what they decided in the outage.
const Grace = 5 * time.Second

// note takes the result of reading the whole stream, begun at a time.
func (o *outage) note(began time.Time, err error) {
	if err != nil {
		o.down = true
		o.backAt = time.Time{}
		return
	}
	o.caughtUp = began
	if !o.down {
		return
	}
	if o.backAt.IsZero() {
		o.backAt = began
	}
	if began.Sub(o.backAt) >= Grace && len(o.unlogged) == 0 {
		o.down = false
	}
}

// Down reports whether the log cannot decide who holds a key: it is down or came
// back only a moment ago.
func (r *Registry) Down() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outage.down
}

// CaughtUp returns the time up to which the registry has seen all claims; it is
// zero when it has seen none.
func (r *Registry) CaughtUp() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outage.caughtUp
}

// Remember notes a claim that was decided without the log, and writes it to the
// log once that is back.
func (r *Registry) Remember(claim Claim) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.index.holders[claim.KeyHash] = claim
	r.outage.unlogged = append(r.outage.unlogged, claim)
}

// flush writes the claims of an outage to the log.
func (r *Registry) flush(ctx context.Context) {
	r.mu.Lock()
	count := min(len(r.outage.unlogged), maxBatch)
	claims := r.outage.unlogged[:count:count]
	ready := count > 0 && !r.outage.backAt.IsZero()
	r.mu.Unlock()
	if !ready || r.append(ctx, batch{BatchID: uuid.NewString(), Claims: claims}) != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outage.unlogged = r.outage.unlogged[count:]
}
