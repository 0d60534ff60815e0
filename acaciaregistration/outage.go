package acaciaregistration

import "time"

// outage tracks whether the store can be read, and when it may have lost registrations.
type outage struct {
	storeDown   bool
	storeDownAt time.Time
	// lossEndedAt is when the store became readable after it may have lost registrations: after
	// an outage longer than maxOutageWithoutExpiry or after a restore.
	lossEndedAt time.Time
	// restoredAt is when the store was first read after the last restore.
	restoredAt time.Time
	// readableSince is the start of the current period in which every read of the store
	// succeeded.
	readableSince time.Time
	// localOutageStart is the start of the last outage throughout which another process
	// could read the store.
	localOutageStart time.Time
}

const (
	// RelistGracePeriod is how long an expired registration may stay missing after the store
	// has come back.
	RelistGracePeriod = 2500 * time.Millisecond
	// maxOutageWithoutExpiry is the longest outage during which no registration expires.
	maxOutageWithoutExpiry = time.Second
)

// SetStoreDown records whether the last read of the store failed.
func (o *outage) SetStoreDown(down bool, now time.Time) {
	if down == o.storeDown {
		return
	}
	o.storeDown = down
	if down {
		o.storeDownAt = now
		return
	}
	o.readableSince = now
	if !o.storeDownAt.IsZero() && now.Sub(o.storeDownAt) > maxOutageWithoutExpiry {
		o.lossEndedAt = now
	}
}

// SetStoreRestored records that the store has been restored from a copy, which lacks newer
// registrations.
func (o *outage) SetStoreRestored(now time.Time) {
	o.lossEndedAt, o.restoredAt = now, now
}

// keepUntil returns the time until which an endpoint that is missing now is kept, or the zero
// time if it is gone.
func (o *outage) keepUntil(now time.Time) time.Time {
	if o.lossEndedAt.IsZero() || now.Sub(o.lossEndedAt) > RelistGracePeriod || o.wasLocal() {
		return time.Time{}
	}
	return o.lossEndedAt.Add(RelistGracePeriod)
}

// wasLocal reports whether another process could read the store throughout the last
// outage. In that case the store itself was available, and the outage made no registration
// expire.
func (o *outage) wasLocal() bool {
	return o.restoredAt.Before(o.storeDownAt) && !o.storeDownAt.IsZero() && o.localOutageStart.Equal(o.storeDownAt)
}

// recordPeerReadable records for how long another process has been able to read the store
// without a failure.
func (o *outage) recordPeerReadable(readable time.Duration, now time.Time) {
	if !o.storeDown && now.Add(-readable).Before(o.storeDownAt) {
		o.localOutageStart = o.storeDownAt
	}
}

// ReadableFor returns for how long the store has been readable without a failure.
func (o *outage) ReadableFor(now time.Time) time.Duration {
	if o.storeDown {
		return 0
	}
	return now.Sub(o.readableSince)
}
