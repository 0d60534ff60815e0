package acaciaschedule

import (
	"math"
	"time"
)

// Load pattern: an endpoint has just started while there are no requests, and a crowd of them arrives later.
// Nothing has shown that it is well, but it has had the time in which endpoints that start get ready.

type (
	// opening lets the window of an endpoint that has just started, and that nobody asks for anything, grow with
	// time.
	opening struct {
		// newStart reports whether the endpoint is in the recovery after its start.
		newStart bool
		// failed reports whether it has failed a request in that recovery, which then ends like that of any
		// endpoint that has failed.
		failed bool
		// from is when the window begins to open: when the endpoint is first seen, or when something last
		// spoke against it or another endpoint of its service that has just started; zero until it is seen.
		from time.Time
	}

	// growthByAnswersAndIdleTime lets the window grow with each answer that begins in time and, for an endpoint that
	// has just started, with the time in which nothing speaks against it.
	growthByAnswersAndIdleTime struct{}

	// silentProcesses is the number of silent processes at a time.
	silentProcesses struct {
		at    time.Time
		count int
	}
)

const (
	// idleDoubling is the time in which the window of an endpoint doubles that gets no request. An
	// endpoint that has failed counts as recovered after that time without requests.
	idleDoubling = maxRecovery
	// idleShare is the part of an endpoint's slots to which time alone opens its window: if it isn't well after
	// all, a crowd of requests loses no more. Answers open the rest.
	idleShare = 0.5
	// maxIdleDoublings bounds the doublings that are counted.
	maxIdleDoublings = 30
	// silentAfter is the time without a report after which a process may have requests without having said so: one
	// without requests reports each 400 ms.
	silentAfter = 500 * time.Millisecond
	// droppedLifetime is how long a process that was dropped counts as silent: it may be cut off, or this
	// process may have been suspended.
	droppedLifetime = 20 * time.Second
)

// window implements windowRule.
func (growthByAnswersAndIdleTime) window(p *pace, slots int, now time.Time) int {
	return growthByAnswers{}.window(p, slots, now) + p.opening.window(slots, now) - 1
}

// window returns how many requests may be unanswered by the time that has passed.
func (o *opening) window(slots int, now time.Time) int {
	if !o.newStart || o.failed || o.from.IsZero() {
		return 1
	}
	doublings := min(max(now.Sub(o.from)/idleDoubling, 0), maxIdleDoublings)
	return min(1<<doublings, int(math.Ceil(idleShare*float64(slots))))
}

// restart makes the window open from one request again, because something speaks against the endpoint.
func (o *opening) restart(now time.Time) {
	if o.newStart && now.After(o.from) {
		o.from = now
	}
}

// watchOpening begins the opening of an endpoint that is seen for the first time, and restarts that of
// one whose answers are late.
func (e *endpoint) watchOpening(now time.Time) {
	if e.pace.opening.newStart && (e.pace.opening.from.IsZero() || e.hasOverdue(now)) {
		e.pace.opening.restart(now)
	}
}

// failOpening records that an endpoint has failed a request of any process. If it has just started, those of its
// service that have just started, too, are likely to fail for the same reason.
func (e *endpoint) failOpening(failedAt time.Time) {
	if !e.pace.opening.newStart {
		return
	}
	e.pace.opening.failed = true
	for _, other := range e.service.endpoints {
		other.pace.opening.restart(failedAt)
	}
}

// reserveOpened returns how much of an endpoint's window is left to other processes, though no requests are known
// to wait there. What time alone has opened is divided among all processes until those that have requests
// have had the time to say so, and then among this one and those that are silent.
//
// Load pattern: a crowd arrives at all processes at once. Each would use the whole window before it hears of the
// others' requests, or because it doesn't hear them.
func (s *Scheduler) reserveOpened(e *endpoint, window int, now time.Time) int {
	opened := window - growthByAnswers{}.window(&e.pace, e.info.Slots, now)
	if !e.pace.opening.newStart || opened <= 0 {
		return 0
	}
	processes := 1 + len(s.lastReports) + len(s.droppedAt)
	if since := e.service.waitingSince; !since.IsZero() && now.Sub(since) >= paceTurn {
		processes = 1 + s.countSilent(now)
	}
	return opened - opened/processes
}

// countSilent returns the number of processes that may have requests without having said so. It is kept for
// decisions on several endpoints at the same time.
func (s *Scheduler) countSilent(now time.Time) int {
	if s.silent.at.Equal(now) {
		return s.silent.count
	}
	s.silent = silentProcesses{at: now, count: len(s.droppedAt)}
	for _, reportedAt := range s.lastReports {
		if now.Sub(reportedAt) >= silentAfter {
			s.silent.count++
		}
	}
	return s.silent.count
}

// updateWaitingSince records since when requests have been waiting, after a decision on them.
func (svc *service) updateWaitingSince(now time.Time) {
	if len(svc.waiting) > 0 && svc.waitingSince.IsZero() {
		svc.waitingSince = now
	}
}
