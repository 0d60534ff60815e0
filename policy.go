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
		// Remote tells whether the endpoint is in another region.
		Remote bool
		// DataCentre is the endpoint's data centre.
		DataCentre string
		// Hint is the last hint that the entry has received from the agent.
		Hint Hint
		// HintAge is the age of the hint; negative if there is none.
		HintAge time.Duration
		// HeldTokens is how many of the prompt's tokens belong to a prefix that the
		// endpoint has run lately, as far as the entry knows.
		HeldTokens int
		// Reported is the number of requests running and waiting in the last load
		// report, which lags.
		Reported int
		// Asked tells whether the reservation was sent to the endpoint's agent.
		Asked bool
		// Offer is the agent's last offer for the reservation.
		Offer Offer
	}

	// Question is the input of a policy: a reservation and its candidates.
	Question struct {
		Reservation Reservation
		// YieldsFirst tells whether no other class of the service gives way before the
		// request's class.
		YieldsFirst bool
		// Stage is the number of choices that the policy has already returned for this
		// reservation.
		Stage int
		// Waited is the time since the request arrived.
		Waited time.Duration
		// LinkOpen tells whether the link to other regions has bandwidth left for the
		// request's class.
		LinkOpen bool
		// Candidates are in a fixed order.
		Candidates []Candidate
	}

	// Choice is the output of a policy.
	Choice struct {
		// Ask lists the candidates to ask now, as indices in Question.Candidates.
		Ask []int
		// Again is the time after which the policy is called again; zero for never.
		Again time.Duration
		// LinkWanted tells whether the request would be sent to another region if the
		// link had bandwidth left.
		LinkWanted bool
	}

	// Policy chooses the endpoints that an entry asks to run a request.
	Policy interface {
		// Name returns the policy's name in snake case.
		Name() string
		// Choose returns the choice for a question. A policy keeps no state of a
		// request between calls.
		Choose(question Question) Choice
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
