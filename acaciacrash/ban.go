package acaciacrash

import (
	"cmp"
	"slices"
	"time"
)

// Ban says that requests with certain traits are refused.
type Ban struct {
	// Traits explain the same crashes equally well. One of them is the cause; requests that
	// don't have them all may run, and show which one.
	Traits []Trait
	// Crashes is the number of crashes that each of the traits explains.
	Crashes int
	Until   time.Time

	// nextTrial is when one more request may run although the ban has ended, because
	// none of the traits has been answered since.
	nextTrial time.Time
}

const (
	// initialBan is the duration of the first ban of a trait; it doubles with each further
	// crash, up to maxBan.
	initialBan = 30 * time.Second
	maxBan     = time.Hour
	// maxBanDoublings keeps the duration within its type.
	maxBanDoublings = 16
	// trialInterval is the time between two requests with a trait whose ban has ended.
	trialInterval = time.Second
)

// applies reports whether a request with the given traits has all those of the ban.
func (b *Ban) applies(traits []Trait) bool {
	for _, trait := range b.Traits {
		if !slices.Contains(traits, trait) {
			return false
		}
	}
	return true
}

// inForce reports whether the ban refuses all requests that it applies to.
func (b *Ban) inForce(now time.Time) bool {
	return now.Before(b.Until)
}

// compare orders bans by their traits.
func (b Ban) compare(other Ban) int {
	return slices.Compare(b.Traits, other.Traits)
}

// suspect is a trait and what speaks against it.
type suspect struct {
	trait  Trait
	weight weight
}

// equivalent reports whether two suspects explain the same crashes, and nothing else tells them apart.
func (s suspect) equivalent(other suspect) bool {
	return s.weight.answered == other.weight.answered && slices.Equal(s.weight.crashes, other.weight.crashes)
}

// worst returns those of the suspects that most speaks against, in the order of their traits. They are
// several if they are equivalent. It returns none if the crashes of no suspect are enough.
func worst(suspects []suspect) []suspect {
	suspects = slices.DeleteFunc(suspects, func(s suspect) bool { return s.weight.attempts < minCrashes })
	if len(suspects) == 0 {
		return nil
	}
	first := slices.MaxFunc(suspects, func(a, b suspect) int {
		return cmp.Or(a.weight.compare(b.weight), cmp.Compare(b.trait, a.trait))
	})
	suspects = slices.DeleteFunc(suspects, func(s suspect) bool { return !s.equivalent(first) })
	slices.SortFunc(suspects, func(a, b suspect) int { return cmp.Compare(a.trait, b.trait) })
	return suspects
}

// newBan returns the ban of equivalent suspects; jitter prolongs it by a share.
func newBan(suspects []suspect, jitter float64) *Ban {
	w := suspects[0].weight
	duration := min(initialBan<<min(w.attempts-minCrashes, maxBanDoublings), maxBan)
	ban := &Ban{Crashes: len(w.crashes), Until: w.last.Add(duration + time.Duration(jitter*float64(duration)))}
	for _, s := range suspects {
		ban.Traits = append(ban.Traits, s.trait)
	}
	return ban
}
