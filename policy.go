package acaciaroute

import "time"

type (
	// Candidate is an endpoint that could serve a request, as an entry sees it.
	Candidate struct {
		// ID is the endpoint's VM.
		ID string
		// Address is where its agent listens.
		Address string
		// Remote tells that it stands in another region.
		Remote bool
		// DataCentre is where it stands.
		DataCentre string
		// Hint is the last hint that reached the entry.
		Hint Hint
		// HintAge is how old the hint is; negative when there is none.
		HintAge time.Duration
		// HeldTokens is how much of the prompt the endpoint has lately run, as far
		// as the entry knows.
		HeldTokens int
		// Reported is the lagging load report: requests running and waiting.
		Reported int
		// Asked tells that the reservation was sent to the endpoint.
		Asked bool
		// Offer is its last offer for the reservation.
		Offer Offer
	}

	// Question is what a policy decides on.
	Question struct {
		Reservation Reservation
		// YieldsFirst tells that no class of the service yields before this one.
		YieldsFirst bool
		// Stage counts the earlier answers for this reservation.
		Stage int
		// Waited is the time since the request came.
		Waited time.Duration
		// LinkOpen tells that the link to other regions has room for the class.
		LinkOpen bool
		// Candidates are in a fixed order.
		Candidates []Candidate
	}

	// Choice is a policy's answer.
	Choice struct {
		// Ask lists the positions of the candidates to ask now.
		Ask []int
		// Again is when to ask the policy once more; zero for never.
		Again time.Duration
		// LinkWanted tells that the request would go to another region if the link
		// had room.
		LinkWanted bool
	}

	// Policy chooses which endpoints an entry asks for a place.
	Policy interface {
		// Name is the policy's snake-case name.
		Name() string
		// Choose answers a question; it keeps no request's state.
		Choose(question Question) Choice
	}

	// AgentLink carries reservations from an entry to agents.
	AgentLink interface {
		// Reserve sends a reservation; notify gets the agent's offers on the
		// entry's loop. A broken link is an OfferRefused.
		Reserve(address string, reservation Reservation, notify func(Offer))
		// Withdraw ends a reservation; it may arrive late or never.
		Withdraw(address string, requestID string)
	}
)
