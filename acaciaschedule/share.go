package acaciaschedule

import (
	"math"
	"time"
)

// Load pattern: for many seconds, the urgent classes alone ask for more than a service can
// serve. Served strictly by rank, the other classes would get nothing, though some of them
// need little.

// slotShares keeps how much of a service's slot time each class recently used in this process.
type slotShares struct {
	seconds map[string]float64
	total   float64
	at      time.Time
}

const (
	// shareMemory is the time constant with which past use is forgotten.
	shareMemory = 5 * time.Second
	// guaranteedRank is the rank of a request whose class has used less than its guaranteed
	// share: ahead of all classes, whose ranks start at 0.
	guaranteedRank = -1
)

// add adds the time that a request of the class held a slot.
func (u *slotShares) add(class string, held time.Duration, now time.Time) {
	u.decay(now)
	u.seconds[class] += held.Seconds()
	u.total += held.Seconds()
}

// of returns the class's share of the slot time that was recently used; 0 if none was.
func (u *slotShares) of(class string) float64 {
	if u.total == 0 {
		return 0
	}
	return u.seconds[class] / u.total
}

func (u *slotShares) decay(now time.Time) {
	factor := math.Exp(-now.Sub(u.at).Seconds() / shareMemory.Seconds())
	u.at = now
	u.total *= factor
	for class := range u.seconds {
		u.seconds[class] *= factor
	}
}

// applyGuarantees raises, in each class that has recently used less than its guaranteed share,
// the first waiting request that can meet its objective to guaranteedRank.
func (s *Scheduler) applyGuarantees(svc *service) {
	first := map[string]*Request{}
	for _, request := range svc.waiting {
		request.guaranteed = false
		if request.late || request.Started || svc.shares.of(request.Class) >= s.settings.GuaranteedShare {
			continue
		}
		if other := first[request.Class]; other == nil || request.Objective.Before(other.Objective) {
			first[request.Class] = request
		}
	}
	for _, request := range first {
		request.guaranteed = true
	}
}
