package acaciacrash

import "time"

// Outbox collects what a table has to tell a group of other processes that all get the same
// messages. It is not safe for concurrent use.
type Outbox struct {
	table   *Table
	pending []Record
	// complete reports whether the next message holds the whole table.
	complete bool
	// repeatedAt is when records were last repeated, nextRepeated the index of the next one.
	repeatedAt   time.Time
	nextRepeated int
}

const (
	// repeatInterval is the time between two messages that repeat records, because messages
	// may be lost; repeatedRecords is how many they repeat, in turn.
	repeatInterval  = time.Second
	repeatedRecords = 8
	// maxPending bounds the records that wait for the next message; others are told when their
	// turn to be repeated comes.
	maxPending = 64
)

// NewOutbox returns an outbox that gets the records that the process adds or clears from now on.
func (t *Table) NewOutbox() *Outbox {
	outbox := &Outbox{table: t}
	t.outboxes = append(t.outboxes, outbox)
	return outbox
}

// SendAll makes the next message hold the whole table, because a process has joined that knows
// nothing of it.
func (o *Outbox) SendAll() {
	o.complete = true
}

// Next returns the records for the next message.
func (o *Outbox) Next(now time.Time) []Record {
	records := o.pending
	o.pending = nil
	switch {
	case o.complete:
		o.complete = false
		return o.table.sorted()
	case now.Sub(o.repeatedAt) >= repeatInterval:
		o.repeatedAt = now
		records = append(records, o.repeat()...)
	}
	return records
}

// repeat returns the records whose turn it is to be repeated.
func (o *Outbox) repeat() []Record {
	all := o.table.sorted()
	from := min(o.nextRepeated, len(all))
	to := min(from+repeatedRecords, len(all))
	o.nextRepeated = to
	if to == len(all) {
		o.nextRepeated = 0
	}
	return all[from:to]
}

func (o *Outbox) add(record Record) {
	if len(o.pending) < maxPending {
		o.pending = append(o.pending, record)
	}
}
