package acaciacrash

import (
	"slices"
	"time"
)

// Ban says that requests with certain traits are refused.
type Ban struct {
	// Traits, in their order, explain the same crashes equally well. One of them is the cause; requests that
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
	// crash, up to maxBan. It is initialAnsweredBan if requests with the trait had been answered: several other causes may
	// have crashed an endpoint each, and while the trait is banned nothing can show that.
	initialBan         = 30 * time.Second
	initialAnsweredBan = time.Second
	maxBan             = time.Hour
	// maxBanDoublings keeps the duration within its type.
	maxBanDoublings = 16
	// trialInterval is the time between two requests with a trait whose ban has ended.
	trialInterval = time.Second
)

// applies reports whether a request with the given traits has all those of the ban.
func (b *Ban) applies(traits []Trait) bool {
	if len(b.Traits) > len(traits) {
		return false
	}
	found := 0
	for _, trait := range traits {
		if _, banned := slices.BinarySearch(b.Traits, trait); banned {
			found++
		}
	}
	return found == len(b.Traits)
}

// inForce reports whether the ban refuses all requests that it applies to.
func (b *Ban) inForce(now time.Time) bool {
	return now.Before(b.Until)
}

// compare orders bans by their traits.
func (b Ban) compare(other Ban) int {
	return slices.Compare(b.Traits, other.Traits)
}

// newBan returns the ban of equivalent suspects; jitter prolongs it by a share.
func newBan(suspects []suspect, jitter float64) *Ban {
	w := suspects[0].weight
	initial := initialBan
	if w.answered {
		initial = initialAnsweredBan
	}
	duration := min(initial<<min(w.excess(), maxBanDoublings), maxBan)
	ban := &Ban{Crashes: len(w.crashes), Until: w.last.Add(duration + time.Duration(jitter*float64(duration)))}
	for _, s := range suspects {
		ban.Traits = append(ban.Traits, s.trait)
	}
	return ban
}
