package acaciaschedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// nextAfter returns which of two waiting requests gets the only place when it is free.
func nextAfter(t *testing.T, first, second, third *Request) string {
	t.Helper()
	s := newScheduler()
	list(s, "e", "a", 1)
	s.Add(first)
	assert.Equal(t, len(placed(s, first.Arrived)), 1)
	s.Add(second)
	s.Add(third)
	free := third.Arrived.Add(100 * time.Millisecond)
	assert.Equal(t, len(placed(s, third.Arrived)), 0)
	s.Release(first, free)
	got := placed(s, free)
	assert.Equal(t, len(got), 1)
	for id := range got {
		return id
	}
	return ""
}

// After a crest, those that missed their objective must not make the others miss theirs.
func TestRequestThatIsLateYieldsToOneThatIsNot(t *testing.T) {
	missed, fresh := request("missed", 1, at(0)), request("fresh", 1, at(950))
	assert.Equal(t, nextAfter(t, request("first", 1, at(0)), missed, fresh), "fresh")
}

// One organisation asks for much: within a class the place goes to the one that has had
// least of its share, though the other's request came earlier.
func TestOrganisationThatHasHadLessGoesFirst(t *testing.T) {
	of := func(organisation, id string, ms int) *Request {
		r := request(id, 1, at(ms))
		r.Organisation, r.Share, r.Cost = organisation, 1, 10
		return r
	}
	assert.Equal(t, nextAfter(t, of("large", "first", 0), of("large", "second", 10), of("small", "third", 20)), "third")
}

// Callers refused at the same moment do not come back at the same moment.
func TestRefusedCallersComeBackAtDifferentTimes(t *testing.T) {
	draws := []float64{0, 0.5, 1}
	var last time.Duration
	for _, draw := range draws {
		s := New(Settings{DataCentre: "a", Draw: func() float64 { return draw }})
		list(s, "e", "a", 1)
		r := request("r", 1, at(0))
		after := s.retryAfter(s.service("m"), r, at(0))
		assert.Check(t, after > last, "%s after %s", after, last)
		assert.Check(t, after <= r.Deadline.Sub(at(0))/3, "%s", after)
		last = after
	}
}
