package acaciapeer

import (
	"time"

	"github.com/acaciaroute/acaciaroute/acaciarollout"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

// maxRolloutDuration bounds the times in a message, so that sums of them don't overflow.
const maxRolloutDuration = 365 * 24 * time.Hour

// encodeRollouts returns nil for the report of a deployment without orders.
func encodeRollouts(report acaciarollout.Report) *acaciawire.Rollouts {
	if report.Run == 0 {
		return nil
	}
	wire := &acaciawire.Rollouts{Run: report.Run, ReadsStore: report.ReadsStore}
	for _, order := range report.Orders {
		wire.Orders = append(wire.Orders, encodeRolloutOrder(order))
	}
	return wire
}

func encodeRolloutOrder(order acaciarollout.OrderReport) *acaciawire.RolloutOrder {
	wire := &acaciawire.RolloutOrder{
		Service: order.Service, Target: order.Target, DurationMs: order.Duration.Milliseconds(),
		Era: order.Order.Era, Offset: order.Order.Offset, BeganEra: order.Began.Era, BeganOffset: order.Began.Offset,
		Step: encodeCount(order.Step), Verdict: order.Verdict.String(), Reason: order.Reason,
		AgeMs: order.Age.Milliseconds(), Withdrawn: order.Withdrawn, SentAll: order.SentAll, SentTarget: order.SentTarget,
		RunningOld: encodeCount(order.RunningOld), RunningTarget: encodeCount(order.RunningTarget),
	}
	for _, row := range order.Evidence {
		wire.Evidence = append(wire.Evidence, &acaciawire.RolloutEvidence{
			Route: row.Route, Endpoint: row.Endpoint, Target: row.Target, Answers: row.Answers, Failed: row.Failed, Slow: row.Slow,
		})
	}
	for _, transfer := range order.Transfers {
		wire.Transfers = append(wire.Transfers, &acaciawire.RolloutTransfer{Process: transfer.To.Name, Run: transfer.To.Run, Thousandths: transfer.Thousandths})
	}
	return wire
}

func decodeRollouts(wire *acaciawire.Rollouts) acaciarollout.Report {
	report := acaciarollout.Report{Run: wire.GetRun(), ReadsStore: wire.GetReadsStore()}
	for _, order := range wire.GetOrders() {
		report.Orders = append(report.Orders, decodeRolloutOrder(order))
	}
	return report
}

// decodeRolloutOrder takes a negative count for none, and an unknown verdict for none.
func decodeRolloutOrder(wire *acaciawire.RolloutOrder) acaciarollout.OrderReport {
	order := acaciarollout.OrderReport{
		Service: wire.Service, Target: wire.Target, Duration: decodeMs(wire.DurationMs), Age: decodeMs(wire.AgeMs), Withdrawn: wire.Withdrawn,
		Order: acaciarollout.OrderID{Era: wire.Era, Offset: wire.Offset}, Began: acaciarollout.Position{Era: wire.BeganEra, Offset: wire.BeganOffset},
		Step: int(wire.Step), Verdict: acaciarollout.ParseState(wire.Verdict), Reason: wire.Reason,
		SentAll: max(wire.SentAll, 0), SentTarget: max(wire.SentTarget, 0),
		RunningOld: int(wire.RunningOld), RunningTarget: int(wire.RunningTarget),
	}
	for _, row := range wire.Evidence {
		order.Evidence = append(order.Evidence, acaciarollout.Evidence{
			Route: row.Route, Endpoint: row.Endpoint, Target: row.Target,
			Answers: max(row.Answers, 0), Failed: max(row.Failed, 0), Slow: max(row.Slow, 0),
		})
	}
	for _, transfer := range wire.Transfers {
		to := acaciarollout.Process{Name: transfer.Process, Run: transfer.Run}
		order.Transfers = append(order.Transfers, acaciarollout.Transfer{To: to, Thousandths: max(transfer.Thousandths, 0)})
	}
	return order
}

func decodeMs(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxRolloutDuration.Milliseconds())) * time.Millisecond
}
