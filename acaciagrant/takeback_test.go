package acaciagrant

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute"
)

const (
	ownGap     = 10 * time.Millisecond
	slowFactor = 10
)

// slowed lets an engine decode at its own speed, begins a request beside it, and then
// lets tokens come slowFactor times slower; it returns what was taken back.
func slowed(request acaciaroute.Reservation, factor int) []string {
	var taken []string
	var b *bench
	b = newBench(Settings{TakeBack: func(id string) {
		taken = append(taken, id)
		b.End(id)
	}})
	b.reserve("decodes", 1, 16, time.Minute)
	b.Begin("decodes", b.last("decodes").Grant)
	for range 200 {
		b.pass(ownGap)
		b.Token("decodes", 1)
	}
	id := request.RequestID
	b.Reserve(request, func(offer acaciaroute.Offer) { b.offers[id] = append(b.offers[id], offer) })
	b.Begin(id, b.last(id).Grant)
	for range 10 {
		b.pass(time.Duration(factor) * ownGap)
		b.Token("decodes", 1)
	}
	return taken
}

func TestStragglerGivesRepeatableRequestsBack(t *testing.T) {
	cases := []struct {
		name       string
		factor     int
		repeatable bool
		slack      time.Duration
		want       int
	}{
		{"a repeatable request at a straggler", slowFactor, true, 10 * time.Second, 1},
		{"a request that may run once", slowFactor, false, 10 * time.Second, 0},
		{"an engine at its own speed", 1, true, 10 * time.Second, 0},
		{"an engine that is a little slower", 2, true, 10 * time.Second, 0},
		{"no time to start again", slowFactor, true, 1200 * time.Millisecond, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request := acaciaroute.Reservation{
				RequestID:    "waits",
				Class:        "c1",
				Rank:         1,
				Organisation: "o",
				PromptTokens: 3000,
				Slack:        c.slack,
				Repeatable:   c.repeatable,
			}
			assert.Equal(t, len(slowed(request, c.factor)), c.want)
		})
	}
}

// A long prompt of a low class that was granted beside a held grant once came to the
// engine first, and the higher class waited for its prefill.
func TestLowerClassWaitsForAHeldGrantOfAHigherOne(t *testing.T) {
	b := newBench(Settings{})
	b.reserve("high", 2, 100, time.Minute)
	b.reserve("low", 1, 10_000, time.Minute)
	assert.Equal(t, b.last("high").Kind, acaciaroute.OfferGranted)
	assert.Equal(t, b.last("low").Kind, acaciaroute.OfferWaiting)
	b.Begin("high", b.last("high").Grant)
	b.pass(tickInterval)
	assert.Equal(t, b.last("low").Kind, acaciaroute.OfferGranted)
}

func TestWaitersHearOfAStraggler(t *testing.T) {
	b := newBench(Settings{})
	b.reserve("decodes", 1, 16, time.Minute)
	b.Begin("decodes", b.last("decodes").Grant)
	for range 200 {
		b.pass(ownGap)
		b.Token("decodes", 1)
	}
	b.reserve("long", 1, 100_000, time.Minute)
	b.Begin("long", b.last("long").Grant)
	b.reserve("waits", 1, 1000, time.Minute)
	assert.Check(t, !b.last("waits").Hint.Straggling)
	for range 10 {
		b.pass(slowFactor * ownGap)
		b.Token("decodes", 1)
	}
	assert.Check(t, b.last("waits").Hint.Straggling)
}
