package acaciabudget

import (
	"time"

	"github.com/acaciaroute/acaciaroute/acaciasite"
)

type (
	// Quota holds a token bucket for each organisation, which the processes drain
	// together: each tells the others what it has used. It is used by one goroutine.
	//
	// Beside it is a reserve, filled with a part of what all processes together may exceed
	// the quota by in a window, and given out while there is room to spare. What both hold,
	// what flows into the reserve in a window and what a freshly started process begins
	// with is together less than the burst and the tolerance, so that the quota holds over
	// any window in which all processes start anew and have forgotten what was used.
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

	// Charge is a request's claim on its organisation's quota.
	Charge struct {
		Organisation string
		// Cost is in the quota's units.
		Cost float64
		// Rank is that of the request's class; 0 is the most urgent.
		Rank int
		// Spare tells that there is room to spare, so that the reserve may be used.
		Spare bool
	}

	account struct {
		rate, burst float64
		// tolerance is by how much a window's use may exceed the quota.
		tolerance float64
		level     float64
		reserve   float64
		at        time.Time
		// meanCost is that of the latest requests, whether they passed or not.
		meanCost float64
		// total is what this process has used since its start.
		total float64
	}
)

const (
	// reserveFlow is the part of the tolerance that flows into the reserve in a window,
	// reserveSize the part that it holds, initial the part that the bucket holds at the
	// start of a process. The rest is for what processes have not yet heard of each other.
	reserveFlow = 0.5
	reserveSize = 0.2
	initial     = 0.15

	// keptOfRank is the part of the bucket that a class leaves for each rank above its own,
	// maxKept the most that any class leaves.
	keptOfRank = 0.15
	maxKept    = 0.45
	// smallCost is the part of the mean cost up to which a request leaves nothing: turning
	// it away would hardly help the classes above it. meanOver is how many requests the
	// mean is taken over.
	smallCost = 0.2
	meanOver  = 100
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
		tolerance := q.settings.Overrun*(organisation.Rate*q.settings.Window.Seconds()+organisation.Burst) + q.settings.Slack
		a := q.accounts[organisation.Name]
		if a == nil {
			a = &account{level: min(initial*tolerance, organisation.Burst), at: now}
			q.accounts[organisation.Name] = a
		}
		q.refill(a, now)
		a.rate, a.burst, a.tolerance = organisation.Rate, organisation.Burst, tolerance
		a.level = min(a.level, a.burst*q.share)
		a.reserve = min(a.reserve, a.tolerance*reserveSize*q.share)
	}
}

// SetShare sets the part of each quota that the processes in touch may use together; it
// is below 1 while others may be alive behind a cut.
func (q *Quota) SetShare(share float64) {
	q.share = share
}

// Take charges an organisation for a request. If it has used its quota up, Take returns
// false and when there should be enough again. While there is room to spare, an
// organisation may use the reserve.
//
// Load pattern: an organisation asks for several times its quota for many seconds. If its
// classes shared the bucket alike, most of its urgent requests would be turned away for
// its own bulk; so each class leaves a part of the bucket to those above it.
func (q *Quota) Take(charge Charge, now time.Time) (ok bool, wait time.Duration) {
	a := q.accounts[charge.Organisation]
	if a == nil || a.rate <= 0 {
		return true, 0
	}
	q.refill(a, now)
	a.meanCost += (charge.Cost - a.meanCost) / meanOver
	has := a.level
	if charge.Spare {
		has += max(a.reserve, 0)
	}
	if need := q.need(a, charge); has < need {
		return false, time.Duration((need - has) / (a.rate * q.share) * float64(time.Second))
	}
	a.use(charge.Cost)
	a.total += charge.Cost
	return true, 0
}

// need is how much the bucket must hold for a charge. A request that is larger than the
// bucket passes when the bucket is full.
func (q *Quota) need(a *account, charge Charge) float64 {
	need := charge.Cost
	if need > smallCost*a.meanCost {
		need += min(float64(charge.Rank)*keptOfRank, maxKept) * a.burst * q.share
	}
	return min(need, a.burst*q.share)
}

// Return gives back the charge of a request that did not run.
func (q *Quota) Return(organisation string, cost float64) {
	if a := q.accounts[organisation]; a != nil && a.rate > 0 {
		a.level = min(a.level+cost, a.burst*q.share)
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
			q.refill(a, now)
			a.use(n - last[name])
		}
	}
}

// Forget drops a process that has ended.
func (q *Quota) Forget(process string) {
	delete(q.heard, process)
}

func (q *Quota) refill(a *account, now time.Time) {
	passed := now.Sub(a.at).Seconds()
	if passed <= 0 {
		return
	}
	a.at = now
	flow := reserveFlow * a.tolerance / q.settings.Window.Seconds()
	a.level = min(a.level+a.rate*q.share*passed, a.burst*q.share)
	a.reserve = min(a.reserve+flow*q.share*passed, a.tolerance*reserveSize*q.share)
}

// use takes from the bucket and then from the reserve; what neither holds is owed by the
// bucket.
func (a *account) use(cost float64) {
	a.level -= cost
	if a.level < 0 && a.reserve > 0 {
		moved := min(-a.level, a.reserve)
		a.reserve -= moved
		a.level += moved
	}
}
