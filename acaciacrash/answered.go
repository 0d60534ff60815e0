package acaciacrash

// answeredTraits holds the last stage that answers to requests with traits have reached: if it is later than the one at which a
// request with such a trait crashes an endpoint, the trait is less likely the cause. Those that have not been answered for
// longest are forgotten.
type answeredTraits struct {
	// recent holds the traits answered since older was filled.
	recent, older map[Trait]Stage
}

// maxRecentlyAnswered bounds each of the two sets; the longest prompts have some thousand segments.
const maxRecentlyAnswered = 1 << 14

func newAnsweredTraits() answeredTraits {
	return answeredTraits{recent: map[Trait]Stage{}, older: map[Trait]Stage{}}
}

// add adds that an answer has reached a stage.
func (a *answeredTraits) add(trait Trait, reached Stage) {
	reached = max(reached, a.reached(trait))
	if len(a.recent) >= maxRecentlyAnswered {
		a.older, a.recent = a.recent, map[Trait]Stage{}
	}
	a.recent[trait] = reached
}

// reached returns the last stage that answers have reached, StageBegun if nothing is known of any.
func (a *answeredTraits) reached(trait Trait) Stage {
	return max(a.recent[trait], a.older[trait])
}
