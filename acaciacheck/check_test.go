package acaciacheck

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
)

// timeline makes events that are a second apart.
func timeline(events ...acaciaevent.Event) []acaciaevent.Event {
	clock := acaciaevent.NewClock(func() time.Time { return time.Unix(1_800_000_000, 0) })
	for i := range events {
		events[i].Stamp = clock.Next() + acaciaevent.Stamp(i*1000)<<16
		if events[i].Process == "" {
			events[i].Process = "p"
		}
	}
	return events
}

func event(kind acaciaevent.Kind, id string, rank int) acaciaevent.Event {
	return acaciaevent.Event{Kind: kind, RequestID: id, Rank: rank, Endpoint: "e", Class: "c", Count: int64(time.Hour)}
}

func coded(e acaciaevent.Event, code acaciaroute.Code) acaciaevent.Event {
	e.Code = code
	return e
}

func asked(e acaciaevent.Event, agents int64) acaciaevent.Event {
	e.Count = agents
	return e
}

func safe(e acaciaevent.Event) acaciaevent.Event {
	e.Detail = acaciaevent.DetailSafe
	return e
}

func keyed(e acaciaevent.Event, key string) acaciaevent.Event {
	e.KeyHash = key
	return e
}

func applied(process string, version acaciaroute.Offset) acaciaevent.Event {
	return acaciaevent.Event{Kind: acaciaevent.ConfigurationApplied, Process: process, Version: version}
}

func sent(endpoint string, fence int64) acaciaevent.Event {
	return acaciaevent.Event{Kind: acaciaevent.OrderSent, Endpoint: endpoint, Count: fence}
}

func TestEachInvariantSeesItsBreach(t *testing.T) {
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
		breaches  int
	}{
		"two dispatches":            {"one_dispatch", timeline(event(dispatched, "a", 1), event(dispatched, "a", 1)), 1},
		"second after none reached": {"one_dispatch", timeline(event(dispatched, "a", 1), coded(event(finished, "a", 1), acaciaroute.CodeRefused), event(dispatched, "a", 1)), 0},
		"a safe one twice":          {"one_dispatch", timeline(safe(event(arrived, "a", 1)), event(dispatched, "a", 1), event(dispatched, "a", 1)), 0},
		"one key twice":             {"one_run_per_key", timeline(keyed(event(dispatched, "a", 1), "k"), keyed(event(dispatched, "b", 1), "k")), 1},
		"two keys":                  {"one_run_per_key", timeline(keyed(event(dispatched, "a", 1), "k"), keyed(event(dispatched, "b", 1), "l")), 0},
		"told not run but ran":      {"not_run_is_true", timeline(event(dispatched, "a", 1), coded(event(shed, "a", 1), acaciaroute.CodeShed)), 1},
		"told unknown":              {"not_run_is_true", timeline(event(dispatched, "a", 1), coded(event(shed, "a", 1), acaciaroute.CodeOutcomeUnknown)), 0},
		"lower passes at endpoint": {ShedOrder, timeline(event(arrived, "low", 1), event(arrived, "high", 2), event(queued, "high", 2),
			event(granted, "low", 1), event(shed, "high", 2)), 1},
		"lower passes after shed": {ShedOrder, timeline(event(arrived, "low", 1), event(arrived, "high", 2), event(queued, "high", 2),
			event(shed, "high", 2), event(granted, "low", 1)), 1},
		"not all were asked": {ShedOrder, timeline(event(arrived, "low", 1), event(arrived, "high", 2), event(arrived, "other", 2),
			event(granted, "low", 1), asked(event(shed, "high", 2), 0)), 1},
		"link was cut": {ShedOrder, timeline(event(arrived, "low", 1), event(arrived, "high", 2), event(arrived, "other", 2),
			event(granted, "low", 1), asked(event(shed, "high", 2), 1)), 0},
		"lower came after shed": {ShedOrder, timeline(event(arrived, "high", 2), event(shed, "high", 2), event(arrived, "low", 1), event(granted, "low", 1)), 0},
		"higher was too late": {ShedOrder, timeline(event(arrived, "low", 1), event(arrived, "high", 2), event(queued, "high", 2),
			event(acaciaevent.ReservationLate, "high", 2), event(granted, "low", 1), event(shed, "high", 2)), 0},
		"higher passes":           {ShedOrder, timeline(event(arrived, "low", 1), event(arrived, "high", 2), event(queued, "low", 1), event(granted, "high", 2), event(shed, "low", 1)), 0},
		"version goes back":       {"version_never_reverts", timeline(applied("p", 5), applied("p", 4)), 1},
		"other process is behind": {"version_never_reverts", timeline(applied("p", 5), applied("q", 4)), 0},
		"fence falls":             {"order_fence_rises", timeline(sent("e", 5), sent("e", 4)), 1},
		"order comes twice":       {"order_fence_rises", timeline(sent("e", 5), sent("e", 5)), 1},
		"other engine is behind":  {"order_fence_rises", timeline(sent("e", 5), sent("f", 4)), 0},
	} {
		t.Run(name, func(t *testing.T) {
			violations := One(test.invariant, test.events)
			assert.Equal(t, len(violations), test.breaches, "%v", violations)
		})
	}
}
