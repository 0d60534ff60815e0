package acaciacrash

import (
	"cmp"
	"slices"
	"time"
)

type (
	// Trait identifies what several requests may have in common: a segment of their prompts,
	// or their whole content.
	Trait uint64

	// Record says that a request with a trait ran on an endpoint that crashed, and that
	// nothing of its answer had shown that it was harmless.
	Record struct {
		// Crash identifies the run of the endpoint that crashed.
		Crash uint64
		Trait Trait
		// Attempt is one more than the crashes of requests with the trait that the sender knew
		// of when it sent the request. Crashes of the same attempt may have one common cause
		// that is none of the requests: the failure of a rack, for example.
		Attempt int
		// ObservedAt is when the crash was observed.
		ObservedAt time.Time
		// Cleared reports whether an endpoint has answered a request with the trait since.
		Cleared bool
		// Answered reports whether an endpoint had answered a request with the trait before.
		Answered bool
	}

	// recordKey identifies a record: a trait counts once for each crash.
	recordKey struct {
		crash uint64
		trait Trait
	}
)

func (r *Record) key() recordKey {
	return recordKey{r.Crash, r.Trait}
}

// merge adds what another record of the same crash and trait says, and reports whether the
// record changes. Of two times, the earlier one was delayed less on its way here.
func (r *Record) merge(other Record) bool {
	before := *r
	r.Cleared = r.Cleared || other.Cleared
	r.Answered = r.Answered || other.Answered
	r.Attempt = max(r.Attempt, other.Attempt)
	if other.ObservedAt.Before(r.ObservedAt) {
		r.ObservedAt = other.ObservedAt
	}
	return *r != before
}

// sortByObservation sorts records by the time of the crash.
func sortByObservation(records []Record) {
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(a.ObservedAt.Compare(b.ObservedAt), cmp.Compare(a.Crash, b.Crash), cmp.Compare(a.Trait, b.Trait))
	})
}
