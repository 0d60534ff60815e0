package acaciaroute

import "time"

type (
	// Reservation asks an agent for a slot in its endpoint's running batch.
	Reservation struct {
		// RequestID is the ID of the request, which never changes.
		RequestID string
		Service   string
		Model     string
		Class     string
		// Rank is the yield order of the class: when capacity is short, the lowest
		// rank gives way first.
		Rank         int
		Organisation string
		// PromptTokens is the estimated length of the prompt.
		PromptTokens int
		// OutputTokens is the maximum number of tokens that the caller asked for.
		OutputTokens int
		// Prefixes are the hashes of the prompt's prefixes at block boundaries,
		// shortest prefix first.
		Prefixes []uint64
		// Slack is the time left until the first token is due when the reservation is
		// sent. It is a duration because the clocks of two processes are never
		// compared.
		Slack time.Duration
		// TokenGap is the class's target time between tokens; zero for none.
		TokenGap time.Duration
		// Exclusive reports whether no other request may run at the endpoint at the
		// same time.
		Exclusive bool
		// Repeatable reports whether the request may be started again at another endpoint
		// before its first token.
		Repeatable bool
		// Remote reports whether the entry is in another region.
		Remote bool
		// ExcludedEndpoints lists the IDs of the endpoints that must not run the
		// request again. It is not sent to agents.
		ExcludedEndpoints []string
	}

	// OfferKind is the state of a reservation at an agent.
	OfferKind int

	// Offer is an agent's reply to a reservation. While the reservation is queued, an
	// agent may send several offers of the kinds OfferWaiting and OfferTooLate, in any
	// order. OfferGranted can be followed only by OfferRefused, for example when the
	// grant expires before the request arrives. OfferRefused is final.
	Offer struct {
		RequestID string
		Kind      OfferKind
		// GrantNumber is the number of the grant, unique at its agent.
		GrantNumber uint64
		// AgentUnreachable reports whether the entry itself has created the refusal
		// because the agent could not be reached.
		AgentUnreachable bool
		// RefusedTooLate reports whether the agent refuses because the first token
		// would come too late even if the request were granted a slot now.
		RefusedTooLate bool
		// ExpectedWait is the expected time until a grant.
		ExpectedWait time.Duration
		// FirstTokenDelay is the expected time from a grant to the first token; zero
		// if the kind of the offer does not depend on it. It is not sent to entries.
		FirstTokenDelay time.Duration
		// CachedTokens is the number of prompt tokens that the agent expects to be in
		// the endpoint's cache.
		CachedTokens int
		// Hint is the agent's current state, which entries use to choose agents.
		Hint Hint
	}

	// Hint describes the state of an agent to entries. It is advisory and does not bind
	// the agent.
	Hint struct {
		// FreeSlots is the number of further requests that the agent would admit
		// now.
		FreeSlots int
		// Waiting is the number of queued reservations.
		Waiting int
		// ExpectedWait is the expected waiting time of a new reservation of the
		// lowest class.
		ExpectedWait time.Duration
		// TokenGap is the current time between tokens.
		TokenGap time.Duration
		// PrefillRate is the prefill speed that the agent has learned, in tokens per
		// second.
		PrefillRate float64
		// ConfigurationVersion is the newest configuration version that the agent has.
		ConfigurationVersion Offset
		// Stopping reports whether the agent is stopping and accepts no new requests.
		Stopping bool
		// Straggling reports whether tokens arrive much more slowly than the agent
		// expects from the endpoint's usual speed.
		Straggling bool
	}
)

// The kinds of offers.
const (
	// OfferWaiting means that the reservation is queued.
	OfferWaiting OfferKind = iota + 1
	// OfferGranted means that a slot is held for the request for a short time.
	OfferGranted
	// OfferTooLate means that a slot would come too late and that no request of a
	// lower class is waiting that could be displaced. The reservation stays queued.
	OfferTooLate
	// OfferRefused means that the agent does not accept the reservation.
	OfferRefused
)

// String returns the kind's name.
func (k OfferKind) String() string {
	switch k {
	case OfferWaiting:
		return "waiting"
	case OfferGranted:
		return "granted"
	case OfferTooLate:
		return "hopeless"
	case OfferRefused:
		return "refused"
	}
	return "unknown"
}
