package acaciacrash

import (
	"cmp"
	"slices"
	"time"
)

type (
	// suspect is a trait and what speaks against it.
	suspect struct {
		trait  Trait
		weight weight
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

	// evidence is a crash of a request with a trait.
	evidence struct {
		crash *endpointCrash
		trait TraitRecord
	}

	// attemptSpan holds the first and the last of the attempts with a trait that ended in a crash.
	attemptSpan struct{ first, last int }
)

// equivalent reports whether two suspects explain the same crashes, and nothing else tells them apart.
func (s suspect) equivalent(other suspect) bool {
	return s.weight.answered == other.weight.answered && slices.Equal(s.weight.crashes, other.weight.crashes)
}

// attemptSpans returns the attempts with all traits that crashes speak against.
func attemptSpans(crashes []*endpointCrash) map[Trait]attemptSpan {
	spans := map[Trait]attemptSpan{}
	for _, c := range crashes {
		for trait, record := range c.traits {
			if record.Cleared {
				continue
			}
			span, present := spans[trait]
			if !present {
				span = attemptSpan{record.Attempt, record.Attempt}
			}
			spans[trait] = attemptSpan{min(span.first, record.Attempt), max(span.last, record.Attempt)}
		}
	}
	return spans
}

// evidenceByTrait returns what speaks against the traits that may be banned, those with several attempts, in the
// order of the crashes.
func evidenceByTrait(crashes []*endpointCrash, spans map[Trait]attemptSpan) map[Trait][]evidence {
	byTrait := map[Trait][]evidence{}
	for _, c := range crashes {
		for trait, record := range c.traits {
			if span := spans[trait]; !record.Cleared && span.first < span.last {
				byTrait[trait] = append(byTrait[trait], evidence{c, record})
			}
		}
	}
	return byTrait
}

// likeliest returns the suspect that is most likely the cause, and those equivalent to it, in the order of
// their traits. It returns none if nothing is enough against any.
func likeliest(suspects []suspect) []suspect {
	suspects = slices.DeleteFunc(suspects, func(s suspect) bool { return s.weight.attempts < minCrashes })
	if len(suspects) == 0 {
		return nil
	}
	strongest := slices.MaxFunc(suspects, func(a, b suspect) int {
		return cmp.Or(a.weight.compare(b.weight), cmp.Compare(b.trait, a.trait))
	})
	suspects = slices.DeleteFunc(suspects, func(s suspect) bool { return !s.equivalent(strongest) })
	slices.SortFunc(suspects, func(a, b suspect) int { return cmp.Compare(a.trait, b.trait) })
	return suspects
}

// weigh returns the weight of the evidence against one trait that is not explained.
func weigh(all []evidence, explained map[uint64]bool) weight {
	w := weight{}
	attempts := map[int]bool{}
	for _, e := range all {
		w.answered = w.answered || e.trait.Answered
		if explained[e.crash.id] {
			continue
		}
		attempts[e.trait.Attempt] = true
		w.crashes = append(w.crashes, e.crash.id)
		if e.crash.observedAt.After(w.last) {
			w.last = e.crash.observedAt
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
