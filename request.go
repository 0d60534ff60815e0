package acaciaroute

import "time"

type (
	// Reservation asks an agent for a place in its endpoint's running batch.
	Reservation struct {
		// RequestID names the request over its whole life.
		RequestID string
		Service   string
		Model     string
		Class     string
		// Rank is the class's order of yielding: the lowest rank yields first.
		Rank         int
		Organisation string
		// PromptTokens is the estimated length of the prompt.
		PromptTokens int
		// OutputTokens is the most tokens that the caller asked for.
		OutputTokens int
		// Prefixes are the hashes of the prompt's leading blocks, shortest
		// first.
		Prefixes []uint64
		// Slack is the time left for the first token when the reservation is
		// sent; times of day of two processes are never compared.
		Slack time.Duration
		// TokenGap is the class's target between tokens; zero for none.
		TokenGap time.Duration
		// Alone asks that nothing else runs at the endpoint meanwhile.
		Alone bool
		// Repeatable tells that the request may start again at another endpoint while
		// it has no first token.
		Repeatable bool
		// Remote tells that the entry stands in another region.
		Remote bool
		// Avoid names the endpoints that will not run the request again. It stays at the
		// entry.
		Avoid []string
	}

	// OfferKind is what an agent says about a reservation.
	OfferKind int

	// Offer is an agent's word on a reservation. Waiting offers may follow one
	// another; Granted, Hopeless and Refused are final unless withdrawn, except
	// that Hopeless turns back into Waiting when the queue moves.
	Offer struct {
		RequestID string
		Kind      OfferKind
		// Grant numbers the grant at its agent.
		Grant uint64
		// Unreached tells that the agent could not be reached, so that it has refused
		// nothing.
		Unreached bool
		// TooLate tells of a refusal that the first token would come too late even
		// if the place were granted now.
		TooLate bool
		// Wait is the expected time until a grant.
		Wait time.Duration
		// First is the expected time from a grant to the first token, where it decided.
		// It stays at the agent.
		First time.Duration
		// CachedTokens is how much of the prompt the agent expects to be cached.
		CachedTokens int
		// Hint is the agent's present state, for choosing whom to ask.
		Hint Hint
	}

	// Hint tells entries what to expect of an agent; it decides nothing.
	Hint struct {
		// Free is how many more requests the agent would admit now.
		Free int
		// Waiting is the number of queued reservations.
		Waiting int
		// Wait is the expected wait of a new reservation of the lowest class.
		Wait time.Duration
		// Gap is the present time between tokens.
		Gap time.Duration
		// PrefillRate is the learned prefill speed in tokens per second.
		PrefillRate float64
		// ConfigurationVersion is the newest configuration that the agent holds.
		ConfigurationVersion Offset
		// Stopping tells that the agent takes no new work.
		Stopping bool
		// Straggling tells that tokens come much slower than the endpoint's speed
		// lets expect.
		Straggling bool
	}
)

// The kinds of offers.
const (
	// OfferWaiting says that the reservation is queued.
	OfferWaiting OfferKind = iota + 1
	// OfferGranted says that the place is held for a moment.
	OfferGranted
	// OfferHopeless says that the place would come too late and that no lower
	// class is waiting that could be displaced; the reservation stays queued.
	OfferHopeless
	// OfferRefused says that the agent does not take the reservation.
	OfferRefused
)

// String returns the kind's name.
func (k OfferKind) String() string {
	switch k {
	case OfferWaiting:
		return "waiting"
	case OfferGranted:
		return "granted"
	case OfferHopeless:
		return "hopeless"
	case OfferRefused:
		return "refused"
	}
	return "unknown"
}
