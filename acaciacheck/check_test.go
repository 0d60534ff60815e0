package acaciacheck

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
)

// stampEvents gives the events stamps that are a second apart, and a process if they have
// none.
func stampEvents(events ...acaciaevent.Event) []acaciaevent.Event {
	clock := acaciaevent.NewClock(func() time.Time { return time.Unix(1_800_000_000, 0) })
	for i := range events {
		events[i].Stamp = clock.Next() + acaciaevent.Stamp(i*1000)<<16
		if events[i].Process == "" {
			events[i].Process = "p"
		}
	}
	return events
}

// requestEvent returns an event of a request at endpoint e. Its count is an hour in
// nanoseconds: for an arrival, the time during which a slot is of use; for a shed request,
// a number of agents asked that is higher than the number of endpoints.
func requestEvent(kind acaciaevent.Kind, id string, rank int) acaciaevent.Event {
	return acaciaevent.Event{Kind: kind, RequestID: id, Rank: rank, Endpoint: "e", Class: "c", Count: int64(time.Hour)}
}

func withCode(e acaciaevent.Event, code acaciaroute.Code) acaciaevent.Event {
	e.Code = code
	return e
}

func withAgentsAsked(e acaciaevent.Event, agents int64) acaciaevent.Event {
	e.Count = agents
	return e
}

func withSafeMethod(e acaciaevent.Event) acaciaevent.Event {
	e.Detail = acaciaevent.DetailSafeMethod
	return e
}

func withKey(e acaciaevent.Event, key string) acaciaevent.Event {
	e.KeyHash = key
	return e
}

func configurationApplied(process string, version acaciaroute.Offset) acaciaevent.Event {
	return acaciaevent.Event{Kind: acaciaevent.ConfigurationApplied, Process: process, Version: version}
}

func orderSent(endpoint string, fence int64) acaciaevent.Event {
	return acaciaevent.Event{Kind: acaciaevent.OrderSent, Endpoint: endpoint, Count: fence}
}

func TestInvariantsFindViolations(t *testing.T) {
	const (
		arrived    = acaciaevent.RequestArrived
		queued     = acaciaevent.ReservationQueued
		granted    = acaciaevent.GrantGiven
		dispatched = acaciaevent.RequestDispatched
		shed       = acaciaevent.RequestShed
		finished   = acaciaevent.AnswerFinished
	)
	for name, test := range map[string]struct {
		invariant string
		events    []acaciaevent.Event
		want      int
	}{
		"two dispatches":          {"one_dispatch", stampEvents(requestEvent(dispatched, "a", 1), requestEvent(dispatched, "a", 1)), 1},
		"retried after unreached": {"one_dispatch", stampEvents(requestEvent(dispatched, "a", 1), withCode(requestEvent(finished, "a", 1), acaciaroute.CodeRefused), requestEvent(dispatched, "a", 1)), 0},
		"safe method twice":       {"one_dispatch", stampEvents(withSafeMethod(requestEvent(arrived, "a", 1)), requestEvent(dispatched, "a", 1), requestEvent(dispatched, "a", 1)), 0},
		"one key twice":           {"one_run_per_key", stampEvents(withKey(requestEvent(dispatched, "a", 1), "k"), withKey(requestEvent(dispatched, "b", 1), "k")), 1},
		"two keys":                {"one_run_per_key", stampEvents(withKey(requestEvent(dispatched, "a", 1), "k"), withKey(requestEvent(dispatched, "b", 1), "l")), 0},
		"told not run, but ran":   {"not_run_is_true", stampEvents(requestEvent(dispatched, "a", 1), withCode(requestEvent(shed, "a", 1), acaciaroute.CodeShed)), 1},
		"told outcome unknown":    {"not_run_is_true", stampEvents(requestEvent(dispatched, "a", 1), withCode(requestEvent(shed, "a", 1), acaciaroute.CodeOutcomeUnknown)), 0},
		"lower class granted before shed": {ShedOrderInvariant, stampEvents(requestEvent(arrived, "low", 1), requestEvent(arrived, "high", 2), requestEvent(queued, "high", 2),
			requestEvent(granted, "low", 1), requestEvent(shed, "high", 2)), 1},
		"lower class granted after shed": {ShedOrderInvariant, stampEvents(requestEvent(arrived, "low", 1), requestEvent(arrived, "high", 2), requestEvent(queued, "high", 2),
			requestEvent(shed, "high", 2), requestEvent(granted, "low", 1)), 1},
		"some agents not asked": {ShedOrderInvariant, stampEvents(requestEvent(arrived, "low", 1), requestEvent(arrived, "high", 2), requestEvent(arrived, "other", 2),
			requestEvent(granted, "low", 1), withAgentsAsked(requestEvent(shed, "high", 2), 0)), 1},
		"all agents asked over a blocked link": {ShedOrderInvariant, stampEvents(requestEvent(arrived, "low", 1), requestEvent(arrived, "high", 2), requestEvent(arrived, "other", 2),
			requestEvent(granted, "low", 1), withAgentsAsked(requestEvent(shed, "high", 2), 1)), 0},
		"lower class arrived after shed": {ShedOrderInvariant, stampEvents(requestEvent(arrived, "high", 2), requestEvent(shed, "high", 2), requestEvent(arrived, "low", 1), requestEvent(granted, "low", 1)), 0},
		"higher class refused as late": {ShedOrderInvariant, stampEvents(requestEvent(arrived, "low", 1), requestEvent(arrived, "high", 2), requestEvent(queued, "high", 2),
			requestEvent(acaciaevent.ReservationLate, "high", 2), requestEvent(granted, "low", 1), requestEvent(shed, "high", 2)), 0},
		"higher class granted first":         {ShedOrderInvariant, stampEvents(requestEvent(arrived, "low", 1), requestEvent(arrived, "high", 2), requestEvent(queued, "low", 1), requestEvent(granted, "high", 2), requestEvent(shed, "low", 1)), 0},
		"version reverts":                    {"version_never_reverts", stampEvents(configurationApplied("p", 5), configurationApplied("p", 4)), 1},
		"other process has an older version": {"version_never_reverts", stampEvents(configurationApplied("p", 5), configurationApplied("q", 4)), 0},
		"fence falls":                        {"order_fence_rises", stampEvents(orderSent("e", 5), orderSent("e", 4)), 1},
		"fence repeated":                     {"order_fence_rises", stampEvents(orderSent("e", 5), orderSent("e", 5)), 1},
		"other engine has a lower fence":     {"order_fence_rises", stampEvents(orderSent("e", 5), orderSent("f", 4)), 0},
	} {
		t.Run(name, func(t *testing.T) {
			violations := CheckOne(test.invariant, test.events)
			assert.Equal(t, len(violations), test.want, "%v", violations)
		})
	}
}
