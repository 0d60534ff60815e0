package acaciarollout

import (
	"slices"
	"time"
)

// Load pattern: twenty gateways that get one request a second each may send every eleventh to the target, none
// in the time of an order. What they may send together is enough for a verdict.

type (
	// Transfer is a part of the exposure that a process has transferred to a run of another one for good.
	Transfer struct {
		To Process
		// Thousandths is the sum of all transfers to that run, in thousandths of a request.
		Thousandths int64
	}

	// transfers holds what a process has transferred to others and received, in thousandths of a request.
	transfers struct {
		sent, received map[Process]int64
	}
)

const (
	thousandths = 1000
	// transferInterval is the time between requests to the target above which a process transfers its exposure, unless
	// it is saved up for longer.
	transferInterval = time.Second
	// minTransfer is the least exposure that is transferred, in thousandths of a request.
	minTransfer = 20
	// receiverShare is the share of processes that receive: each of them may then send up to three quarters
	// of its requests to the target.
	receiverShare = 0.12
	// transferContact is how recently a receiver must have been heard.
	transferContact = 500 * time.Millisecond
)

func newTransfers() transfers {
	return transfers{sent: map[Process]int64{}, received: map[Process]int64{}}
}

// balance returns the requests that this process has received less those that it has transferred.
func (g transfers) balance() float64 {
	sum := int64(0)
	for _, received := range g.received {
		sum += received
	}
	for _, sent := range g.sent {
		sum -= sent
	}
	return float64(sum) / thousandths
}

// report returns what this process has transferred, sorted.
func (g transfers) report() []Transfer {
	var report []Transfer
	for to, sent := range g.sent {
		report = append(report, Transfer{to, sent})
	}
	slices.SortFunc(report, func(a, b Transfer) int { return a.To.compare(b.To) })
	return report
}

// receive applies what another process has transferred to this one. Transfers only grow, so that late reports tell
// nothing.
func (g transfers) receive(from, self Process, told []Transfer) {
	for _, transfer := range told {
		if transfer.To == self {
			g.received[from] = max(g.received[from], transfer.Thousandths)
		}
	}
}

// transferUnused transfers the unused exposure of a process with few requests to the process that collects it. What is
// saved up for a pulse is better used by all: the few that collect can't send more than their own requests in it.
func (t *Table) transferUnused(s *service, r *rollout, now time.Time) {
	e := &r.exposure
	unused := t.settings.share(0)*float64(e.all) - float64(e.target) + r.transfers.balance()
	interval := transferInterval
	old, _ := s.count(r.order.Target)
	if t.settings.duty(old) < 1 {
		interval = max(interval, r.order.rotationTime(t.settings, old, s.timeout))
	}
	expected := t.settings.share(0) * float64(e.all) * interval.Seconds()
	transfer := int64(unused * thousandths)
	if r.step > 0 || transfer < minTransfer || expected >= now.Sub(r.seen).Seconds() {
		return
	}
	if receiver, found := t.receiver(now); found {
		r.transfers.sent[receiver] += transfer
	}
}

// receiver returns the process that collects this one's exposure; none if it is this one itself. The first
// processes by name receive, and the others turn to them in turn.
func (t *Table) receiver(now time.Time) (Process, bool) {
	processes := []Process{t.self}
	for name, p := range t.peers {
		if p.lostAt.IsZero() && now.Sub(p.heardAt) < transferContact {
			processes = append(processes, Process{name, p.run})
		}
	}
	slices.SortFunc(processes, Process.compare)
	receivers := int(receiverShare*float64(len(processes))) + 1
	rank := slices.Index(processes, t.self)
	if rank < receivers {
		return Process{}, false
	}
	return processes[rank%receivers], true
}
