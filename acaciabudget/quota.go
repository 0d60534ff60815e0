package acaciabudget

import (
	"time"

	"github.com/acaciaroute/acaciaroute/acaciasite"
)

type (
	// Quota holds a token bucket for each organisation. The processes draw on the buckets
	// together: each reports to the others what it has used. Quota is not safe for
	// concurrent use.
	//
	// Each bucket has a reserve, which is filled with a part of the amount by which all
	// processes together may exceed the quota in a window, and is used only while there is
	// spare capacity. The size of the bucket and of the reserve, the inflow into the
	// reserve during a window and the level with which a new process starts add up to less
	// than the burst and the tolerance. Therefore the quota holds over any window, even if
	// all processes restart in it and have lost what was used.
	Quota struct {
		settings QuotaSettings
		accounts map[string]*account
		// peerUsage is what each other process has reported.
		peerUsage map[string]*peerUsage
		// reachableShare is the part of each quota that the reachable processes may
		// use together.
		reachableShare float64
	}

	// peerUsage is what another process has reported.
	peerUsage struct {
		// last is what it last reported as used, by organisation; what is missing is zero
		// once a complete report has been received.
		last     map[string]float64
		complete bool
	}

	// QuotaSettings configure the window over which quotas are checked, and by how much the
	// use of all processes together may exceed them.
	QuotaSettings struct {
		Window time.Duration
		// Overrun is a share of each quota, Slack an amount in the quota's units.
		Overrun float64
		Slack   float64
	}

	// Charge is what a request takes from its organisation's quota.
	Charge struct {
		Organisation string
		// Cost is in the quota's units.
		Cost float64
		// Rank is the priority of the request's class; 0 is the most urgent.
		Rank int
		// SpareCapacity reports whether there is spare capacity, so that the reserve
		// may be used.
		SpareCapacity bool
	}

	account struct {
		rate, burst float64
		// tolerance is by how much the use in a window may exceed the quota.
		tolerance  float64
		level      float64
		reserve    float64
		refilledAt time.Time
		// meanCost is the moving average of the cost of requests, accepted or not.
		meanCost float64
		// used is what this process has used since it started.
		used float64
		// recent is what was charged in the last intervals, by this process and those that it hears.
		recent [recentIntervals]recentUse
	}

	// recentUse is what was charged in an interval.
	recentUse struct {
		interval int64
		amount   float64
	}
)

const (
	// reserveInflowShare is the share of the tolerance that flows into the reserve during a
	// window, reserveSizeShare the share that the reserve holds, and initialLevelShare the
	// share that the bucket holds when the process starts. The rest covers use that
	// processes have not yet reported to each other.
	reserveInflowShare = 0.5
	reserveSizeShare   = 0.2
	initialLevelShare  = 0.15

	// headroomPerRank is the share of the bucket that a class leaves for each rank above
	// its own, maxHeadroom the most that any class leaves.
	headroomPerRank = 0.15
	maxHeadroom     = 0.45
	// smallCostShare is the share of the mean cost up to which a request need not leave
	// headroom: its rejection would hardly help the classes above it. meanCostRequests is
	// the number of requests over which the mean is taken.
	smallCostShare   = 0.2
	meanCostRequests = 100
	// recentIntervals intervals of recentInterval are remembered: longer than a process may be
	// silent before it is dropped.
	recentIntervals = 13
	recentInterval  = 250 * time.Millisecond
	// maxQuotaWait bounds the time that callers are told to wait: at a rate that is nearly zero it would not fit into
	// a Duration.
	maxQuotaWait = 24 * time.Hour
)

// NewQuota returns a Quota without organisations.
func NewQuota(settings QuotaSettings) *Quota {
	return &Quota{settings: settings, accounts: map[string]*account{}, peerUsage: map[string]*peerUsage{}, reachableShare: 1}
}

// Configure applies the organisations of a new configuration. What they have used so far
// still counts.
func (q *Quota) Configure(organisations []acaciasite.Organisation, now time.Time) {
	for i := range organisations {
		organisation := &organisations[i]
		tolerance := q.settings.Overrun*(organisation.Rate*q.settings.Window.Seconds()+organisation.Burst) + q.settings.Slack
		a := q.accounts[organisation.Name]
		if a == nil {
			a = &account{level: min(initialLevelShare*tolerance, organisation.Burst), refilledAt: now}
			q.accounts[organisation.Name] = a
		}
		q.refill(a, now)
		a.rate, a.burst, a.tolerance = organisation.Rate, organisation.Burst, tolerance
		a.level = min(a.level, a.burst*q.reachableShare)
		a.reserve = min(a.reserve, a.tolerance*reserveSizeShare*q.reachableShare)
	}
}

// SetSettings changes the window and the tolerance; Configure must be called afterwards.
func (q *Quota) SetSettings(settings QuotaSettings, now time.Time) {
	for _, a := range q.accounts {
		q.refill(a, now)
	}
	q.settings = settings
}

// SetReachableShare sets the part of each quota that the reachable processes may use
// together. It is below 1 while others may be alive behind a network partition. If it falls, the others may not have
// heard of this process since a time: they may have used their part of what there was then and has accrued since, and
// so may these processes, but no more.
//
// Load pattern: an organisation asks for several times its quota while gateways are cut from each other. Until they notice,
// each side uses what all may use together.
func (q *Quota) SetReachableShare(share float64, since, now time.Time) {
	if share < q.reachableShare {
		lost := 1 - share/q.reachableShare
		for _, a := range q.accounts {
			q.refill(a, now)
			if available := a.level + a.reserve + a.usedSince(since); available > 0 {
				a.debit(lost * available)
			}
		}
	}
	q.reachableShare = share
}

