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
)

// equivalent reports whether two suspects explain the same crashes, and nothing else tells them apart.
func (s suspect) equivalent(other suspect) bool {
	return s.weight.answered == other.weight.answered && slices.Equal(s.weight.crashes, other.weight.crashes)
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
