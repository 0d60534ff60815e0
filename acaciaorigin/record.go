package acaciaorigin

import (
	"slices"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciasite"
)

type (
	// Record is what a process keeps in the platform's store for the time after it, and all others,
	// have ended.
	Record struct {
		// WrittenAt is the wall-clock time at which it was written.
		WrittenAt time.Time
		// Versions are those that were in service within the retention. Complete reports whether
		// it is certain that there were no others.
		Versions []acaciasite.Origin
		Complete bool
		// Streams are those whose origin nothing else tells.
		Streams []Stream
		// SettledEra is the last era of the store in which its list of endpoints is known to show their
		// current starts: after a restore, the list is that of a copy.
		SettledEra int64
	}

	// writtenRecord is what the store holds of a table.
	writtenRecord struct {
		versions []acaciasite.Origin
		complete bool
		era      int64
		streams  map[Key]bool
	}
)

const (
	// recordMargin is how much older than the newest record one may be that still counts. A
	// process that ran when the versions in service changed wrote a record then.
	recordMargin = time.Minute
	// maxRecordedStreams keeps a record within the size that the store takes.
	maxRecordedStreams = 8192
)

// NextRecord returns the record to be written now, and whether the store lacks any of it. The streams
// are those of all processes, so that one process may write them for others; without withStreams
// there are none.
func (t *Table) NextRecord(withStreams bool, now time.Time) (record Record, due bool) {
	record.Versions, record.Complete, record.SettledEra = t.inService(now), t.complete(now), t.settledEra
	due = !slices.Equal(record.Versions, t.written.versions) || record.Complete != t.written.complete || record.SettledEra != t.written.era
	if !withStreams {
		return record, due
	}
	ambiguous := t.ambiguousServices(now)
	for _, state := range t.streams {
		if len(record.Streams) == maxRecordedStreams {
			break
		}
		if state.recordable(ambiguous) {
			record.Streams = append(record.Streams, state.Stream)
			due = due || !t.written.streams[state.Key]
		}
	}
	return record, due
}

// SetSettledEra sets the era of the store in which its list of endpoints shows their current starts.
func (t *Table) SetSettledEra(era int64) {
	t.settledEra = era
}

// SetWritten records that the store holds a record.
func (t *Table) SetWritten(record Record) {
	t.written = writtenRecord{versions: record.Versions, complete: record.Complete, era: record.SettledEra, streams: map[Key]bool{}}
	for _, stream := range record.Streams {
		t.written.streams[stream.Key] = true
	}
}

// Load applies the records of all processes. Those that are much older than the newest one are of
// processes that have not seen the versions now in service.
func (t *Table) Load(records []Record, now time.Time) {
	var newest time.Time
	for _, record := range records {
		if record.WrittenAt.After(newest) {
			newest = record.WrittenAt
		}
	}
	for _, record := range records {
		if record.WrittenAt.Before(newest.Add(-recordMargin)) {
			continue
		}
		if record.Complete {
			t.Observe(now.Add(-t.retention))
		}
		for _, origin := range record.Versions {
			t.version(origin).toldUntil = now
		}
		t.addTold(record.Streams, now)
	}
}
