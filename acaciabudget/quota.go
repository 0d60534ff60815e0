package acaciabudget

import (
	"time"

	"github.com/acaciaroute/acaciaroute/acaciasite"
)

type (
	// Quota bounds what each organisation uses in a window, over all processes: each
	// tells the others what it has used. It is used by one goroutine.
	//
	// A window of the quota's length is what is promised to the organisation and to the
	// others; a bucket of one burst would turn away a swing that the window allows.
	Quota struct {
		settings QuotaSettings
		accounts map[string]*account
		// heard is what each other process has told to have used.
		heard map[string]map[string]float64
		// share is the part of each quota that the processes in touch may use.
		share float64
	}

	// QuotaSettings say over which window quotas are checked, and how far above them the
	// sum over all processes may go.
	QuotaSettings struct {
		Window time.Duration
		// Overrun is a part of each quota, Slack an amount in its units.
		Overrun float64
		Slack   float64
	}

	account struct {
		rate, burst float64
		// slots hold what all processes have used, by part of the window.
		slots [quotaSlots]used
		// total is what this process has used since its start.
		total float64
	}

	// used is what was used in one part of the window.
	used struct {
		slot int64
		all  float64
	}
)

const (
	// quotaSlots is into how many parts a window is cut, and one more, so that a whole
	// window is always covered.
	quotaSlots = 33
	// priorUse is the part of the window that counts as used by a process that has just
	// started and knows nothing of the time before.
	priorUse = 0.9
	// tolerated is the part of the tolerance that is given out on purpose; the rest is
	// for what processes have not yet heard of each other.
	tolerated = 0.8
)

// NewQuota returns quotas of no organisation.
func NewQuota(settings QuotaSettings) *Quota {
	return &Quota{settings: settings, accounts: map[string]*account{}, heard: map[string]map[string]float64{}, share: 1}
}

// Configure takes the organisations of a new configuration. What they have used counts
// on.
func (q *Quota) Configure(organisations []acaciasite.Organisation, now time.Time) {
	for i := range organisations {
		organisation := &organisations[i]
		a := q.accounts[organisation.Name]
		if a == nil {
			a = &account{}
			q.accounts[organisation.Name] = a
			a.assume(organisation.Rate*q.slotTime().Seconds()*priorUse, q.slot(now))
		}
		a.rate, a.burst = organisation.Rate, organisation.Burst
	}
}

// SetShare sets the part of each quota that the processes in touch may use together; it
// is below 1 while others may be alive behind a cut.
func (q *Quota) SetShare(share float64) {
	q.share = share
}

// Take charges an organisation for a request. If it has used its quota up, Take returns
// false and when there should be enough again. While there is room to spare, an
// organisation may go above its quota within the tolerance.
func (q *Quota) Take(organisation string, cost float64, spare bool, now time.Time) (ok bool, wait time.Duration) {
	a := q.accounts[organisation]
	if a == nil || a.rate <= 0 {
		return true, 0
	}
	limit := a.rate*q.settings.Window.Seconds() + a.burst
	if spare {
		limit += tolerated * (q.settings.Overrun*limit + q.settings.Slack)
	}
	all := a.sum(q.slot(now))
	over := all + cost - limit*q.share
	// A request that is larger than the whole limit passes when nothing else is used.
	if over > 0 && all > 0 {
		return false, q.wait(a, over, now)
	}
	a.add(cost, q.slot(now))
	a.total += cost
	return true, 0
}

// Return gives back the charge of a request that did not run.
func (q *Quota) Return(organisation string, cost float64, now time.Time) {
	if a := q.accounts[organisation]; a != nil && a.rate > 0 {
		a.add(-cost, q.slot(now))
		a.total -= cost
	}
}

// Used returns what this process has used since its start, by organisation.
func (q *Quota) Used() map[string]float64 {
	total := map[string]float64{}
	for name, a := range q.accounts {
		if a.total > 0 {
			total[name] = a.total
		}
	}
	return total
}

// Hear charges organisations for what another process has used since its last word; the
// first word of a process charges nothing, because it may be old.
func (q *Quota) Hear(process string, total map[string]float64, now time.Time) {
	last, known := q.heard[process]
	q.heard[process] = total
	if !known {
		return
	}
	for name, n := range total {
		if a := q.accounts[name]; a != nil {
			a.add(n-last[name], q.slot(now))
		}
	}
}

// Forget drops a process that has ended.
func (q *Quota) Forget(process string) {
	delete(q.heard, process)
}

func (q *Quota) slotTime() time.Duration {
	return q.settings.Window / (quotaSlots - 1)
}

func (q *Quota) slot(now time.Time) int64 {
	return now.UnixNano() / int64(q.slotTime())
}

// wait returns when so much will have left the window that a request fits.
func (q *Quota) wait(a *account, over float64, now time.Time) time.Duration {
	current := q.slot(now)
	for slot := current - quotaSlots + 1; slot <= current; slot++ {
		if u := a.slots[slot%quotaSlots]; u.slot == slot {
			over -= u.all
		}
		if over <= 0 {
			return time.Duration(slot+quotaSlots-current) * q.slotTime()
		}
	}
	return q.settings.Window
}

// assume fills the whole window.
func (a *account) assume(each float64, current int64) {
	for slot := current - quotaSlots + 1; slot <= current; slot++ {
		a.add(each, slot)
	}
}

func (a *account) add(cost float64, slot int64) {
	u := &a.slots[slot%quotaSlots]
	if u.slot != slot {
		*u = used{slot: slot}
	}
	u.all += cost
}

// sum returns what was used in the window.
func (a *account) sum(current int64) float64 {
	all := 0.0
	for _, u := range a.slots {
		if current-u.slot < quotaSlots {
			all += u.all
		}
	}
	return all
}
