package acaciaorigin

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/acaciaroute/acaciaroute/acaciasite"
)

type (
	// Key identifies a stream by the ID of the attempt that brought its first event.
	Key uint64

	// Stream is a stream and what began it.
	Stream struct {
		Key    Key
		Origin acaciasite.Origin
	}

	// Table holds what is known of the origins of streams. It is not safe for concurrent use.
	Table struct {
		retention time.Duration
		// completeSince is the time since which the table holds all versions that have been in
		// service; zero if there is none.
		completeSince time.Time
		versions      map[acaciasite.Origin]*versionState
		// predecessors holds, by service, the only version before a second one was in service.
		predecessors map[string]predecessor
		streams      map[Key]*streamState
		// own holds the streams that this process has begun or resumed, the oldest first.
		own     []*streamState
		written writtenRecord
		// settledEra is the last era of the store in which its list is known to show the current starts.
		settledEra int64
	}

	// predecessor is the only version that a service had until a second one was known.
	predecessor struct {
		version string
		until   time.Time
	}

	// versionState tells when a version was in service.
	versionState struct {
		// listed reports whether an endpoint of the version is listed. listedUntil is when the last
		// one was removed, toldUntil the last time at which others said that one was listed; both
		// are zero if there is no such time.
		listed      bool
		listedUntil time.Time
		toldUntil   time.Time
	}

	// streamState is a stream in the table.
	streamState struct {
		Stream
		begunAt time.Time
		// delivered reports whether the caller has the whole stream, as far as this process knows.
		// split reports whether the stream's route sends requests to several services, told
		// whether another process or a record has told of it.
		delivered bool
		split     bool
		told      bool
		// unconfirmed is the run that has begun the stream while nothing shows that the endpoint
		// hasn't started again; nil if something does.
		unconfirmed *Run
	}
)

// maxStreams bounds the streams of a table; further ones are not remembered.
const maxStreams = 1 << 16

// NewTable returns an empty table that remembers a stream for the given time from its beginning.
func NewTable(retention time.Duration) *Table {
	return &Table{retention: retention, versions: map[acaciasite.Origin]*versionState{}, predecessors: map[string]predecessor{}, streams: map[Key]*streamState{}}
}

// KeyOf returns the key of the stream whose first event the attempt with an ID brought.
func KeyOf(attemptID string) Key {
	return Key(xxhash.Sum64String(attemptID))
}

// SetRetention sets for how long a stream may be resumed after its beginning.
func (t *Table) SetRetention(retention time.Duration) {
	t.retention = retention
}

// Retention returns for how long a stream may be resumed after its beginning.
func (t *Table) Retention() time.Duration {
	return t.retention
}

// Observe records that the table holds all versions that have been in service since a time.
func (t *Table) Observe(since time.Time) {
	if t.completeSince.IsZero() || since.Before(t.completeSince) {
		t.completeSince = since
	}
}

// Interrupt records that versions may have come and gone before a time without being observed.
func (t *Table) Interrupt(until time.Time) {
	t.completeSince = until
}

// SetListed records the services and versions of the endpoints that are listed now.
func (t *Table) SetListed(origins []acaciasite.Origin, now time.Time) {
	for _, origin := range origins {
		t.keepPredecessor(origin, now)
	}
	for origin, state := range t.versions {
		if state.listed && !slices.Contains(origins, origin) {
			state.listed, state.listedUntil = false, now
		}
	}
	for _, origin := range origins {
		t.version(origin).listed = true
	}
}

// Begin records that this process has passed on the first event of a stream, or the first one after
// the caller has resumed it. split reports whether its route sends requests to several services. The
// origin of a stream with an unconfirmed run isn't told before Confirm. Begin returns whether others
// need to be told of the stream.
func (t *Table) Begin(stream Stream, split bool, unconfirmed *Run, now time.Time) (needed bool) {
	_, known := t.streams[stream.Key]
	state := t.add(stream, now)
	if state == nil {
		return false
	}
	if !known {
		state.unconfirmed = unconfirmed
	}
	state.split, state.delivered = split, false
	if !slices.Contains(t.own, state) {
		t.own = append(t.own, state)
	}
	return state.needed(t.ambiguousServices(now))
}

// Confirm settles the origins of the streams about whose runs judge knows something. It reports whether
// there were any.
func (t *Table) Confirm(judge func(Run) Verdict) (confirmed bool) {
	for _, state := range t.own {
		if state.unconfirmed == nil {
			continue
		}
		switch judge(*state.unconfirmed) {
		case VerdictOpen:
			continue
		case VerdictRefuted:
			state.Origin.Version = acaciasite.VersionUnknown
		case VerdictProven:
		}
		state.unconfirmed = nil
		confirmed = true
	}
	return confirmed
}

// Deliver records that the caller has the whole stream.
func (t *Table) Deliver(key Key) {
	if state := t.streams[key]; state != nil {
		state.delivered = true
	}
}

// Lookup returns the origin of a stream.
func (t *Table) Lookup(key Key) (origin acaciasite.Origin, known bool) {
	state := t.streams[key]
	if state == nil || state.unconfirmed != nil {
		return acaciasite.Origin{}, false
	}
	return state.Origin, true
}