// Take charges an organisation for a request. If too little of the quota is left, Take
// returns false and the time until there should be enough. The reserve is used only if the
// charge reports spare capacity.
//
// Load pattern: an organisation requests several times its quota for many seconds. If its
// classes had equal access to the bucket, its own bulk requests would cause most of its
// urgent ones to be rejected. Therefore each class leaves a part of the bucket to the
// classes above it.
func (q *Quota) Take(charge Charge, now time.Time) (ok bool, wait time.Duration) {
	a := q.accounts[charge.Organisation]
	if a == nil || a.rate <= 0 {
		return true, 0
	}
	return q.take(a, charge, now)
}

// take charges an account with a quota.
func (q *Quota) take(a *account, charge Charge, now time.Time) (ok bool, wait time.Duration) {
	if charge.Cost > a.windowQuota(q.settings.Window) {
		return false, q.settings.Window
	}
	q.refill(a, now)
	a.meanCost += (charge.Cost - a.meanCost) / meanCostRequests
	available := a.level
	if charge.SpareCapacity {
		available += max(a.reserve, 0)
	}
	if required := q.requiredLevel(a, charge); available < required {
		seconds := (required - available) / (a.rate * q.reachableShare)
		return false, time.Duration(min(seconds, maxQuotaWait.Seconds()) * float64(time.Second))
	}
	a.charge(charge.Cost, now)
	a.used += charge.Cost
	return true, 0
}

// windowQuota returns the most that the organisation may use in a window, the tolerance aside. A larger
// request is never accepted: it would block the organisation's other requests until all of it had accrued.
func (a *account) windowQuota(window time.Duration) float64 {
	return a.rate*window.Seconds() + a.burst
}

// requiredLevel returns how much the bucket must hold for a charge to be accepted. It is at
// most the bucket's size, so that a larger request is accepted when the bucket is full.
func (q *Quota) requiredLevel(a *account, charge Charge) float64 {
	required := charge.Cost
	if required > smallCostShare*a.meanCost {
		required += min(float64(charge.Rank)*headroomPerRank, maxHeadroom) * a.burst * q.reachableShare
	}
	return min(required, a.burst*q.reachableShare)
}

// Refund refunds the charge of a request that did not run.
func (q *Quota) Refund(organisation string, cost float64) {
	if a := q.accounts[organisation]; a != nil && a.rate > 0 {
		a.level = min(a.level+cost, a.burst*q.reachableShare)
		a.used -= cost
	}
}

// Used returns what this process has used since it started, by organisation.
func (q *Quota) Used() map[string]float64 {
	used := map[string]float64{}
	for name, a := range q.accounts {
		if a.used > 0 {
			used[name] = a.used
		}
	}
	return used
}

// ChangedUse returns what this process has used since it started, for the organisations whose
// use differs from reported, and updates reported. Receivers of different messages need one
// reported each.
func (q *Quota) ChangedUse(reported map[string]float64) map[string]float64 {
	changed := map[string]float64{}
	for name, a := range q.accounts {
		if a.used != reported[name] {
			changed[name] = a.used
			reported[name] = a.used
		}
	}
	return changed
}

// ApplyPeerUsage charges organisations for what another process has used since its
// previous report. A complete report holds all organisations, others those whose use has
// changed. What is first heard of a process is not charged, because it may be old.
func (q *Quota) ApplyPeerUsage(process string, used map[string]float64, complete bool, now time.Time) {
	peer := q.peerUsage[process]
	if peer == nil {
		peer = &peerUsage{last: map[string]float64{}}
		q.peerUsage[process] = peer
	}
	for name, amount := range used {
		last, known := peer.last[name]
		peer.last[name] = amount
		if a := q.accounts[name]; a != nil && (known || peer.complete) {
			q.refill(a, now)
			a.charge(amount-last, now)
		}
	}
	peer.complete = peer.complete || complete
}

// RemovePeer removes a process that has ended.
func (q *Quota) RemovePeer(process string) {
	delete(q.peerUsage, process)
}

// refill adds to the bucket and the reserve what has accrued since the last refill.
func (q *Quota) refill(a *account, now time.Time) {
	elapsed := now.Sub(a.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	a.refilledAt = now
	inflow := reserveInflowShare * a.tolerance / q.settings.Window.Seconds()
	a.level = min(a.level+a.rate*q.reachableShare*elapsed, a.burst*q.reachableShare)
	a.reserve = min(a.reserve+inflow*q.reachableShare*elapsed, a.tolerance*reserveSizeShare*q.reachableShare)
}

// charge debits what has been used, and remembers it.
func (a *account) charge(cost float64, now time.Time) {
	a.debit(cost)
	interval := now.UnixNano() / int64(recentInterval)
	recent := &a.recent[interval%recentIntervals]
	if recent.interval != interval {
		*recent = recentUse{interval: interval}
	}
	recent.amount += cost
}

// usedSince returns what was charged since a time, and in the interval in which that lies.
func (a *account) usedSince(since time.Time) (amount float64) {
	first := since.UnixNano() / int64(recentInterval)
	for _, recent := range a.recent {
		if recent.interval >= first {
			amount += recent.amount
		}
	}
	return max(amount, 0)
}

// debit takes a cost from the bucket, then from the reserve. What exceeds both leaves the
// bucket with a negative level.
func (a *account) debit(cost float64) {
	a.level -= cost
	if a.level < 0 && a.reserve > 0 {
		fromReserve := min(-a.level, a.reserve)
		a.reserve -= fromReserve
		a.level += fromReserve
	}
}
