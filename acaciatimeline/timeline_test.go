package acaciatimeline

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute/acaciaevent"
)

func TestContextAddsEventsAroundTheRequest(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := acaciaevent.NewClock(func() time.Time { return now })
	event := func(after time.Duration, kind acaciaevent.Kind, request string) acaciaevent.Event {
		now = time.Unix(1000, 0).Add(after)
		return acaciaevent.Event{Stamp: clock.Next(), Process: "p", Kind: kind, Name: kind.String(), RequestID: request}
	}
	events := []acaciaevent.Event{
		event(0, acaciaevent.LogDown, ""),
		event(6*time.Second, acaciaevent.EndpointSlowed, ""),
		event(10*time.Second, acaciaevent.RequestArrived, "r"),
		event(11*time.Second, acaciaevent.RequestArrived, "other"),
		event(12*time.Second, acaciaevent.RequestShed, "r"),
		event(20*time.Second, acaciaevent.LogUp, ""),
	}
	events[4].Inputs = &acaciaevent.Inputs{Asked: 3}
	var text strings.Builder
	assert.NilError(t, WriteText(&text, Merge(events, Filter{RequestID: "r", IncludeContext: true})))
	var names []string
	for line := range strings.Lines(text.String()) {
		names = append(names, strings.Fields(line)[3])
	}
	assert.DeepEqual(t, names, []string{"endpoint_slowed", "request_arrived", "request_shed"})
	assert.Check(t, strings.Contains(text.String(), `{"asked":3}`), text.String())
	assert.Equal(t, len(Merge(events, Filter{RequestID: "r"})), 2)
}
