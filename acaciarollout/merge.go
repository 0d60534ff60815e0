package acaciarollout

import "time"

// Merge applies the report of another process, and reports whether the others are to be told at once
// because this process has learned a verdict or a step. It is to be called for each message of a process, also
// if its report is empty, because it says that the process is alive.
func (t *Table) Merge(process string, report Report, now time.Time) (changed bool) {
	if process == t.self.Name {
		return false
	}
	if p := t.peers[process]; p != nil && report.Run < p.run {
		return false
	}
	t.hear(process, report, now)
	for _, order := range report.Orders {
		changed = t.mergeOrder(Process{process, report.Run}, order, now) || changed
	}
	return changed
}

// mergeOrder applies what another process tells of an order.
func (t *Table) mergeOrder(from Process, told OrderReport, now time.Time) (changed bool) {
	if t.settings.ExposeShare <= 0 {
		return false
	}
	s := t.service(told.Service)
	if told.Withdrawn {
		t.mergeWithdrawal(s, told.Order)
		return false
	}
	order := Order{Service: told.Service, Target: told.Target, Duration: told.Duration, ID: told.Order}
	t.adopt(order, told.Age, now)
	r := s.rollout
	if r == nil || !r.matches(told) {
		return false
	}
	r.known = true
	r.learnAge(told.Age, now)
	r.learnBegan(told.Began)
	r.mergeRunning(from, told)
	r.transfers.receive(from, t.self, told.Transfers)
	changed = r.grow(told.Step, now)
	switch told.Verdict {
	case StateCompleted:
		changed = r.setStored(StateCompleted) || changed
	case StateRolledBack:
		changed = r.setBad(told.Reason) || changed
	}
	return t.tick(s, now) || changed
}

// mergeWithdrawal withdraws an order that another process has seen deleted, unless a newer one is known.
func (t *Table) mergeWithdrawal(s *service, id OrderID) {
	if r := s.rollout; r != nil {
		if !r.order.ID.newer(id) {
			s.withdraw(id)
		}
	} else if id.newer(s.withdrawn) {
		s.withdrawn = id
	}
}

// mergeRunning applies the counts and evidence of a run of another process.
func (r *rollout) mergeRunning(from Process, told OrderReport) {
	known := r.told[from]
	if known == nil {
		known = &toldOrder{rows: map[rowKey]Counts{}}
		r.told[from] = known
	}
	known.step, known.runningOld = told.Step, told.RunningOld
	known.sentAll, known.sentTarget = told.SentAll, told.SentTarget
	for _, row := range told.Evidence {
		r.evidence.merge(row, known.rows)
	}
}

// matches reports whether an order of another process is this one, perhaps under its ID of another era. Of
// two orders that differ in their offsets, too, one that has ended is another one.
func (r *rollout) matches(told OrderReport) bool {
	if told.Order == r.order.ID {
		return true
	}
	sameContent := told.Target == r.order.Target && told.Duration == r.order.Duration
	unfinished := told.Verdict == StateNone && r.verdict() == StateNone
	return told.Order.Era != r.order.ID.Era && sameContent && (unfinished || told.Order.Offset == r.order.ID.Offset)
}
