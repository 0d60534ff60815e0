package acaciaorigin

import (
	"slices"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciasite"
)

type (
	// Report is what one process tells others of the origins of streams.
	Report struct {
		// Versions holds the versions that were in service within the retention.
		Versions []Version
		Streams  []Stream
	}

	// Version is a version of a service's software that is or was in service.
	Version struct {
		Origin acaciasite.Origin
		// LeftAgo is the time since its last endpoint was removed; zero if one is listed.
		LeftAgo time.Duration
	}

	// Outbox collects what a table has to tell a group of other processes that all get the same
	// messages. It is not safe for concurrent use.
	Outbox struct {
		table *Table
		told  map[Key]bool
		// repeated holds the streams of the last message, which the next one repeats because
		// messages may be lost.
		repeated []Stream
		// reports counts the reports that tell something.
		reports uint64
	}
)

// maxReportedStreams bounds the new streams in one message.
const maxReportedStreams = 256

// NewOutbox returns an outbox that has told nothing yet.
func (t *Table) NewOutbox() *Outbox {
	return &Outbox{table: t, told: map[Key]bool{}}
}

// SendAll makes the next messages tell all streams again, because a process has joined that knows
// none.
func (o *Outbox) SendAll() {
	clear(o.told)
}

// Next returns the report for the next message; it is empty while a single version of each service
// tells all origins.
func (o *Outbox) Next(now time.Time) Report {
	t := o.table
	ambiguous := t.ambiguousServices(now)
	var streams []Stream
	for _, state := range t.own {
		if len(streams) == maxReportedStreams {
			break
		}
		if !o.told[state.Key] && state.recordable(ambiguous) {
			streams = append(streams, state.Stream)
			o.told[state.Key] = true
		}
	}
	report := Report{Streams: slices.Concat(streams, o.repeated)}
	o.repeated = streams
	o.forgetExpired()
	if len(ambiguous) > 0 {
		report.Versions = t.listedVersions(ambiguous, now)
	}
	if len(report.Versions) > 0 {
		o.reports++
	}
	return report
}

// Reports returns how many reports of Next have named versions, so that their receivers can tell whether
// they have missed any.
func (o *Outbox) Reports() uint64 {
	return o.reports
}

// forgetExpired discards streams that the table has discarded.
func (o *Outbox) forgetExpired() {
	for key := range o.told {
		if o.table.streams[key] == nil {
			delete(o.told, key)
		}
	}
}

// listedVersions returns the versions of some services that this process itself has seen in the list.
// What others have told is left out, because it would never end if processes told it each other.
func (t *Table) listedVersions(services map[string]bool, now time.Time) []Version {
	oldest := now.Add(-t.retention)
	var versions []Version
	for _, origin := range t.inService(now) {
		state := t.versions[origin]
		if !services[origin.Service] {
			continue
		}
		if state.listed {
			versions = append(versions, Version{Origin: origin})
		} else if state.listedUntil.After(oldest) {
			versions = append(versions, Version{Origin: origin, LeftAgo: now.Sub(state.listedUntil)})
		}
	}
	return versions
}
