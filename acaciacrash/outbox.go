package acaciacrash

import "time"

// Outbox collects what a table has to tell a group of other processes that all get the same
// messages. It is not safe for concurrent use.
type Outbox struct {
	table *Table
	// pending holds the records that wait to be told, queued the same as a set.
	pending []recordKey
	queued  map[recordKey]bool
	// repeatedAt is when records were last repeated, nextRepeated the index of the next one.
	repeatedAt   time.Time
	nextRepeated int
}

const (
	// repeatInterval is the time between two messages that repeat records, because messages
	// may be lost; repeatedTraits is how many traits they repeat at least, in turn.
	repeatInterval = time.Second
	repeatedTraits = 12
	// messageTraits is the number of traits after which no further record is added to a message. The
	// records of one with so many still fit into a datagram.
	messageTraits = 512
	// maxPending bounds the records that wait for the next message; others are told when their
	// turn to be repeated comes.
	maxPending = 4096
)

// NewOutbox returns an outbox that gets the records that the process adds or changes from now on.
func (t *Table) NewOutbox() *Outbox {
	outbox := &Outbox{table: t, queued: map[recordKey]bool{}}
	t.outboxes = append(t.outboxes, outbox)
	return outbox
}

// SendAll makes the next messages hold all that a process needs that has joined and knows nothing of the table. The
// rest, what speaks against single contents, is told as it is repeated.
func (o *Outbox) SendAll() {
	for _, key := range o.table.suspectKeys() {
		o.add(key)
	}
}

// Next returns the records for the next message. A record is told whole or not at all: a part of a request's
// traits would be suspect in place of all.
func (o *Outbox) Next(now time.Time) []Record {
	var records []Record
	traits, told := 0, 0
	for ; told < len(o.pending) && traits < messageTraits; told++ {
		key := o.pending[told]
		delete(o.queued, key)
		if record := o.table.record(key); record != nil {
			records = append(records, *record)
			traits += len(record.Traits)
		}
	}
	o.pending = o.pending[told:]
	if traits < messageTraits && now.Sub(o.repeatedAt) >= repeatInterval {
		o.repeatedAt = now
		records = append(records, o.repeat()...)
	}
	return records
}

// repeat returns the records whose turn it is to be repeated.
func (o *Outbox) repeat() []Record {
	var records []Record
	all := o.table.keys()
	for traits, n := 0, 0; traits < repeatedTraits && n < len(all); n++ {
		record := o.table.record(all[o.nextRepeated%len(all)])
		records = append(records, *record)
		traits += len(record.Traits)
		o.nextRepeated = (o.nextRepeated + 1) % len(all)
	}
	return records
}

func (o *Outbox) add(key recordKey) {
	if !o.queued[key] && len(o.pending) < maxPending {
		o.queued[key] = true
		o.pending = append(o.pending, key)
	}
}
