package acaciastall

import "time"

// Watch measures the time in which an endpoint has completed no event of a stream. It must be checked at the times that
// it asks for. It is not safe for concurrent use.
type Watch struct {
	limit time.Duration
	// idle is the time without an event up to countedTo; an interval counts as checkInterval at most.
	idle      time.Duration
	countedTo time.Time
	// held reports whether the caller keeps the stream waiting.
	held bool
	// dripped reports whether bytes have come since the last event.
	dripped bool
}

const (
	// Callers leave a stream after the longest of minPatience, objectiveFactor times its objective and gapFactor times
	// the pause that its route allows. This is the rule by which the users' callers go.
	minPatience     = 2 * time.Second
	objectiveFactor = 4
	gapFactor       = 8
	// limitFactor is how many times the patience of callers a stream may be without an event. A caller that is still there
	// must not lose its answer to an endpoint that is only slow, and it sees events later than the gateway does.
	limitFactor = 1.5
	// checksPerLimit is the number of checks within a limit, and latenessShare the share of the time between two checks
	// by which one may be late. A later one shows that the process was suspended: what the endpoint has sent
	// meanwhile may not have been read yet, so that no stream counts as stalled before the next check.
	checksPerLimit = 4
	latenessShare  = 0.5
)

// CallerPatience returns the pause, before the first event or between two, after which callers leave a stream of a route.
func CallerPatience(objective, maxGap time.Duration) time.Duration {
	return max(minPatience, objectiveFactor*objective, gapFactor*maxGap)
}

// Limit returns how long a stream of a route may bring no event until it counts as stalled.
func Limit(objective, maxGap time.Duration) time.Duration {
	return time.Duration(limitFactor * float64(CallerPatience(objective, maxGap)))
}

// NewWatch returns the watch of a stream that is asked for now and may bring no event for limit.
func NewWatch(limit time.Duration, now time.Time) *Watch {
	return &Watch{limit: limit, countedTo: now}
}

// RecordEvent records that an event is complete.
func (w *Watch) RecordEvent(now time.Time) {
	w.idle, w.countedTo, w.dripped = 0, now, false
}

// RecordBytes records that bytes have come that complete no event. An endpoint that sends nothing at all is only slow as far as
// can be told, and its silence is no reason to end an answer.
func (w *Watch) RecordBytes(time.Time) {
	w.dripped = true
}

// Hold stops the measurement, because the caller keeps the stream waiting.
func (w *Watch) Hold(now time.Time) {
	w.count(now)
	w.held = true
}

// Release goes on with the measurement after Hold.
func (w *Watch) Release(now time.Time) {
	w.held, w.countedTo = false, now
}

// Check reports whether the stream is stalled, and when to check it again if it isn't.
func (w *Watch) Check(now time.Time) (stalled bool, next time.Duration) {
	late := w.count(now)
	switch {
	case w.held || late:
		return false, w.checkInterval()
	case w.idle >= w.limit && w.dripped:
		return true, 0
	}
	if w.idle >= w.limit {
		return false, w.checkInterval()
	}
	return false, min(w.limit-w.idle, w.checkInterval())
}

// checkInterval returns the longest time between two checks.
func (w *Watch) checkInterval() time.Duration {
	return max(w.limit/checksPerLimit, 1)
}

// count counts the time up to now, and reports whether a check in between is overdue.
func (w *Watch) count(now time.Time) (late bool) {
	if w.held {
		return false
	}
	elapsed := now.Sub(w.countedTo)
	w.countedTo = now
	w.idle += min(max(elapsed, 0), w.checkInterval())
	return float64(elapsed) > (1+latenessShare)*float64(w.checkInterval())
}
