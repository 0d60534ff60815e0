package acaciaorigin

import (
	"slices"
	"time"
)

// ListEra tells whether the list of endpoints shows the current starts again after a restore of the store. The zero
// value is that of a list that has not been read. It is not safe for concurrent use.
type ListEra struct {
	// era is the era of the store in which the list was read, copyReadAt when it was first read in it.
	era        int64
	copyReadAt time.Time
	settled    bool
	// recorded is the era of which the records say that its list shows the current starts; nil if they say it of none.
	recorded *int64
}

// Distrust records that the list may have been restored from a copy since its entries were written.
func (e *ListEra) Distrust(era int64, now time.Time) {
	e.settled, e.era, e.copyReadAt = false, era, now
}

// Learn takes from the records in which era of the store its list of endpoints shows the current starts, and reports
// whether they say so of the given one. Without any record no process has run before in the store's present state.
func (e *ListEra) Learn(records []Record, era int64) bool {
	known := len(records) == 0 || slices.ContainsFunc(records, func(r Record) bool { return r.SettledEra == era })
	if known {
		e.recorded = &era
	}
	return known
}

// ForgetRecords discards what the records say, because they may be those of another store.
func (e *ListEra) ForgetRecords() {
	e.recorded = nil
}

// Settle reports whether the list shows the current starts from now on and didn't before. It does if each endpoint has
// registered again, as trusted tells, or has had the time in which the store drops it, or if a record says so.
// readable is for how long the store has been readable.
func (e *ListEra) Settle(trusted bool, readable, expiry time.Duration, now time.Time) bool {
	if e.settled || e.copyReadAt.IsZero() {
		return false
	}
	recorded := e.recorded != nil && *e.recorded == e.era
	lapsed := now.Sub(e.copyReadAt) >= expiry && readable >= expiry
	e.settled = recorded || lapsed || trusted
	return e.settled
}

// Settled reports whether the list shows the current starts.
func (e *ListEra) Settled() bool {
	return e.settled
}

// Era returns the era of the store in which the list was read.
func (e *ListEra) Era() int64 {
	return e.era
}
