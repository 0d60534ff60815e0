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

	// weight is what speaks against a trait.
	weight struct {
		// answered reports whether endpoints had answered requests with the trait before.
		answered bool
		attempts int
		// crashes holds the crashes that the trait explains, sorted.
		crashes []uint64
		last    time.Time
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

// weigh returns the weight of the unexplained records of one trait.
func weigh(records []Record, explained map[uint64]bool) weight {
	w := weight{}
	attempts := map[int]bool{}
	for _, record := range records {
		w.answered = w.answered || record.Answered
		if explained[record.Crash] {
			continue
		}
		attempts[record.Attempt] = true
		w.crashes = append(w.crashes, record.Crash)
		if record.ObservedAt.After(w.last) {
			w.last = record.ObservedAt
		}
	}
	w.attempts = len(attempts)
	slices.Sort(w.crashes)
	return w
}

// compare orders the weights of two traits by how likely the trait is the cause: one with which requests
// had been answered is less likely; then by the attempts that ended in a crash, then by the crashes.
func (w weight) compare(other weight) int {
	return cmp.Or(compareBool(!w.answered, !other.answered), cmp.Compare(w.attempts, other.attempts), cmp.Compare(len(w.crashes), len(other.crashes)))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// sortByObservation sorts records by the time of the crash.
func sortByObservation(records []Record) {
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(a.ObservedAt.Compare(b.ObservedAt), cmp.Compare(a.Crash, b.Crash), cmp.Compare(a.Trait, b.Trait))
	})
}
