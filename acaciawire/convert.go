package acaciawire

import (
	"net/http"

	"github.com/acaciaroute/acaciaroute"
)

// RunState is what a process knows about the run of a request.
type RunState int32

// The states of a run.
const (
	// RunUnknown means that the process does not know the state.
	RunUnknown RunState = iota
	// RunWillNotRun means that the request did not run and never will under this ID.
	RunWillNotRun
	// RunWaiting means that the request waits for a slot.
	RunWaiting
	// RunRunning means that the request runs at an endpoint.
	RunRunning
	// RunFinished means that the endpoint has answered.
	RunFinished
)

// String returns the state's name.
func (s RunState) String() string {
	names := [...]string{"unknown", "never", "waiting", "running", "finished"}
	if s < 0 || int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// ReservationToMessage returns the message for a reservation.
func ReservationToMessage(r acaciaroute.Reservation) *ReserveRequest {
	return &ReserveRequest{
		RequestId:    r.RequestID,
		Service:      r.Service,
		Model:        r.Model,
		Class:        r.Class,
		Rank:         number(r.Rank),
		Organisation: r.Organisation,
		PromptTokens: number(r.PromptTokens),
		OutputTokens: number(r.OutputTokens),
		Prefixes:     r.Prefixes,
		SlackUs:      r.Slack.Microseconds(),
		TokenGapUs:   r.TokenGap.Microseconds(),
		Remote:       r.Remote,
		Alone:        r.Exclusive,
		Repeatable:   r.Repeatable,
	}
}

// ReservationFromMessage returns the reservation that a message holds.
func ReservationFromMessage(m *ReserveRequest) acaciaroute.Reservation {
	return acaciaroute.Reservation{
		RequestID:    m.RequestId,
		Service:      m.Service,
		Model:        m.Model,
		Class:        m.Class,
		Rank:         int(m.Rank),
		Organisation: m.Organisation,
		PromptTokens: count(m.PromptTokens),
		OutputTokens: count(m.OutputTokens),
		Prefixes:     m.Prefixes,
		Slack:        Microseconds(m.SlackUs),
		TokenGap:     Microseconds(m.TokenGapUs),
		Remote:       m.Remote,
		Exclusive:    m.Alone,
		Repeatable:   m.Repeatable,
	}
}

// OfferToMessage returns the message for an offer.
func OfferToMessage(o acaciaroute.Offer) *OfferMessage {
	return &OfferMessage{
		Kind:         int32(o.Kind),
		Grant:        o.GrantNumber,
		WaitUs:       o.ExpectedWait.Microseconds(),
		CachedTokens: number(o.CachedTokens),
		TooLate:      o.RefusedTooLate,
		Hint: &Hint{
			Free:                 number(o.Hint.FreeSlots),
			Waiting:              number(o.Hint.Waiting),
			WaitUs:               o.Hint.ExpectedWait.Microseconds(),
			GapUs:                o.Hint.TokenGap.Microseconds(),
			PrefillRate:          o.Hint.PrefillRate,
			ConfigurationVersion: int64(o.Hint.ConfigurationVersion),
			Stopping:             o.Hint.Stopping,
			Straggling:           o.Hint.Straggling,
		},
	}
}

// OfferFromMessage returns the offer that a message holds; requestID is the request
// that it is for.
func OfferFromMessage(requestID string, m *OfferMessage) acaciaroute.Offer {
	hint := m.GetHint()
	return acaciaroute.Offer{
		RequestID:      requestID,
		Kind:           acaciaroute.OfferKind(m.Kind),
		GrantNumber:    m.Grant,
		ExpectedWait:   Microseconds(m.WaitUs),
		CachedTokens:   count(m.CachedTokens),
		RefusedTooLate: m.TooLate,
		Hint: acaciaroute.Hint{
			FreeSlots:            int(hint.GetFree()),
			Waiting:              count(hint.GetWaiting()),
			ExpectedWait:         Microseconds(hint.GetWaitUs()),
			TokenGap:             Microseconds(hint.GetGapUs()),
			PrefillRate:          rate(hint.GetPrefillRate()),
			ConfigurationVersion: acaciaroute.Offset(hint.GetConfigurationVersion()),
			Stopping:             hint.GetStopping(),
			Straggling:           hint.GetStraggling(),
		},
	}
}

// HeaderToMessage returns the message form of an HTTP header.
func HeaderToMessage(header http.Header) []*HeaderField {
	fields := make([]*HeaderField, 0, len(header))
	for name, values := range header {
		fields = append(fields, &HeaderField{Name: name, Values: values})
	}
	return fields
}

// HeaderFromMessage returns the HTTP header that a message holds.
func HeaderFromMessage(fields []*HeaderField) http.Header {
	header := http.Header{}
	for _, field := range fields {
		header[http.CanonicalHeaderKey(field.GetName())] = field.GetValues()
	}
	return header
}
