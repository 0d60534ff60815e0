package acaciagossip

import (
	"time"

	"github.com/acaciaroute/acaciaroute/acaciabudget"
	"github.com/acaciaroute/acaciaroute/acaciacrash"
	"github.com/acaciaroute/acaciaroute/acaciaorigin"
	"github.com/acaciaroute/acaciaroute/acaciapeer"
	"github.com/acaciaroute/acaciaroute/acaciarollout"
)

type (
	// Outbox keeps what one group of processes, which all get the same messages, has been told
	// and has yet to be told. It is not safe for concurrent use.
	Outbox struct {
		quota    *acaciabudget.Quota
		use      useReports
		crashes  *acaciacrash.Outbox
		origins  *acaciaorigin.Outbox
		rollouts func() acaciarollout.Report
	}

	// useReports keeps what has been reported of the quota use.
	useReports struct {
		reported   map[string]float64
		completeAt time.Time
	}
)

// completeUseInterval is the time between two messages with the use of all organisations;
// those in between hold what has changed, and may be lost.
const completeUseInterval = time.Second

// NewOutbox returns the outbox of a group that has been told nothing. rollouts returns what the next message tells of
// rollouts.
func NewOutbox(quota *acaciabudget.Quota, crashes *acaciacrash.Outbox, origins *acaciaorigin.Outbox, rollouts func() acaciarollout.Report) *Outbox {
	return &Outbox{quota: quota, crashes: crashes, origins: origins, rollouts: rollouts}
}

// SendAll makes the next message tell all that there is to tell, because a process has started.
func (o *Outbox) SendAll() {
	o.crashes.SendAll()
	o.origins.SendAll()
}

// fill adds to a message what the group has yet to be told: the quota use
// that has changed since the last message, or all use if that is due, crashes, origins of streams and rollouts.
func (o *Outbox) fill(message *acaciapeer.Message, now time.Time) {
	message.Used, message.UsedComplete = o.use.next(o.quota, message.Leaving, now)
	message.Crashes = o.crashes.Next(now)
	message.Origins = o.origins.Next(now)
	message.OriginReports = o.origins.Reports()
	message.Rollouts = o.rollouts()
}

// next returns the use for the next message, and whether it is complete.
func (u *useReports) next(quota *acaciabudget.Quota, leaving bool, now time.Time) (used map[string]float64, complete bool) {
	if u.reported == nil {
		u.reported = map[string]float64{}
	}
	used = quota.ChangedUse(u.reported)
	if !leaving && now.Sub(u.completeAt) < completeUseInterval {
		return used, false
	}
	u.completeAt = now
	return quota.Used(), true
}
