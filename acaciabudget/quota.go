package acaciabudget

import (
	"time"

	"github.com/acaciaroute/acaciaroute/acaciasite"
)

type (
	// Quota holds a token bucket for each organisation, which the processes drain
	// together: each tells the others what it has used. It is used by one goroutine.
	Quota struct {
		accounts map[string]*account
		// heard is what each other process has told to have used.
		heard map[string]map[string]float64
	}

	account struct {
		rate, burst float64
		level       float64
		at          time.Time
		// used is what this process has used since its start.
		used float64
	}
)

// NewQuota returns quotas of no organisation.
func NewQuota() *Quota {
	return &Quota{accounts: map[string]*account{}, heard: map[string]map[string]float64{}}
}

// Configure takes the organisations of a new configuration. What they have used counts
// on.
func (q *Quota) Configure(organisations []acaciasite.Organisation, now time.Time) {
	for i := range organisations {
		organisation := &organisations[i]
		a := q.accounts[organisation.Name]
		if a == nil {
			a = &account{level: organisation.Burst, at: now}
			q.accounts[organisation.Name] = a
		}
		a.refill(now)
		a.rate, a.burst = organisation.Rate, organisation.Burst
		a.level = min(a.level, a.burst)
	}
}

// Take charges an organisation for a request. If it has used its quota up, Take returns
// false and when there should be enough again.
func (q *Quota) Take(organisation string, cost float64, now time.Time) (ok bool, wait time.Duration) {
	a := q.accounts[organisation]
	if a == nil || a.rate <= 0 {
		return true, 0
	}
	a.refill(now)
	// A request that is larger than the burst passes when the bucket is full.
	if need := min(cost, a.burst); a.level < need {
		return false, time.Duration((need - a.level) / a.rate * float64(time.Second))
	}
	a.level -= cost
	a.used += cost
	return true, 0
}

// Return gives back the charge of a request that did not run.
func (q *Quota) Return(organisation string, cost float64) {
	if a := q.accounts[organisation]; a != nil && a.rate > 0 {
		a.level = min(a.level+cost, a.burst)
		a.used -= cost
	}
}

// Used returns what this process has used since its start, by organisation.
func (q *Quota) Used() map[string]float64 {
	used := map[string]float64{}
	for name, a := range q.accounts {
		if a.used > 0 {
			used[name] = a.used
		}
	}
	return used
}

// Hear charges organisations for what another process has used since its last word; the
// first word of a process charges nothing, because it may be old.
func (q *Quota) Hear(process string, used map[string]float64, now time.Time) {
	last, known := q.heard[process]
	q.heard[process] = used
	if !known {
		return
	}
	for name, total := range used {
		a := q.accounts[name]
		if a == nil {
			continue
		}
		a.refill(now)
		a.level = min(a.level-(total-last[name]), a.burst)
	}
}

// Forget drops a process that has ended.
func (q *Quota) Forget(process string) {
	delete(q.heard, process)
}

func (a *account) refill(now time.Time) {
	if passed := now.Sub(a.at).Seconds(); passed > 0 {
		a.level = min(a.level+a.rate*passed, a.burst)
		a.at = now
	}
}
