package acaciaroute

import "time"

type (
	// Candidate is an endpoint that could serve a request, with what the entry knows
	// about it.
	Candidate struct {
		// ID is the ID of the endpoint's VM.
		ID string
		// Address is the address of the endpoint's agent.
		Address string
		// Remote reports whether the endpoint is in another region.
		Remote bool
		// DataCentre is the endpoint's data centre.
		DataCentre string
		// Hint is the last hint that the entry has received from the agent.
		Hint Hint
		// HintAge is the age of the hint; negative if there is none.
		HintAge time.Duration
		// RecentPrefixTokens is how many of the prompt's tokens belong to a prefix
		// that the endpoint has run lately, as far as the entry knows.
		RecentPrefixTokens int
		// ReportedLoad is the number of requests running and waiting in the last
		// load report, which lags.
		ReportedLoad int
		// ReservationSent reports whether the reservation was sent to the endpoint's
		// agent.
		ReservationSent bool
		// Offer is the agent's last offer for the reservation.
		Offer Offer
	}

	// PolicyInput is the input of a policy: a reservation and its candidates.
	PolicyInput struct {
		Reservation Reservation
		// IsLowestClass reports whether no other class of the service gives way before
		// the request's class.
		IsLowestClass bool
		// PreviousChoices is the number of choices that the policy has already
		// returned for this reservation.
		PreviousChoices int
		// Waited is the time since the request arrived.
		Waited time.Duration
		// LinkAllowed reports whether the link to other regions has bandwidth left for
		// the request's class.
		LinkAllowed bool
		// Candidates are in a fixed order.
		Candidates []Candidate
	}

	// PolicyChoice is the output of a policy.
	PolicyChoice struct {
		// CandidatesToAsk lists the candidates to ask now, as indices in
		// PolicyInput.Candidates.
		CandidatesToAsk []int
		// AskAgainAfter is the time after which the policy is called again; zero for
		// never.
		AskAgainAfter time.Duration
		// NeedsLink reports whether the request would be sent to another region if the
		// link had bandwidth left.
		NeedsLink bool
	}

	// Policy chooses the endpoints that an entry asks to run a request.
	Policy interface {
		// Name returns the policy's name in snake case.
		Name() string
		// Choose returns the choice for an input. A policy keeps no state of a
		// request between calls.
		Choose(input PolicyInput) PolicyChoice
	}

	// AgentLink sends reservations from an entry to agents.
	AgentLink interface {
		// Reserve sends a reservation. The agent's offers are passed to notify on the
		// entry's loop; if the connection fails, the offer is an OfferRefused.
		Reserve(address string, reservation Reservation, notify func(Offer))
		// Withdraw ends a reservation. The message may arrive late or never.
		Withdraw(address string, requestID string)
	}
)
