package acaciarollout

import "time"

type (
	// Write is a record that is to be written to the store, on condition that its topic ends where this
	// process has read it to.
	Write struct {
		Service string
		Order   OrderID
		// Status is written to the status topic as its State and Target; its State is StateNone if
		// Record is to be written to keyed.rollouts instead.
		Status Status
		Record Record
		// Reason says why a verdict is what it is. It isn't written.
		Reason string
	}

	// Outcome is what has become of a write.
	Outcome int
)

// Outcomes of writes.
const (
	// OutcomeWritten means that the store has acknowledged the write.
	OutcomeWritten Outcome = iota
	// OutcomeConflict means that the topic doesn't end where it was read to; nothing is written.
	OutcomeConflict
	// OutcomeUnknown means that there was no response; the record may be written or be written yet.
	OutcomeUnknown
)

// NextWrite returns what is to be written to the store for a service now, if this process coordinates. The
// condition of the write is the end of its topic as read at this call. There is no other until RecordWrite has
// told its outcome.
func (t *Table) NextWrite(service string, now time.Time) (Write, bool) {
	s := t.services[service]
	if s == nil || s.rollout == nil || s.writing || s.readNeeded.After(t.readBegan) || !t.Coordinates(now) {
		return Write{}, false
	}
	r := s.rollout
	if !r.known || !r.supersededAt.IsZero() || t.readEra != t.era || t.readBegan.Before(r.seen) {
		return Write{}, false
	}
	write, due := t.dueWrite(s, now)
	s.writing = due
	return write, due
}

// dueWrite returns what the store lacks. The record of the order comes before its verdict, because it tells
// which order the verdict belongs to.
func (t *Table) dueWrite(s *service, now time.Time) (Write, bool) {
	r := s.rollout
	write := Write{Service: s.name, Order: r.order.ID}
	if r.stored != StateNone && r.holds(s) {
		return Write{}, false
	}
	if r.began == (Position{}) {
		write.Status = Status{State: StateRunning, Target: r.order.Target}
		return write, true
	}
	recorded := s.record.Order == r.order.ID && s.record.Began == r.began
	if recorded {
		if verdict, reason := t.nextVerdict(s, now); verdict != StateNone {
			write.Status, write.Reason = Status{State: verdict, Target: r.order.Target}, reason
			return write, true
		}
	}
	if recorded && s.record.Step >= r.step {
		return Write{}, false
	}
	write.Record = Record{
		Service: s.name, Target: r.order.Target, Duration: r.order.Duration, Order: r.order.ID, Began: r.began,
		Age: r.age(now), WrittenAt: now, Step: r.step,
	}
	return write, true
}

// holds reports whether the store holds the verdict of the order.
func (r *rollout) holds(s *service) bool {
	return r.began != (Position{}) && s.status.State == r.stored && s.status.Target == r.order.Target && !r.began.newer(s.status.At)
}

// nextVerdict returns the verdict that is to be written now, if any, and why.
func (t *Table) nextVerdict(s *service, now time.Time) (verdict State, reason string) {
	r := s.rollout
	if verdict = r.verdict(); verdict != StateNone {
		return verdict, r.reason
	}
	waiting := t.waitsFor(s, now)
	switch _, target := s.count(r.order.Target); {
	case waiting == "":
		return StateCompleted, "the target serves all requests"
	case now.Before(r.lastMoment()) || r.isServing(now):
	case target == 0 || !r.observed(s.timeout, now) || r.judge.suspicious():
		return StateRolledBack, "no verdict in time: " + waiting
	}
	return StateNone, ""
}

// waitsFor returns what an order without a verdict waits for before it is completed; "" if it may be.
func (t *Table) waitsFor(s *service, now time.Time) string {
	r := s.rollout
	_, target := s.count(r.order.Target)
	switch {
	case target == 0:
		return "the target has no endpoints"
	case r.step < stepWhole:
		return "the target doesn't get all requests yet"
	case s.runningOld > 0:
		return "requests run on the old version"
	case r.judge.suspicious():
		return "the evidence speaks against the target"
	case !r.isServing(now) && !r.observed(s.timeout, now):
		return "the target is observed"
	}
	if moved, blocker := t.othersMoved(r, r.lastMoment(), now); !moved {
		return "process " + blocker + " may send requests to the old version"
	}
	return ""
}

// observed reports whether the target has had all requests for long enough, and the evidence speaks for it:
// clearly, or at least at the last moment.
func (r *rollout) observed(timeout time.Duration, now time.Time) bool {
	if r.step < stepWhole {
		return false
	}
	if !now.Before(r.lastMoment()) {
		return !r.stepAt.After(r.lastMoment().Add(-minObservation)) && r.judge.favourable()
	}
	earliest, latest := r.order.stepTimes(stepWhole, timeout)
	return r.age(now) >= r.order.part(completeShare) && now.Sub(r.stepAt) >= latest-earliest && r.judge.acceptable()
}

// lastMoment returns when the verdict must be written lest it come after the deadline.
func (r *rollout) lastMoment() time.Time {
	return r.orderedAt.Add(r.order.Duration - completionMargin)
}

// RecordWrite records the outcome of a write; at is where the record was written, if it was. After any other
// outcome than OutcomeWritten, nothing is written until the topics have been read again.
func (t *Table) RecordWrite(write Write, outcome Outcome, at Position, now time.Time) {
	s := t.service(write.Service)
	s.writing = false
	if outcome != OutcomeWritten {
		s.readNeeded = now
		return
	}
	r := s.rollout
	if r == nil || r.order.ID != write.Order {
		return
	}
	if write.Status.State == StateNone {
		s.record = write.Record
		return
	}
	status := write.Status
	status.At = at
	if status.State == StateRunning {
		r.learnBegan(at)
	} else if write.Reason != "" && r.reason == "" {
		r.reason = write.Reason
	}
	t.SetStatus(write.Service, status, now)
}
