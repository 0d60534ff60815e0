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

	// Record says that a request ran on an endpoint that crashed.
	Record struct {
		// Crash identifies the run of the endpoint that crashed.
		Crash uint64
		// ObservedAt is when the crash was observed.
		ObservedAt time.Time
		// Stage is the one that the answer had reached.
		Stage Stage
		// Traits tells of all traits of the request, each once, but for those that the crash can't speak against. The last one
		// is its content.
		Traits []TraitRecord
	}

	// TraitRecord tells of a trait of the requests that ran on an endpoint that crashed.
	TraitRecord struct {
		Trait Trait
		// Attempt is one more than the crashes of requests with the trait that the sender knew
		// of when it sent the request. Crashes of the same attempt may have one common cause
		// that is none of the requests: the failure of a rack, for example.
		Attempt int
		// Before is the last stage that the answer to a request with the trait had reached before the crash, Since the
		// last one that such an answer has reached since.
		Before, Since Stage
	}

	// recordKey identifies a record: the crash, and the content of the request.
	recordKey struct {
		crash   uint64
		content Trait
	}
)

// content returns the trait of the request's content.
func (r *Record) content() Trait {
	return r.Traits[len(r.Traits)-1].Trait
}

// traits returns the traits of the request.
func (r *Record) traits() []Trait {
	traits := make([]Trait, len(r.Traits))
	for i, told := range r.Traits {
		traits[i] = told.Trait
	}
	return traits
}

// merge adds what another record of the same crash and trait says.
func (r *TraitRecord) merge(other TraitRecord) {
	r.Attempt = max(r.Attempt, other.Attempt)
	r.Before = max(r.Before, other.Before)
	r.Since = max(r.Since, other.Since)
}

// sortByObservation sorts crashes by the time at which they were observed.
func sortByObservation(crashes []*endpointCrash) {
	slices.SortFunc(crashes, func(a, b *endpointCrash) int {
		return cmp.Or(a.observedAt.Compare(b.observedAt), cmp.Compare(a.id, b.id))
	})
}
