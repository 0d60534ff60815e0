package acaciakey

import (
	"context"
	"time"

	"github.com/google/uuid"
)

// outage is a registry's view of outages of the platform log.
type outage struct {
	// caughtUpAt is the time up to which the index holds all claims.
	caughtUpAt time.Time
	// logDown reports whether the log cannot decide claims: it cannot be read, the grace
	// period after its return has not ended, or unlogged still holds claims.
	logDown bool
	// reachableSince is when the log could be read again during an outage, and zero while
	// it cannot be read.
	reachableSince time.Time
	// unlogged holds the claims that were decided without the log and are not in it yet.
	unlogged []Claim
}

// OutageGracePeriod is how long entries continue to decide keys without the log after it has
// become reachable again, so that all of them can append the claims that they decided
// during the outage.
const OutageGracePeriod = 5 * time.Second

// recordRead records the result of an attempt to read the stream to its end, which started
// at began.
func (o *outage) recordRead(began time.Time, err error) {
	if err != nil {
		o.logDown = true
		o.reachableSince = time.Time{}
		return
	}
	o.caughtUpAt = began
	if !o.logDown {
		return
	}
	if o.reachableSince.IsZero() {
		o.reachableSince = began
	}
	if began.Sub(o.reachableSince) >= OutageGracePeriod && len(o.unlogged) == 0 {
		o.logDown = false
	}
}

// LogDown reports whether the log cannot decide who holds a key: it is down, or it was down
// and the grace period has not ended or claims of the outage are still to be appended.
func (r *Registry) LogDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outage.logDown
}

// CaughtUpAt returns the time up to which the registry has read all claims. It is zero if
// the registry has never read the log.
func (r *Registry) CaughtUpAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outage.caughtUpAt
}

// RecordUnlogged records a claim that was decided without the log. The registry appends it
// to the log when the log is reachable again.
func (r *Registry) RecordUnlogged(claim Claim) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.index.holders[claim.KeyHash] = claim
	r.outage.unlogged = append(r.outage.unlogged, claim)
}

// appendUnlogged appends a batch of the claims in unlogged to the log, if the log is
// reachable again.
func (r *Registry) appendUnlogged(ctx context.Context) {
	r.mu.Lock()
	count := min(len(r.outage.unlogged), maxBatchClaims)
	claims := r.outage.unlogged[:count:count]
	ready := count > 0 && !r.outage.reachableSince.IsZero()
	r.mu.Unlock()
	if !ready || r.appendBatch(ctx, batch{BatchID: uuid.NewString(), Claims: claims}) != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outage.unlogged = r.outage.unlogged[count:]
}
