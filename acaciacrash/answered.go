package acaciacrash

// answeredTraits holds traits of requests that endpoints have answered: if such a trait is in a request that
// crashes an endpoint, it is less likely the cause. Those that have not been answered for longest are forgotten.
type answeredTraits struct {
	// recent holds the traits answered since older was filled.
	recent, older map[Trait]bool
}

// maxRecentlyAnswered bounds each of the two sets; the longest prompts have some thousand segments.
const maxRecentlyAnswered = 1 << 14

func newAnsweredTraits() answeredTraits {
	return answeredTraits{recent: map[Trait]bool{}, older: map[Trait]bool{}}
}

func (a *answeredTraits) add(trait Trait) {
	if len(a.recent) >= maxRecentlyAnswered {
		a.older, a.recent = a.recent, map[Trait]bool{}
	}
	a.recent[trait] = true
}

func (a *answeredTraits) contains(trait Trait) bool {
	return a.recent[trait] || a.older[trait]
}
