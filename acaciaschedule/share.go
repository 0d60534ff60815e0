package acaciaschedule

import (
	"math"
	"time"
)

// Load pattern: for many seconds, the urgent classes alone ask for more than a service can
// serve. Served strictly by rank, the other classes would get nothing, though some of them
// need little.

type (
	// slotShares keeps how much of a service's slot time each class recently used in this process.
	slotShares struct {
		classes map[string]*classTime
		total   float64
		at      time.Time
	}

	// classTime is the slot time that one class recently used.
	classTime struct {
		seconds float64
		// first is the first waiting request that can meet its objective; it is used only while the
		// queue is sorted.
		first *Request
	}
)

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
	u.classTime(class).seconds += held.Seconds()
	u.total += held.Seconds()
}

// of returns the class's share of the slot time that was recently used; 0 if none was.
func (u *slotShares) of(class string) float64 {
	return u.share(u.classTime(class))
}

func (u *slotShares) share(class *classTime) float64 {
	if u.total == 0 {
		return 0
	}
	return class.seconds / u.total
}

// classTime returns the slot time that a class used.
func (u *slotShares) classTime(class string) *classTime {
	used := u.classes[class]
	if used == nil {
		used = &classTime{}
		u.classes[class] = used
	}
	return used
}

func (u *slotShares) decay(now time.Time) {
	factor := math.Exp(-now.Sub(u.at).Seconds() / shareMemory.Seconds())
	u.at = now
	u.total *= factor
	for _, class := range u.classes {
		class.seconds *= factor
	}
}

// applyGuarantees raises, in each class that has recently used less than its guaranteed share,
// the first waiting request that can meet its objective to guaranteedRank.
func (s *Scheduler) applyGuarantees(svc *service) {
	for _, request := range svc.waiting {
		request.guaranteed = false
		if request.late || request.Started {
			continue
		}
		if other := request.slotTime.first; other == nil || request.objectiveAt < other.objectiveAt {
			request.slotTime.first = request
		}
	}
	for _, class := range svc.shares.classes {
		if class.first != nil && svc.shares.share(class) < s.settings.GuaranteedShare {
			class.first.guaranteed = true
		}
		class.first = nil
	}
}
