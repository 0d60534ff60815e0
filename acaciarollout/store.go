package acaciarollout

import "time"

type (
	// Status is the record of a service in the status topic.
	Status struct {
		State  State
		Target string
		At     Position
	}

	// Record is the record of a service in the topic of the gateways' own, keyed.rollouts.
	Record struct {
		Service  string        `json:"service"`
		Target   string        `json:"target"`
		Duration time.Duration `json:"duration"`
		Order    OrderID       `json:"order"`
		// Began is the position of the status record that says that the order runs. Later status
		// records of the service belong to this order.
		Began Position `json:"began"`
		// Age is the time since the order when the record was written, at WrittenAt.
		Age       time.Duration `json:"age"`
		WrittenAt time.Time     `json:"writtenAt"`
		Step      int           `json:"step"`
	}
)

// SetStatus sets the status record of a service as read from the store. A deleted one has StateNone.
func (t *Table) SetStatus(service string, status Status, now time.Time) {
	t.era = max(t.era, status.At.Era)
	s := t.service(service)
	if s.status.At.newer(status.At) {
		return
	}
	s.status = status
	t.attribute(s, now)
}

// SetRecord sets a record of keyed.rollouts as read from the store.
func (t *Table) SetRecord(record Record, now time.Time) {
	s := t.service(record.Service)
	s.record = record
	t.attribute(s, now)
}

// SetRead states that this process has read the operators' topic, then the status topic and then
// keyed.rollouts to their ends in an era, by reads that began at or after a time, and has set what it read.
// In a new era, all topics are read anew from the beginning first.
func (t *Table) SetRead(era int64, began, now time.Time) {
	if era < t.era {
		return
	}
	t.era, t.readEra = era, era
	if began.After(t.readBegan) {
		t.readBegan = began
	}
	for _, s := range t.services {
		r := s.rollout
		if r == nil || r.seen.After(began) {
			continue
		}
		if !r.confirmed && r.order.ID.Era == era {
			s.withdraw(r.order.ID)
			continue
		}
		// An order of which the store has no record hasn't begun.
		r.known = true
		if !r.supersededAt.IsZero() && !began.Before(r.supersededAt) {
			r.resume(s.status)
		}
		t.attribute(s, now)
	}
}

// resume goes on after another record that says that an order runs, if there is no later order: another
// process, which didn't hear this one, has written it for the same order and hasn't written more.
func (r *rollout) resume(status Status) {
	r.began, r.supersededAt = Position{}, time.Time{}
	if status.State == StateRunning && status.Target == r.order.Target {
		r.learnBegan(status.At)
	}
}

// attribute finds out what the records of a service say of its order. A verdict belongs to the order whose
// running record it follows.
func (t *Table) attribute(s *service, now time.Time) {
	r := s.rollout
	if r == nil {
		return
	}
	r.applyRecord(s.record, now)
	if r.began.Era != t.era || r.began == (Position{}) || s.status.At.Era != t.era {
		r.began = inEra(r.began, t.era)
		r.applyRestored(s.status, t.era)
		return
	}
	switch {
	case !s.status.At.newer(r.began):
	case s.status.State == StateNone:
		r.began = Position{}
	case s.status.State == StateRunning || s.status.Target != r.order.Target:
		if r.supersededAt.IsZero() {
			r.supersededAt = now
		}
	case r.supersededAt.IsZero():
		r.setStored(s.status.State)
	}
}

// applyRecord applies a record of keyed.rollouts if it is of this order, perhaps of an earlier era.
func (r *rollout) applyRecord(record Record, now time.Time) {
	if record.Target != r.order.Target || record.Duration != r.order.Duration || record.Order.Offset != r.order.ID.Offset {
		return
	}
	r.known = true
	passed := min(max(now.Sub(record.WrittenAt), 0), r.order.Duration)
	r.learnAge(record.Age+passed, now)
	r.grow(record.Step, now)
	if record.Order == r.order.ID {
		r.learnBegan(record.Began)
	}
}

// learnBegan applies what is told of the record that says that the order runs. Two processes that don't hear
// each other may write one each; the later one counts.
func (r *rollout) learnBegan(began Position) {
	if began.Era == r.order.ID.Era && began.newer(r.began) {
		r.began, r.supersededAt = began, time.Time{}
	}
}

// applyRestored keeps a verdict that a restored copy of the store still holds, so that it isn't written
// again.
func (r *rollout) applyRestored(status Status, era int64) {
	if status.At.Era == era && r.stored != StateNone && status.State == r.stored && status.Target == r.order.Target {
		r.began = status.At
	}
}

// inEra returns a position, or none if it is of another era.
func inEra(p Position, era int64) Position {
	if p.Era != era {
		return Position{}
	}
	return p
}
