package acaciaevent

import (
	"encoding/json"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciatoml"
)

type (
	// Inputs are the values on which the decision behind an event was based, and their
	// ages. Fields that played no part in the decision are zero. Durations are encoded
	// as text, such as "1.5s".
	Inputs struct {
		// TargetsVersion is the version of the targets that applied to the request.
		TargetsVersion acaciaroute.Offset `json:"targets_version,omitempty"`
		// TargetsAge is the time since that version came into force at this process.
		TargetsAge acaciatoml.Duration `json:"targets_age,omitempty"`
		// ListAge is the time since the list of VMs was read; at a gateway, since the last read of
		// the list of endpoints began.
		ListAge acaciatoml.Duration `json:"list_age,omitempty"`
		// Waited is the time since the request reached this process; for DependencyLost, the
		// time since the dependency last answered; for DependencyBack, since it was lost.
		Waited acaciatoml.Duration `json:"waited,omitempty"`
		// RemainingTime is the time left until the first token was due; negative if
		// it was overdue.
		RemainingTime acaciatoml.Duration `json:"left,omitempty"`
		// FirstByte is the time from the request's arrival to the first byte of the answer.
		FirstByte acaciatoml.Duration `json:"first_byte,omitempty"`

		// PromptTokens is the length of the prompt, OutputTokens the maximum length of the
		// answer that was asked for, Events the number of stream events that the caller
		// has received.
		PromptTokens int `json:"prompt_tokens,omitempty"`
		OutputTokens int `json:"output_tokens,omitempty"`
		Events       int `json:"events,omitempty"`
		// LengthHint is the caller's estimate of the number of events. ExpectedSlotTime is the time for which the request
		// is expected to hold a slot, and WorkAhead that of the requests that go before it in all processes.
		LengthHint       int                 `json:"length_hint,omitempty"`
		ExpectedSlotTime acaciatoml.Duration `json:"expected_slot_time,omitempty"`
		WorkAhead        acaciatoml.Duration `json:"work_ahead,omitempty"`
		// PromptSegments are the hexadecimal IDs of the prompt's segments, in order.
		PromptSegments []string `json:"prompt_segments,omitempty"`
		// SoftwareVersion is that of the endpoint. Resumes is the ID of the attempt that brought
		// the first event of a stream which the caller resumes.
		SoftwareVersion string `json:"software_version,omitempty"`
		Resumes         string `json:"resumes,omitempty"`
		// OriginVersion is the software version that began a stream, OriginSource how this process
		// knows it, and OriginAge the time since it knows it.
		OriginVersion string              `json:"origin_version,omitempty"`
		OriginSource  string              `json:"origin_source,omitempty"`
		OriginAge     acaciatoml.Duration `json:"origin_age,omitempty"`
		// StartedMS is the start of the endpoint in Unix milliseconds, as its registration names it.
		// ConnectionAge is the time since the connection to it was opened.
		StartedMS     int64               `json:"started_ms,omitempty"`
		ConnectionAge acaciatoml.Duration `json:"connection_age,omitempty"`
		// Endpoints is the number of endpoints that could serve the request.
		Endpoints int `json:"endpoints,omitempty"`
		// Asked is the number of them that were asked for a slot. Of those, Declined
		// could not give one in time, and Silent had not answered.
		Asked    int `json:"asked,omitempty"`
		Declined int `json:"declined,omitempty"`
		Silent   int `json:"silent,omitempty"`
		// HintAge is the age of the hint from the chosen endpoint's agent that was known
		// before the agent was asked; at a gateway, the age of the oldest report from
		// another process that the decision used.
		HintAge acaciatoml.Duration `json:"hint_age,omitempty"`
		// RetryAfter is the delay after which the caller was told to retry.
		RetryAfter acaciatoml.Duration `json:"retry_after,omitempty"`
		// Attempts counts the attempts to do what the event is about: to send a
		// reservation to an agent, to resume an answer whose stream broke off, or, at a
		// gateway, to run the request.
		Attempts int `json:"attempts,omitempty"`

		// Queued is the number of reservations that wait at the agent, Running the number
		// of requests that its endpoint runs, Free the number that it would still admit.
		Queued int `json:"queued,omitempty"`
		// PeersQueued is the number of requests that wait at other processes.
		PeersQueued int `json:"peers_queued,omitempty"`
		Running     int `json:"running,omitempty"`
		Free        int `json:"free,omitempty"`
		// ExpectedWait is the expected time until the request gets a slot.
		ExpectedWait acaciatoml.Duration `json:"expected_wait,omitempty"`
		// Window is how many unanswered requests the chosen endpoint may have, set while it is
		// recovering.
		Window int `json:"window,omitempty"`
		// ExpectedFirst is the expected time from getting a slot to the first token.
		ExpectedFirst acaciatoml.Duration `json:"expected_first,omitempty"`
		// TokenGap is the current time between tokens, and Slowdown its ratio to the
		// endpoint's own usual time between tokens.
		TokenGap acaciatoml.Duration `json:"token_gap,omitempty"`
		Slowdown float64             `json:"slowdown,omitempty"`
	}
)

// String returns the non-zero inputs as JSON.
func (i *Inputs) String() string {
	data, err := json.Marshal(i)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// RoundedSince returns the time since at, rounded to the microsecond.
func RoundedSince(at time.Time) acaciatoml.Duration {
	return RoundDuration(time.Since(at))
}

// RoundDuration returns d rounded to the microsecond.
func RoundDuration(d time.Duration) acaciatoml.Duration {
	return acaciatoml.Duration(d.Round(time.Microsecond))
}
