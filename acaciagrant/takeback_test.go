package acaciagrant

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute"
)

const (
	nominalTokenGap  = 10 * time.Millisecond
	slowEngineFactor = 10
)

// takenBackAfterSlowdown lets an engine decode one request at its nominal speed, begins the
// given request beside it, and then lets tokens arrive factor times slower. It returns the
// IDs of the requests that were taken back.
func takenBackAfterSlowdown(request acaciaroute.Reservation, factor int) []string {
	var taken []string
	var g *testGranter
	g = newTestGranter(Settings{TakeBack: func(id string) {
		taken = append(taken, id)
		g.EndRun(id)
	}})
	g.reserve("decoding", 1, 16, time.Minute)
	g.StartRun("decoding", g.lastOffer("decoding").GrantNumber)
	for range 200 {
		g.advance(nominalTokenGap)
		g.ObserveTokens("decoding", 1)
	}
	id := request.RequestID
	g.Reserve(request, func(offer acaciaroute.Offer) { g.offers[id] = append(g.offers[id], offer) })
	g.StartRun(id, g.lastOffer(id).GrantNumber)
	for range 10 {
		g.advance(time.Duration(factor) * nominalTokenGap)
		g.ObserveTokens("decoding", 1)
	}
	return taken
}

func TestStragglerTakesBackRepeatableRequests(t *testing.T) {
	cases := []struct {
		name       string
		factor     int
		repeatable bool
		slack      time.Duration
		want       int
	}{
		{"a repeatable request at a straggler", slowEngineFactor, true, 10 * time.Second, 1},
		{"a request that is not repeatable", slowEngineFactor, false, 10 * time.Second, 0},
		{"an engine at its nominal speed", 1, true, 10 * time.Second, 0},
		{"an engine at half its nominal speed", 2, true, 10 * time.Second, 0},
		{"no time for a restart before the deadline", slowEngineFactor, true, 1200 * time.Millisecond, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request := acaciaroute.Reservation{
				RequestID:    "waiting",
				Class:        "c1",
				Rank:         1,
				Organisation: "o",
				PromptTokens: 3000,
				Slack:        c.slack,
				Repeatable:   c.repeatable,
			}
			assert.Equal(t, len(takenBackAfterSlowdown(request, c.factor)), c.want)
		})
	}
}

// Guards against a long prompt of a lower class that is granted while a grant of a higher
// class is held: it can reach the engine first, and the higher class then waits for its
// prefill.
func TestLowerClassWaitsForHeldGrantOfHigherClass(t *testing.T) {
	g := newTestGranter(Settings{})
	g.reserve("high", 2, 100, time.Minute)
	g.reserve("low", 1, 10_000, time.Minute)
	assert.Equal(t, g.lastOffer("high").Kind, acaciaroute.OfferGranted)
	assert.Equal(t, g.lastOffer("low").Kind, acaciaroute.OfferWaiting)
	g.StartRun("high", g.lastOffer("high").GrantNumber)
	g.advance(tickInterval)
	assert.Equal(t, g.lastOffer("low").Kind, acaciaroute.OfferGranted)
}

func TestWaitersAreNotifiedOfStraggling(t *testing.T) {
	g := newTestGranter(Settings{})
	g.reserve("decoding", 1, 16, time.Minute)
	g.StartRun("decoding", g.lastOffer("decoding").GrantNumber)
	for range 200 {
		g.advance(nominalTokenGap)
		g.ObserveTokens("decoding", 1)
	}
	g.reserve("long", 1, 100_000, time.Minute)
	g.StartRun("long", g.lastOffer("long").GrantNumber)
	g.reserve("waiting", 1, 1000, time.Minute)
	assert.Check(t, !g.lastOffer("waiting").Hint.Straggling)
	for range 10 {
		g.advance(slowEngineFactor * nominalTokenGap)
		g.ObserveTokens("decoding", 1)
	}
	assert.Check(t, g.lastOffer("waiting").Hint.Straggling)
}
