package acaciaschedule

import (
	"cmp"
	"slices"
	"time"
)

const (
	// lateShare is the share of a request's whole time that it may be expected to wait
	// for a place; beyond it the request is turned away at once.
	lateShare = 0.3
	// holdFade is the weight of a new observation of how long a place is taken.
	holdFade = 0.05
	// priorHold stands for a service that has ended no request yet.
	priorHold = 500 * time.Millisecond
	// minReturn is the least time after which a caller is told to come back.
	minReturn = 200 * time.Millisecond
	// returnShare is the longest part of the time left that callers honour.
	returnShare = 1.0 / 3
)

// sort orders a service's waiting requests: by rank, then those that can still meet
// their objective, then the organisation that has had least of its share, then by
// objective.
func (v *service) sort(now time.Time) {
	for _, request := range v.waiting {
		request.late = now.Add(v.firstTime(request)).After(request.Objective)
	}
	slices.SortStableFunc(v.waiting, func(a, b *Request) int {
		return cmp.Or(
			cmp.Compare(a.Rank, b.Rank),
			compareBool(a.late, b.late),
			cmp.Compare(v.behind(a), v.behind(b)),
			a.Objective.Compare(b.Objective),
		)
	})
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// behind is how much an organisation has lately had in units of its share, in steps so
// coarse that within them the objective decides.
func (v *service) behind(request *Request) int {
	return int(v.had[request.Organisation] / fairStep)
}

// fairStep is, in seconds of its quota, how far organisations may be apart.
const fairStep = 1.0

// firstTime is the usual time from a place to the first part of the answer.
func (v *service) firstTime(request *Request) time.Duration {
	return time.Duration(v.speed.first(float64(request.PromptTokens)) * float64(time.Second))
}

// wait estimates when a request would get a place: the requests before it, over all
// processes, times how long a place is taken, over the number of places.
func (v *service) wait(request *Request, now time.Time) time.Duration {
	places := 0
	for _, e := range v.endpoints {
		if e.usable() && !now.Before(e.suspendedUntil) {
			places += e.info.Places
		}
	}
	if places == 0 {
		return priorHold
	}
	ahead := v.peersWaiting(func(rank int) bool { return rank <= request.Rank })
	for _, other := range v.waiting {
		if other != request && other.Rank <= request.Rank {
			ahead++
		}
	}
	return time.Duration(float64(v.hold) * float64(ahead+1) / float64(places))
}

// hopeless tells whether a request would wait so long that it had better come back.
func (v *service) hopeless(request *Request, now time.Time) bool {
	whole := request.Deadline.Sub(request.Arrived)
	waited := now.Sub(request.Arrived)
	return waited+v.wait(request, now)+v.firstTime(request) > time.Duration(lateShare*float64(whole))
}

// retryAfter is when a refused caller should come back: when the queue before it should
// be gone, spread so that callers do not return together, and within what they honour.
func (s *Scheduler) retryAfter(v *service, request *Request, now time.Time) time.Duration {
	longest := time.Duration(returnShare * float64(request.Deadline.Sub(now)))
	after := max(v.wait(request, now), minReturn)
	if after >= longest {
		return max(longest, 0)
	}
	return after + time.Duration(s.settings.Draw()*float64(longest-after))
}
