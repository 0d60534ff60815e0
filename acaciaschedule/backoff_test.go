package acaciaschedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute/acaciasite"
)

// backoffBed is a scheduler with one endpoint, which turned a request away at 0 ms.
type backoffBed struct {
	*Scheduler
	sent int
}

func newBackoffBed(t *testing.T, asked Backoff) *backoffBed {
	t.Helper()
	b := &backoffBed{Scheduler: newScheduler()}
	addEndpoint(b.Scheduler, "e", "a", 4)
	b.turnAway(t, asked, 0)
	return b
}

// turnAway sends a request, which is turned away, and returns whether that began a backoff.
func (b *backoffBed) turnAway(t *testing.T, asked Backoff, ms int) bool {
	t.Helper()
	request := newRequest(fmt.Sprint("away-", ms), 0, atMillis(ms))
	b.Enqueue(request)
	assert.Equal(t, len(decidePlacements(b.Scheduler, atMillis(ms))), 1)
	_, changed := b.RecordBackoff(request, asked, atMillis(ms))
	b.Release(request, atMillis(ms))
	return changed
}

// place enqueues requests and returns those that are sent at some time.
func (b *backoffBed) place(requests, ms int) []*Request {
	for range requests {
		b.sent++
		b.Enqueue(newRequest(fmt.Sprint("r-", b.sent), 0, atMillis(ms)))
	}
	return b.placed(ms)
}

func (b *backoffBed) placed(ms int) []*Request {
	var placed []*Request
	for _, decision := range b.DecideWaiting(atMillis(ms)) {
		if decision.Endpoint != nil {
			placed = append(placed, decision.Request)
		}
	}
	return placed
}

// An endpoint that has asked for no requests for 2 s gets none, then one, and the others when it has
// begun to answer that.
func TestEndpointGetsNoRequestsDuringBackoffAndOneAfterIt(t *testing.T) {
	b := newBackoffBed(t, Backoff{Duration: 2 * time.Second, Readable: true})
	assert.Equal(t, len(b.place(4, 1)), 0)
	assert.Equal(t, b.CountEndpoints(atMillis(1)).BackingOff, 1)
	for ms := 100; ms < 2000; ms += 100 {
		assert.Equal(t, len(b.placed(ms)), 0, "at %d ms", ms)
	}
	probe := b.placed(2000)
	assert.Equal(t, len(probe), 1)
	assert.Equal(t, len(b.placed(2050)), 0)
	b.RecordFirstByte(probe[0], atMillis(2100))
	assert.Equal(t, len(b.placed(2100)), 3)
	assert.Equal(t, b.CountEndpoints(atMillis(2100)).BackingOff, 0)
}

// A request that fails at the end of the backoff leaves its place to another one.
func TestFailedRequestAfterBackoffIsFollowedByAnother(t *testing.T) {
	b := newBackoffBed(t, Backoff{Duration: time.Second, Readable: true})
	b.place(3, 1)
	for i := range 3 {
		probe := b.placed(1000 + 100*i)
		assert.Equal(t, len(probe), 1)
		b.Release(probe[0], atMillis(1001+100*i))
	}
}

func TestLaterBackoffDoesNotShortenAnEarlierOne(t *testing.T) {
	s := newScheduler()
	addEndpoint(s, "e", "a", 4)
	requests := []*Request{newRequest("r-1", 0, atMillis(0)), newRequest("r-2", 0, atMillis(0))}
	for _, request := range requests {
		s.Enqueue(request)
	}
	assert.Equal(t, len(decidePlacements(s, atMillis(0))), 2)
	_, changed := s.RecordBackoff(requests[0], Backoff{Duration: 3 * time.Second, Readable: true}, atMillis(0))
	assert.Check(t, changed)
	until, changed := s.RecordBackoff(requests[1], Backoff{Duration: time.Second, Readable: true}, atMillis(100))
	assert.Check(t, !changed)
	assert.Equal(t, until, atMillis(3000))
}

// A backoff is bounded, and one that can't be read is none and is reported once.
func TestBackoffIsReadWithinBounds(t *testing.T) {
	b := newBackoffBed(t, Backoff{Duration: 24 * time.Hour, Readable: true})
	assert.Equal(t, b.CountEndpoints(start.Add(MaxBackoff-1)).BackingOff, 1)
	assert.Equal(t, b.CountEndpoints(start.Add(MaxBackoff)).BackingOff, 0)

	b = newBackoffBed(t, Backoff{Readable: true})
	assert.Equal(t, b.CountEndpoints(atMillis(0)).BackingOff, 0)
	assert.Check(t, b.turnAway(t, Backoff{}, 100))
	assert.Check(t, !b.turnAway(t, Backoff{}, 200))
	assert.Equal(t, b.CountEndpoints(atMillis(200)).BackingOff, 0)
}

// While all endpoints of a service back off, requests with time left wait for the first of them, and
// the others are refused at once, to return when it takes requests again.
func TestRequestsThatCannotOutlastBackoffAreRefusedAtOnce(t *testing.T) {
	b := newBackoffBed(t, Backoff{Duration: 2 * time.Second, Readable: true})
	patient := newRequest("patient", 0, atMillis(0))
	patient.Deadline = atMillis(20_000)
	hasty := newRequest("hasty", 0, atMillis(0))
	hasty.Deadline = atMillis(7000)
	b.Enqueue(patient)
	b.Enqueue(hasty)
	decisions := b.DecideWaiting(atMillis(1))
	assert.Equal(t, len(decisions), 1)
	assert.Equal(t, decisions[0].Request, hasty)
	assert.Check(t, decisions[0].RetryAfter > 1999*time.Millisecond, "%v", decisions[0].RetryAfter)
	assert.DeepEqual(t, decidePlacements(b.Scheduler, atMillis(2000)), map[string]string{"patient": "e"})
}

// The store may drop an endpoint from its list and list it again while it backs off; another start
// of it does not back off.
func TestBackoffOutlastsTheListOfEndpoints(t *testing.T) {
	b := newBackoffBed(t, Backoff{Duration: 2 * time.Second, Readable: true})
	b.ApplyEndpointChange(acaciasite.EndpointChange{ID: "e"})
	addEndpoint(b.Scheduler, "e", "a", 4)
	assert.Equal(t, len(b.place(1, 1000)), 0)
	info := *b.Endpoint("e")
	info.StartedAt = atMillis(1)
	b.ApplyEndpointChange(acaciasite.EndpointChange{ID: "e", Endpoint: &info})
	assert.Equal(t, len(b.placed(1000)), 1)
}
