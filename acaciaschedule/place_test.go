package acaciaschedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An endpoint that answers fast with failures would otherwise get more than its part.
func TestEndpointThatAnswersWithFailuresGetsLess(t *testing.T) {
	const rounds = 40
	s := newScheduler()
	list(s, "bad", "a", 4)
	list(s, "good", "a", 4)
	used := map[string]int{}
	for i := range rounds {
		r, now := request(fmt.Sprint(i), 0, at(i*100)), at(i*100)
		s.Add(r)
		id := placed(s, now)[r.ID]
		used[id]++
		s.First(r, now.Add(50*time.Millisecond))
		if id == "bad" {
			s.Fail(r, FailedRequest, now.Add(50*time.Millisecond))
		}
		s.Release(r, now.Add(60*time.Millisecond))
	}
	assert.Check(t, used["bad"] < rounds/4, "%v", used)
}

// A straggler is avoided before it has answered anything: by its silence.
func TestSilentEndpointIsAvoided(t *testing.T) {
	s := newScheduler()
	list(s, "near", "a", 8)
	list(s, "far", "b", 8)
	s.Add(request("first", 0, at(0)))
	assert.DeepEqual(t, placed(s, at(0)), map[string]string{"first": "near"})
	s.Add(request("soon", 0, at(10)))
	assert.DeepEqual(t, placed(s, at(10)), map[string]string{"soon": "near"})
	s.Add(request("later", 0, at(1000)))
	assert.DeepEqual(t, placed(s, at(1000)), map[string]string{"later": "far"})
}

// Requests sent ahead to an engine that holds its places for long would wait there, where
// no urgent one can pass them.
func TestNothingIsSentAheadToASlowEndpoint(t *testing.T) {
	for hold, want := range map[time.Duration]int{100 * time.Millisecond: 2, time.Second: 1} {
		s := New(Settings{DataCentre: "a", Prefetch: 1, Draw: func() float64 { return 0 }})
		list(s, "e", "a", 1)
		first := request("first", 0, at(0))
		s.Add(first)
		assert.Equal(t, len(placed(s, at(0))), 1)
		s.Release(first, at(0).Add(hold))
		for i := range 3 {
			s.Add(request(fmt.Sprint(i), 0, at(2000)))
		}
		assert.Equal(t, len(placed(s, at(2000))), want, "hold %s", hold)
	}
}
