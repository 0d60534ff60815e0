package acaciarollout

import "time"

type (
	// Report is what one process tells others of its orders. Its counts are cumulative, so that a lost
	// report does no harm.
	Report struct {
		// Run is the Process.Run of the sender.
		Run int64
		// ReadsStore reports whether the sender has lately read the store.
		ReadsStore bool
		Orders     []OrderReport
	}

	// OrderReport tells of one order.
	OrderReport struct {
		Service, Target string
		Duration        time.Duration
		Order           OrderID
		// Withdrawn reports whether the order has been deleted; nothing else but its service is told then.
		Withdrawn bool
		// Age is the time since the order.
		Age time.Duration
		// Began is the position of the status record that says that the order runs; zero if unknown.
		Began Position
		// Step is the number of steps by which the exposure has grown.
		Step int
		// Verdict is StateNone until the sender knows one. StateCompleted is known from the store only.
		Verdict State
		// Reason says why the verdict is what it is.
		Reason string
		// SentAll and SentTarget count the requests that the sender has sent since the order.
		SentAll, SentTarget int64
		// Transfers are the parts of its exposure that the sender has transferred to others.
		Transfers []Transfer
		// RunningOld and RunningTarget count the requests that the sender runs or holds on each side.
		RunningOld, RunningTarget int
		// Evidence holds a part of the sender's rows; those left out keep their last values.
		Evidence []Evidence
	}

	// Outbox collects the reports to a group of processes that all get the same messages. It is not safe
	// for concurrent use.
	Outbox struct {
		table *Table
		// evidenceAt is when evidence was last told.
		evidenceAt time.Time
		orders     map[*rollout]*outboxOrder
	}

	// outboxOrder is what an outbox has told of an order.
	outboxOrder struct {
		// versions holds the told version of each row.
		versions map[*ownRow]int64
		// next is the row from which the next report is filled.
		next int
	}
)

const (
	// maxRows bounds the rows of evidence in a report; a datagram holds them.
	maxRows = 64
	// evidenceInterval is the least time between reports with evidence.
	evidenceInterval = 50 * time.Millisecond
)

// NewOutbox returns an outbox that has told nothing yet.
func (t *Table) NewOutbox() *Outbox {
	return &Outbox{table: t, orders: map[*rollout]*outboxOrder{}}
}

// Next returns the report for the next message, with at most 64 rows of evidence and those at most every
// 50 ms. It is cheap enough to be called for each message.
func (o *Outbox) Next(now time.Time) Report {
	t := o.table
	report := Report{Run: t.self.Run, ReadsStore: t.readsStore(now, heardTimeout)}
	rows := 0
	if now.Sub(o.evidenceAt) >= evidenceInterval {
		o.evidenceAt, rows = now, maxRows
	}
	for _, s := range t.services {
		switch {
		case s.rollout != nil && s.rollout.known:
			order := s.orderReport(now)
			order.Evidence = o.nextRows(s.rollout, rows)
			rows -= len(order.Evidence)
			report.Orders = append(report.Orders, order)
		case s.rollout == nil && s.withdrawn != (OrderID{}):
			report.Orders = append(report.Orders, OrderReport{Service: s.name, Order: s.withdrawn, Withdrawn: true})
		}
	}
	o.forgetEnded()
	return report
}

// orderReport returns what is told of a service's order, without evidence.
func (s *service) orderReport(now time.Time) OrderReport {
	r := s.rollout
	return OrderReport{
		Service: s.name, Target: r.order.Target, Duration: r.order.Duration, Order: r.order.ID, Age: r.age(now),
		Began: r.began, Step: r.step, Verdict: r.verdict(), Reason: r.reason,
		SentAll: r.exposure.all, SentTarget: r.exposure.target, Transfers: r.transfers.report(),
		RunningOld: s.runningOld, RunningTarget: s.runningTarget,
	}
}

// nextRows returns up to a number of rows: those that have changed, then those told longest ago, because
// reports may have been lost. Nothing is told of an order that has a verdict.
func (o *Outbox) nextRows(r *rollout, count int) []Evidence {
	rows := r.evidence.rows
	count = min(count, len(rows))
	if count <= 0 || r.verdict() != StateNone {
		return nil
	}
	told := o.orders[r]
	if told == nil {
		told = &outboxOrder{versions: map[*ownRow]int64{}}
		o.orders[r] = told
	}
	var evidence []Evidence
	for _, changed := range []bool{true, false} {
		start := told.next
		for i := 0; i < len(rows) && len(evidence) < count; i++ {
			at := (start + i) % len(rows)
			row := rows[at]
			if (told.versions[row] < row.version) == changed {
				evidence = append(evidence, row.Evidence)
				told.versions[row] = row.version
				told.next = at + 1
			}
		}
	}
	return evidence
}

// forgetEnded discards what was told of orders that have been replaced or withdrawn.
func (o *Outbox) forgetEnded() {
	for r := range o.orders {
		if s := o.table.services[r.order.Service]; s == nil || s.rollout != r {
			delete(o.orders, r)
		}
	}
}
