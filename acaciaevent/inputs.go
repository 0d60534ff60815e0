package acaciaevent

import (
	"encoding/json"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciatoml"
)

type (
	// Inputs are what decided an event, and how old it was. Fields that had no part in
	// it are zero. Durations are written as text, such as "1.5s".
	Inputs struct {
		// TargetsVersion is the version of the targets by which a request was judged.
		TargetsVersion acaciaroute.Offset `json:"targets_version,omitempty"`
		// TargetsAge is how long ago that version came into force here.
		TargetsAge acaciatoml.Duration `json:"targets_age,omitempty"`
		// ListAge is how long ago the list of VMs was read.
		ListAge acaciatoml.Duration `json:"list_age,omitempty"`
		// Waited is the time since the request came to this process.
		Waited acaciatoml.Duration `json:"waited,omitempty"`
		// Left is the time left for the first token; negative when it was past.
		Left acaciatoml.Duration `json:"left,omitempty"`
		// FirstByte is the time from arrival to the first byte of the answer.
		FirstByte acaciatoml.Duration `json:"first_byte,omitempty"`

		// PromptTokens is the length of the prompt, OutputTokens the longest answer asked
		// for, Events how many events of a stream the caller has.
		PromptTokens int `json:"prompt_tokens,omitempty"`
		OutputTokens int `json:"output_tokens,omitempty"`
		Events       int `json:"events,omitempty"`
		// Endpoints is how many endpoints could serve the request.
		Endpoints int `json:"endpoints,omitempty"`
		// Asked is how many of them were asked for a place; Declined how many of those
		// could not give one in time, and Silent how many had not answered.
		Asked    int `json:"asked,omitempty"`
		Declined int `json:"declined,omitempty"`
		Silent   int `json:"silent,omitempty"`
		// HintAge is the age of what was known of the chosen endpoint before.
		HintAge acaciatoml.Duration `json:"hint_age,omitempty"`
		// RetryAfter is when the caller was told to come back.
		RetryAfter acaciatoml.Duration `json:"retry_after,omitempty"`
		// Attempts is how often the run's agent was asked after its stream broke off.
		Attempts int `json:"attempts,omitempty"`

		// Queued is how many reservations wait at the agent, Running how many requests
		// its endpoint runs, Free how many more it would admit.
		Queued int `json:"queued,omitempty"`
		// PeersQueued is how many requests wait at other processes.
		PeersQueued int `json:"peers_queued,omitempty"`
		Running     int `json:"running,omitempty"`
		Free        int `json:"free,omitempty"`
		// ExpectedWait is the expected time until a place.
		ExpectedWait acaciatoml.Duration `json:"expected_wait,omitempty"`
		// ExpectedFirst is the expected time from a place to the first token.
		ExpectedFirst acaciatoml.Duration `json:"expected_first,omitempty"`
		// TokenGap is the present time between tokens, and Slowdown how many times
		// longer it is than the endpoint's own.
		TokenGap acaciatoml.Duration `json:"token_gap,omitempty"`
		Slowdown float64             `json:"slowdown,omitempty"`
	}
)

// String returns the inputs that had a part in the event, as JSON.
func (i *Inputs) String() string {
	data, err := json.Marshal(i)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// Since returns the time since a moment, to the microsecond.
func Since(at time.Time) acaciatoml.Duration {
	return Span(time.Since(at))
}

// Span returns a duration to the microsecond.
func Span(d time.Duration) acaciatoml.Duration {
	return acaciatoml.Duration(d.Round(time.Microsecond))
}
