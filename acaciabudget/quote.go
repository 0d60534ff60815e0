package acaciabudget

import (
	"time"

	"github.com/acaciaroute/acaciaroute/acaciatoml"
)

// Quote says whether a charge would be accepted, and what is left of the quota. Amounts are in the quota's
// units.
type Quote struct {
	// Limited reports whether the organisation has a quota; without one all charges are accepted.
	Limited  bool `json:"limited"`
	Accepted bool `json:"accepted"`
	// Wait is the time until there should be enough for a charge that is not accepted.
	Wait acaciatoml.Duration `json:"wait,omitempty"`
	Cost float64             `json:"cost"`
	// Rate is the quota per second, Burst what may be used at once.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
	// Remaining is what is left, Reserve what may be used beyond it while there is spare capacity, and Required
	// how much must be left for the charge.
	Remaining float64 `json:"remaining"`
	Reserve   float64 `json:"reserve"`
	Required  float64 `json:"required"`
}

// Quote returns whether Take would accept a charge, and charges nothing.
func (q *Quota) Quote(charge Charge, now time.Time) Quote {
	a := q.accounts[charge.Organisation]
	if a == nil || a.rate <= 0 {
		return Quote{Accepted: true, Cost: charge.Cost}
	}
	before, after := *a, *a
	q.refill(&before, now)
	ok, wait := q.take(&after, charge, now)
	return Quote{
		Limited: true, Accepted: ok, Wait: acaciatoml.Duration(wait.Round(time.Microsecond)), Cost: charge.Cost, Rate: a.rate, Burst: a.burst,
		Remaining: before.level, Reserve: max(before.reserve, 0), Required: q.requiredLevel(&after, charge),
	}
}
