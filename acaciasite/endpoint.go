package acaciasite

import (
	"cmp"
	"time"
)

type (
	// Endpoint is the registration of an endpoint; each start of its process registers
	// anew.
	Endpoint struct {
		// ID identifies the endpoint. Most endpoints take a new ID at each start; the
		// others keep theirs, and only StartedAt distinguishes the starts.
		ID         string
		Service    string
		Address    string
		DataCentre string
		// Version is the version of its software; empty if it names none. What two versions
		// of a service generate doesn't fit together.
		Version string
		// Slots is the number of requests that the endpoint runs concurrently.
		Slots int
		// Draining reports whether the endpoint is draining and gets no new
		// requests.
		Draining bool
		// StartedAt is the time of the start.
		StartedAt time.Time
	}

	// Origin is what began a stream: a service, and the version of the software of its
	// endpoints.
	Origin struct {
		Service string
		Version string
	}

	// EndpointChange is one change of the list of endpoints; a nil Endpoint means that the
	// endpoint has been removed from the list.
	EndpointChange struct {
		ID       string
		Endpoint *Endpoint
		// Sequence counts the registrations of one start of the endpoint; zero if unknown.
		Sequence int64
	}

	// Request contains the fields that a caller sends in the headers of a request.
	Request struct {
		// ID identifies this attempt of the caller.
		ID string
		// Key is the caller's API key, empty if it sent none.
		Key string
		// RemainingTime is how long the caller still waits for the response; zero if
		// unknown.
		RemainingTime time.Duration
		// LastEventID is the ID of the last event that the caller has received of a
		// stream to be resumed; empty for a new request.
		LastEventID string
		// Resumes is the ID of the attempt that brought the first event of a stream to be
		// resumed; empty if the caller names none.
		Resumes string
		// Model is the model that the request is for; empty if it names none.
		Model string
		// PromptTokens and OutputTokens are zero for services that generate no tokens.
		PromptTokens int
		OutputTokens int
		// LengthHint is the caller's estimate of the number of output tokens; zero if it states none.
		LengthHint int
		// PromptSegments are the segments of the prompt, in order.
		PromptSegments []PromptSegment
	}

	// PromptSegment is one segment of a prompt, which prompts of other requests may share.
	PromptSegment struct {
		ID     uint64
		Tokens int
	}
)

// VersionUnknown stands for the version of an endpoint that may have started again since it
// registered.
const VersionUnknown = "\x00"

// Origin returns what a stream begins with that the endpoint begins.
func (e *Endpoint) Origin() Origin {
	return Origin{Service: e.Service, Version: e.Version}
}

// Compare orders origins by service and version.
func (o Origin) Compare(other Origin) int {
	return cmp.Or(cmp.Compare(o.Service, other.Service), cmp.Compare(o.Version, other.Version))
}
