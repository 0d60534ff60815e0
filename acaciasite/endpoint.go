package acaciasite

import "time"

type (
	// Endpoint is one start of a back end, as it registers itself.
	Endpoint struct {
		// ID is new with each start, but for some that keep it and change Born.
		ID         string
		Service    string
		Address    string
		DataCentre string
		// Places is how many requests it runs at once.
		Places int
		// Leaving endpoints get no new requests.
		Leaving bool
		// Born is when it started.
		Born time.Time
	}

	// EndpointChange is one change of the list of endpoints; a nil Endpoint is one that
	// has left the list.
	EndpointChange struct {
		ID       string
		Endpoint *Endpoint
	}

	// Request is what a caller asks for, apart from the body.
	Request struct {
		// ID names this attempt of the caller.
		ID string
		// Key is the caller's key, empty if it sent none.
		Key string
		// Left is how long the caller waits; zero if it does not say.
		Left time.Duration
		// After is the last event that the caller has of a stream that goes on.
		After string
		// PromptTokens and OutputTokens are zero for plain services.
		PromptTokens int
		OutputTokens int
		// Parts are the prompt's parts in order.
		Parts []Part
	}

	// Part is one part of a prompt, which other requests may share.
	Part struct {
		ID     uint64
		Tokens int
	}
)
