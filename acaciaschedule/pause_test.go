package acaciaschedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newStream returns a request for a stream of a class.
func newStream(id, class string, arrived time.Time) *Request {
	r := newRequest(id, 0, arrived)
	r.Class, r.PromptTokens = class, 0
	return r
}

// Load pattern: a slow engine near and a fast one farther away. Long streams pause too long at
// the slow engine, short ones rarely do.
func TestLongStreamsAvoidEndpointWithLongPauses(t *testing.T) {
	s := newScheduler()
	addEndpoint(s, "slow", "a", 64)
	run := func(id, class string, ms, events, pauses int) string {
		r := newStream(id, class, atMillis(ms))
		s.Enqueue(r)
		endpoint := decidePlacements(s, atMillis(ms))[id]
		s.RecordFirstByte(r, atMillis(ms+30))
		s.RecordStream(r, StreamObservation{Events: events, LongPauses: pauses, Interval: 20 * time.Millisecond})
		s.Release(r, atMillis(ms+200))
		return endpoint
	}
	for i := range 20 {
		run(fmt.Sprint("long-", i), "long", i*300, 100, 3)
		run(fmt.Sprint("short-", i), "short", i*300, 4, 0)
	}
	addEndpoint(s, "fast", "c", 64)
	assert.Equal(t, run("long", "long", 9000, 100, 0), "fast")
	assert.Equal(t, run("short", "short", 9300, 4, 0), "slow")
}

// With both engines full, a long stream leaves the slow engine's slot to a less urgent short one
// if a slot of the fast engine is free in time.
func TestLongStreamWaitsForEndpointWithoutLongPauses(t *testing.T) {
	s := newScheduler()
	addEndpoint(s, "slow", "a", 1)
	addEndpoint(s, "fast", "a", 1)
	svc := s.services["m"]
	svc.meanEvents["long"], svc.meanEvents["short"] = 100, 4
	s.endpointsByID["slow"].pauseRate = pauseRate{pauses: 10, events: 300}
	s.endpointsByID["slow"].holdTime, s.endpointsByID["fast"].holdTime = time.Second, 200*time.Millisecond
	s.Enqueue(newStream("running", "long", atMillis(0)))
	assert.Equal(t, decidePlacements(s, atMillis(0))["running"], "fast")
	long, short := newStream("long", "long", atMillis(10)), newStream("short", "short", atMillis(10))
	short.Rank = 1
	s.Enqueue(long)
	s.Enqueue(short)
	assert.DeepEqual(t, decidePlacements(s, atMillis(10)), map[string]string{"short": "slow"})
	assert.Equal(t, s.endpointsByID["fast"].awaiting, 1)
	assert.Check(t, s.Dequeue(long))
	assert.Equal(t, s.endpointsByID["fast"].awaiting, 0)
}
