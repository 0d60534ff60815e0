package acaciarollout

import "time"

type (
	// peer is another process as last heard.
	peer struct {
		run        int64
		heardAt    time.Time
		readsStore bool
		// lostAt is when the process was removed though it may be alive; zero if it is heard.
		lostAt time.Time
	}

	// toldOrder is what a run of another process has told of an order.
	toldOrder struct {
		rows       map[rowKey]Counts
		step       int
		runningOld int
		// sentAll and sentTarget count its requests since the order.
		sentAll, sentTarget int64
	}
)

const (
	// heardTimeout is how long a process counts as one that writes or completes after its last message.
	heardTimeout = 3 * time.Second
	// lostRetention is how long a removed process counts as possibly alive behind a network partition.
	lostRetention = 20 * time.Second
	// contactShare is the part of RollbackTime for which a process goes on exposing the target without
	// hearing from others; the rest is for their verdict and its messages.
	contactShare = 0.5
)

// hear records that a process is alive.
func (t *Table) hear(process string, report Report, now time.Time) {
	p := t.peers[process]
	if p == nil {
		p = &peer{run: report.Run}
		t.peers[process] = p
	}
	p.run, p.heardAt, p.readsStore, p.lostAt = report.Run, now, report.ReadsStore, time.Time{}
}

// Remove removes a process that is no longer heard. mayBeAlive is false if it has said that it leaves.
func (t *Table) Remove(process string, mayBeAlive bool, now time.Time) {
	p := t.peers[process]
	switch {
	case p == nil:
	case !mayBeAlive:
		delete(t.peers, process)
	case p.lostAt.IsZero():
		p.lostAt = now
	}
}

// mayBeAlive reports whether the process is heard, or has not been lost for too long to be alive.
func (p *peer) mayBeAlive(now time.Time) bool {
	return p.lostAt.IsZero() || now.Sub(p.lostAt) < lostRetention
}

// expireLost forgets the processes that have been lost for too long to be alive. Only Tick calls it: Choose and
// Explain are asked by operators, too, and must change nothing.
func (t *Table) expireLost(now time.Time) {
	for name, p := range t.peers {
		if !p.mayBeAlive(now) {
			delete(t.peers, name)
		}
	}
}

// inContact reports whether a verdict of others would be heard in time: from more than half of the processes
// that may be alive, or from the store.
func (t *Table) inContact(now time.Time) bool {
	timeout := time.Duration(contactShare * float64(t.settings.RollbackTime))
	return t.readsStore(now, timeout) || t.hearsMost(now, timeout)
}

// hearsMost reports whether this process and those that it has heard within a time are more than half of the
// processes that may be alive.
func (t *Table) hearsMost(now time.Time, timeout time.Duration) bool {
	heard, possiblyAlive := 1, 1
	for _, p := range t.peers {
		if !p.mayBeAlive(now) {
			continue
		}
		possiblyAlive++
		if now.Sub(p.heardAt) < timeout {
			heard++
		}
	}
	return 2*heard > possiblyAlive
}

// readsStore reports whether this process has lately read the store.
func (t *Table) readsStore(now time.Time, timeout time.Duration) bool {
	return !t.readBegan.IsZero() && now.Sub(t.readBegan) < timeout
}

// Coordinates reports whether this process is the one that writes: the first by name of those heard lately
// that read the store.
func (t *Table) Coordinates(now time.Time) bool {
	if !t.readsStore(now, heardTimeout) {
		return false
	}
	for name, p := range t.peers {
		if name < t.self.Name && p.readsStore && now.Sub(p.heardAt) < heardTimeout {
			return false
		}
	}
	return true
}

// othersMoved reports whether every other process that may be alive sends everything to the target and runs
// nothing on the old version; if not, blocker is one that may not. After the given time a process that has
// been removed doesn't count any more.
func (t *Table) othersMoved(r *rollout, lostUntil, now time.Time) (moved bool, blocker string) {
	for name, p := range t.peers {
		told := r.told[Process{name, p.run}]
		hasMoved := told != nil && told.step == stepWhole && told.runningOld == 0
		switch {
		case !p.mayBeAlive(now):
		case !p.lostAt.IsZero() && (hasMoved || !now.Before(lostUntil)):
		case p.lostAt.IsZero() && hasMoved && now.Sub(p.heardAt) < heardTimeout:
		default:
			return false, name
		}
	}
	return true, ""
}
