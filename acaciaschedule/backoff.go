package acaciaschedule

import "time"

// Load pattern: an overloaded endpoint turns requests away and names a time for which it wants none from
// this process, while many requests wait. None may reach it before; how many may at the end is decided by its pace.

type (
	// Backoff is what an endpoint asks for that turns a request away.
	Backoff struct {
		// Duration is for how long it wants no requests from this process.
		Duration time.Duration
		// Readable reports whether it named a time that could be read.
		Readable bool
	}

	// backoff keeps requests from an endpoint that has asked for it.
	backoff struct {
		until time.Time
		// unreadable is set once the endpoint has named a time that could not be read.
		unreadable bool
	}

	// keptBackoff is the backoff of an endpoint that is not listed for a while, with its pace.
	keptBackoff struct {
		startedAt time.Time
		backoff   backoff
		pace      pace
	}
)

// MaxBackoff is the longest backoff. An endpoint that asks for more is asked again after it.
const MaxBackoff = time.Minute

// RecordBackoff records that the endpoint of a request wants no requests for some time. It returns
// when that ends, and whether that is new; a time that can't be read is new once.
func (s *Scheduler) RecordBackoff(request *Request, asked Backoff, now time.Time) (until time.Time, changed bool) {
	e := request.endpoint
	if e == nil {
		return now, false
	}
	if !asked.Readable {
		changed = !e.backoff.unreadable
		e.backoff.unreadable = true
		return now, changed
	}
	until = now.Add(min(asked.Duration, MaxBackoff))
	if !until.After(now) || !until.After(e.backoff.until) {
		return e.backoff.until, false
	}
	s.forgetBackoffs(now)
	e.backoff.until = until
	e.beginRecovery(now)
	e.markChanged()
	return until, true
}

// BacksOff reports whether the endpoint of a request wants no requests now.
func (s *Scheduler) BacksOff(request *Request, now time.Time) bool {
	return request.endpoint != nil && request.endpoint.backoff.active(now)
}

// keepBackoff keeps the backoff of an endpoint that is removed from the list: the store may list it
// again before it ends.
func (s *Scheduler) keepBackoff(e *endpoint) {
	if !e.backoff.until.IsZero() {
		s.keptBackoffs[e.info.ID] = keptBackoff{e.info.StartedAt, e.backoff, e.pace}
	}
}

// restoreBackoff gives an endpoint the backoff that it had before it was removed from the list,
// unless it has started again since.
func (s *Scheduler) restoreBackoff(e *endpoint) {
	kept := s.keptBackoffs[e.info.ID]
	delete(s.keptBackoffs, e.info.ID)
	if kept.startedAt.Equal(e.info.StartedAt) {
		e.backoff, e.pace = kept.backoff, kept.pace
	}
}

// forgetBackoffs discards the backoffs of removed endpoints that have ended.
func (s *Scheduler) forgetBackoffs(now time.Time) {
	for id, kept := range s.keptBackoffs {
		if !kept.backoff.active(now) {
			delete(s.keptBackoffs, id)
		}
	}
}

// active reports whether the endpoint wants no requests now.
func (b *backoff) active(now time.Time) bool {
	return now.Before(b.until)
}

// untilFirstBackoffEnds returns how long all usable endpoints want no requests, zero if one of them
// takes requests.
func (svc *service) untilFirstBackoffEnds(now time.Time) time.Duration {
	wait, known := time.Duration(0), false
	for _, e := range svc.sorted {
		if !e.usable() {
			continue
		}
		if left := max(0, e.backoff.until.Sub(now)); !known || left < wait {
			wait, known = left, true
		}
	}
	return wait
}