// Unconfirmed returns the run that has begun a stream if this process has begun it and nothing confirms its
// origin yet, else nil.
func (t *Table) Unconfirmed(key Key) *Run {
	if state := t.streams[key]; state != nil {
		return state.unconfirmed
	}
	return nil
}

// KnownSince returns since when the table holds a stream; the zero time if it doesn't.
func (t *Table) KnownSince(key Key) time.Time {
	if state := t.streams[key]; state != nil {
		return state.begunAt
	}
	return time.Time{}
}

// OnlyVersion returns the version that has begun all streams of a service that may be resumed, if
// that is certain.
func (t *Table) OnlyVersion(service string, now time.Time) (version string, certain bool) {
	if !t.complete(now) {
		return "", false
	}
	found := 0
	for _, origin := range t.inService(now) {
		if origin.Service == service {
			version = origin.Version
			found++
		}
	}
	return version, found == 1
}

// Predecessor returns the only version that a service had before this process knew of a second one, if
// streams that began then may still be resumed. Processes that don't know of the second one tell
// nothing of their streams, which are all of that version.
func (t *Table) Predecessor(service string, now time.Time) (version string, known bool) {
	p, known := t.predecessors[service]
	if !known || now.Sub(p.until) >= t.retention {
		return "", false
	}
	return p.version, true
}

// keepPredecessor keeps the only version of a service if the given one is another, and if this
// process has been there to hear of those that knew of another one.
func (t *Table) keepPredecessor(origin acaciasite.Origin, now time.Time) {
	version, certain := t.OnlyVersion(origin.Service, now)
	listed := t.versions[acaciasite.Origin{Service: origin.Service, Version: version}]
	if certain && version != origin.Version && listed.listed {
		t.predecessors[origin.Service] = predecessor{version: version, until: now}
	}
}

// Merge applies what another process tells of versions and streams.
func (t *Table) Merge(report Report, now time.Time) {
	for _, version := range report.Versions {
		t.keepPredecessor(version.Origin, now)
		state := t.version(version.Origin)
		if told := now.Add(-version.LeftAgo); told.After(state.toldUntil) {
			state.toldUntil = told
		}
	}
	t.addTold(report.Streams, now)
}

// Expire discards what is too old to matter.
func (t *Table) Expire(now time.Time) {
	oldest := now.Add(-t.retention)
	maps.DeleteFunc(t.streams, func(_ Key, state *streamState) bool { return state.begunAt.Before(oldest) })
	t.own = slices.DeleteFunc(t.own, func(state *streamState) bool { return state.begunAt.Before(oldest) })
	maps.DeleteFunc(t.versions, func(_ acaciasite.Origin, state *versionState) bool { return !state.inService(oldest) })
}

// complete reports whether the table holds all versions that were in service within the retention.
func (t *Table) complete(now time.Time) bool {
	return !t.completeSince.IsZero() && now.Sub(t.completeSince) >= t.retention
}

// inService returns the origins that were in service at some time within the retention.
func (t *Table) inService(now time.Time) []acaciasite.Origin {
	oldest := now.Add(-t.retention)
	var origins []acaciasite.Origin
	for origin, state := range t.versions {
		if state.inService(oldest) {
			origins = append(origins, origin)
		}
	}
	slices.SortFunc(origins, acaciasite.Origin.Compare)
	return origins
}

// ambiguousServices returns the services of which several versions were in service within the
// retention.
func (t *Table) ambiguousServices(now time.Time) map[string]bool {
	counts := map[string]int{}
	for _, origin := range t.inService(now) {
		counts[origin.Service]++
	}
	ambiguous := map[string]bool{}
	for service, count := range counts {
		if count > 1 {
			ambiguous[service] = true
		}
	}
	return ambiguous
}

// recordable reports whether others are told of the stream now.
func (s *streamState) recordable(ambiguous map[string]bool) bool {
	return s.unconfirmed == nil && s.needed(ambiguous)
}

// needed reports whether others need to be told of the stream: nothing else tells its origin.
func (s *streamState) needed(ambiguous map[string]bool) bool {
	return !s.delivered && (s.told || s.split || ambiguous[s.Origin.Service])
}

// inService reports whether the version was in service after a time.
func (s *versionState) inService(after time.Time) bool {
	return s.listed || s.listedUntil.After(after) || s.toldUntil.After(after)
}

func (t *Table) version(origin acaciasite.Origin) *versionState {
	state := t.versions[origin]
	if state == nil {
		state = &versionState{}
		t.versions[origin] = state
	}
	return state
}

// add adds a stream, unless its origin is known already, and returns it; nil if the table is full.
func (t *Table) add(stream Stream, now time.Time) *streamState {
	state := t.streams[stream.Key]
	if state == nil && len(t.streams) < maxStreams {
		state = &streamState{Stream: stream, begunAt: now}
		t.streams[stream.Key] = state
	}
	return state
}

// addTold adds streams of which others have told.
func (t *Table) addTold(streams []Stream, now time.Time) {
	for _, stream := range streams {
		if _, known := t.streams[stream.Key]; known {
			continue
		}
		if state := t.add(stream, now); state != nil {
			state.told = true
		}
	}
}
