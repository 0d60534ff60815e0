package acaciaschedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An endpoint that quickly answers with errors looks fast and would otherwise attract more
// than its share of the requests.
func TestFailingEndpointGetsFewerRequests(t *testing.T) {
	const rounds = 40
	s := newScheduler()
	addEndpoint(s, "bad", "a", 4)
	addEndpoint(s, "good", "a", 4)
	used := map[string]int{}
	for i := range rounds {
		r, now := newRequest(fmt.Sprint(i), 0, atMillis(i*100)), atMillis(i*100)
		s.Enqueue(r)
		id := decidePlacements(s, now)[r.ID]
		used[id]++
		s.RecordFirstByte(r, now.Add(50*time.Millisecond))
		if id == "bad" {
			s.RecordFailure(r, FailureErrorResponse, now.Add(50*time.Millisecond))
		}
		s.Release(r, now.Add(60*time.Millisecond))
	}
	assert.Check(t, used["bad"] < rounds/4, "requests by endpoint: %v", used)
}

// A straggler must be avoided before it has sent any response, based on its silence alone.
func TestUnresponsiveEndpointIsAvoided(t *testing.T) {
	s := newScheduler()
	addEndpoint(s, "near", "a", 8)
	addEndpoint(s, "far", "b", 8)
	// Without a prompt, only the silence tells the endpoints apart.
	enqueue := func(id string, ms int) {
		r := newRequest(id, 0, atMillis(ms))
		r.PromptTokens = 0
		s.Enqueue(r)
	}
	enqueue("first", 0)
	assert.DeepEqual(t, decidePlacements(s, atMillis(0)), map[string]string{"first": "near"})
	enqueue("soon", 10)
	assert.DeepEqual(t, decidePlacements(s, atMillis(10)), map[string]string{"soon": "near"})
	enqueue("later", 1000)
	assert.DeepEqual(t, decidePlacements(s, atMillis(1000)), map[string]string{"later": "far"})
}

// Requests beyond the slots of an endpoint with long-running requests would wait there,
// where more urgent requests cannot overtake them.
func TestNoPrefetchToSlowEndpoint(t *testing.T) {
	for hold, want := range map[time.Duration]int{100 * time.Millisecond: 2, time.Second: 1} {
		s := New(Settings{DataCentre: "a", Prefetch: 1, Random: func() float64 { return 0 }})
		addEndpoint(s, "e", "a", 1)
		first := newRequest("first", 0, atMillis(0))
		s.Enqueue(first)
		assert.Equal(t, len(decidePlacements(s, atMillis(0))), 1)
		s.Release(first, atMillis(0).Add(hold))
		for i := range 3 {
			s.Enqueue(newRequest(fmt.Sprint(i), 0, atMillis(2000)))
		}
		assert.Equal(t, len(decidePlacements(s, atMillis(2000))), want, "hold %s", hold)
	}
}
