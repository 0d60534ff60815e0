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
		// answered reports whether answers to requests with the trait had come further before.
		answered bool
		// attempts is the number of attempts that ended in a crash, earlyAttempts that of those whose answers had hardly begun.
		attempts, earlyAttempts int
		// crashes holds the crashes that the trait explains, sorted.
		crashes []uint64
		last    time.Time
	}

	// evidence is a crash that speaks against a trait.
	evidence struct {
		crash *endpointCrash
		trait *crashTrait
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
			if !record.speaksAgainst() {
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
			if span := spans[trait]; record.speaksAgainst() && span.first < span.last {
				byTrait[trait] = append(byTrait[trait], evidence{c, record})
			}
		}
	}
	return byTrait
}

// likeliest returns the suspect that is most likely the cause, and those equivalent to it, in the order of
// their traits. It returns none if nothing is enough against any.
func likeliest(all []suspect) []suspect {
	others := unansweredCrashes(all)
	suspects := slices.DeleteFunc(slices.Clone(all), func(s suspect) bool { return !s.weight.suffices() || s.isBetterExplained(others) })
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

// unansweredCrashes returns the crashes that suspects explain whose requests had not been answered, each list once.
func unansweredCrashes(suspects []suspect) [][]uint64 {
	var lists [][]uint64
	for _, s := range suspects {
		if !s.weight.answered {
			lists = append(lists, s.weight.crashes)
		}
	}
	slices.SortFunc(lists, slices.Compare)
	return slices.CompactFunc(lists, slices.Equal)
}

// isBetterExplained reports whether requests with the trait had been answered, while the crashes that it explains are among
// those of a trait that had not, even if that is not enough against the other one yet.
func (s suspect) isBetterExplained(unanswered [][]uint64) bool {
	return s.weight.answered && slices.ContainsFunc(unanswered, func(crashes []uint64) bool {
		return containsAll(crashes, s.weight.crashes)
	})
}

// containsAll reports whether a sorted list holds all elements of another one.
func containsAll(list, elements []uint64) bool {
	for _, element := range elements {
		if _, found := slices.BinarySearch(list, element); !found {
			return false
		}
	}
	return true
}

// weigh returns the weight of the evidence against one trait that is not explained.
func weigh(all []evidence, explained map[uint64]bool) weight {
	w := weight{}
	attempts, early := map[int]bool{}, map[int]bool{}
	before, stage := StageBegun, StageBegun
	for _, e := range all {
		before = max(before, e.trait.Before)
		if e.trait.isLate() {
			stage = max(stage, e.trait.stage)
		}
		if explained[e.crash.id] {
			continue
		}
		attempts[e.trait.Attempt] = true
		if e.trait.isEarly() {
			early[e.trait.Attempt] = true
		}
		w.crashes = append(w.crashes, e.crash.id)
		if e.crash.observedAt.After(w.last) {
			w.last = e.crash.observedAt
		}
	}
	w.answered = before > stage
	w.attempts, w.earlyAttempts = len(attempts), len(early)
	slices.Sort(w.crashes)
	return w
}

// suffices reports whether the trait may be banned.
func (w weight) suffices() bool {
	return w.earlyAttempts >= minEarlyAttempts || w.attempts >= minAttempts
}

// excess returns the number of attempts beyond those that suffice.
func (w weight) excess() int {
	if w.earlyAttempts >= minEarlyAttempts {
		return w.attempts - minEarlyAttempts
	}
	return w.attempts - minAttempts
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
