package acaciaschedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/acaciaroute/acaciaroute/acaciasite"
)

var start = time.Unix(1_800_000_000, 0)

func atMillis(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

func newScheduler() *Scheduler {
	return New(Settings{
		DataCentre: "a",
		Regions:    map[string]string{"a": "near", "b": "near", "c": "far"},
		Random:     func() float64 { return 0 },
	})
}

func addEndpoint(s *Scheduler, id, dataCentre string, slots int) {
	s.ApplyEndpointChange(acaciasite.EndpointChange{ID: id, Endpoint: &acaciasite.Endpoint{
		ID: id, Service: "m", Address: id, DataCentre: dataCentre, Slots: slots, StartedAt: start,
	}})
}

func newRequest(id string, rank int, arrived time.Time) *Request {
	return &Request{
		ID: id, Service: "m", Rank: rank, PromptTokens: 1000, Arrived: arrived,
		Objective: arrived.Add(time.Second), Deadline: arrived.Add(10 * time.Second),
	}
}

// sendReport applies the report that one scheduler makes at sent to another at received.
func sendReport(from, to *Scheduler, sent, received time.Time) {
	report := from.BuildReport(sent)
	to.ApplyReport("other", "near", &report, received)
}

// decidePlacements runs DecideWaiting once and returns the endpoint ID of each
// placed request.
func decidePlacements(s *Scheduler, now time.Time) map[string]string {
	placements := map[string]string{}
	for _, decision := range s.DecideWaiting(now) {
		if decision.Endpoint != nil {
			placements[decision.Request.ID] = decision.Endpoint.ID
		}
	}
	return placements
}

func TestMostUrgentRequestGetsOnlySlot(t *testing.T) {
	s := newScheduler()
	addEndpoint(s, "e", "a", 1)
	first := newRequest("first", 1, atMillis(0))
	s.Enqueue(first)
	assert.DeepEqual(t, decidePlacements(s, atMillis(0)), map[string]string{"first": "e"})
	s.Enqueue(newRequest("low", 2, atMillis(1)))
	s.Enqueue(newRequest("high", 0, atMillis(2)))
	assert.Equal(t, len(decidePlacements(s, atMillis(3))), 0)
	s.Release(first, atMillis(100))
	assert.DeepEqual(t, decidePlacements(s, atMillis(100)), map[string]string{"high": "e"})
}

func TestPeerReportCountsUntilItExpires(t *testing.T) {
	s := newScheduler()
	addEndpoint(s, "e", "a", 2)
	s.ApplyReport("peer", "near", &Report{Loads: map[EndpointKey]EndpointLoad{KeyOf("e"): {Running: 2}}}, atMillis(0))
	s.Enqueue(newRequest("r", 0, atMillis(0)))
	assert.Equal(t, len(decidePlacements(s, atMillis(10))), 0)
	assert.DeepEqual(t, decidePlacements(s, atMillis(0).Add(reportLifetime)), map[string]string{"r": "e"})
}

// Many processes see the same slot become free, each with a request waiting for it. Without
// an order across processes, the engines got up to five times as many requests as they have
// slots (hoehlenplan-route-grown, scale-1).
func TestFreeSlotGoesToFirstRequestAcrossProcesses(t *testing.T) {
	const processes, rounds = 22, 40
	schedulers := make([]*Scheduler, processes)
	for i := range schedulers {
		schedulers[i] = newScheduler()
		addEndpoint(schedulers[i], "e", "a", 4)
	}
	exchangeReports := func(now time.Time) {
		for i, from := range schedulers {
			report := from.BuildReport(now)
			for j, to := range schedulers {
				if i != j {
					to.ApplyReport(fmt.Sprint(i), "near", &report, now)
				}
			}
		}
	}
	running := map[*Request]*Scheduler{}
	maxRunning, total := 0, 0
	for round := range rounds {
		now := atMillis(round * 50)
		for i, s := range schedulers {
			s.Enqueue(newRequest(fmt.Sprint(round, "-", i), i%3, now))
		}
		exchangeReports(now)
		for i, s := range schedulers {
			for _, decision := range s.DecideWaiting(now.Add(time.Millisecond)) {
				if decision.Endpoint == nil {
					continue
				}
				running[decision.Request] = s
				total++
				assert.Check(t, round == 0 || decision.Request.Rank == 0, "a request of rank %d was placed at process %d", decision.Request.Rank, i)
			}
		}
		maxRunning = max(maxRunning, len(running))
		exchangeReports(now.Add(20 * time.Millisecond))
		if round%2 == 0 {
			continue
		}
		for r, s := range running {
			s.Release(r, now.Add(30*time.Millisecond))
			delete(running, r)
		}
	}
	assert.Check(t, maxRunning <= 4, "%d requests for 4 slots", maxRunning)
	assert.Check(t, total >= rounds*3/2, "%d requests placed", total)
}

// Two processes see the same free slot: an urgent request that arrived later at one goes
// before a less urgent one that waits at the other.
func TestFreeSlotGoesToMostUrgentRequestAcrossProcesses(t *testing.T) {
	older, newer := newScheduler(), newScheduler()
	for _, s := range []*Scheduler{older, newer} {
		addEndpoint(s, "e", "a", 1)
	}
	older.Enqueue(newRequest("low", 2, atMillis(0)))
	newer.Enqueue(newRequest("high", 0, atMillis(100)))
	sendReport(older, newer, atMillis(110), atMillis(110))
	sendReport(newer, older, atMillis(110), atMillis(110))
	assert.Equal(t, len(decidePlacements(older, atMillis(120))), 0)
	assert.DeepEqual(t, decidePlacements(newer, atMillis(120)), map[string]string{"high": "e"})
}

// In a load peak of several times the capacity, requests that would wait too long must be
// rejected with a retry delay. Fewer requests of the most urgent rank must be rejected than
// of any other, and no rank may lose more requests than a less urgent one.
func TestOverloadRejectsLeastUrgentFirst(t *testing.T) {
	s := newScheduler()
	addEndpoint(s, "e", "a", 1)
	rejected := map[int]int{}
	retryAfter := map[int]time.Duration{}
	var running *Request
	for ms := 0; ms < 20000; ms += 50 {
		now := atMillis(ms)
		for rank := range 3 {
			s.Enqueue(newRequest(fmt.Sprintf("%d-%d", ms, rank), rank, now))
		}
		if running != nil && now.Sub(running.placedAt) >= 150*time.Millisecond {
			s.Release(running, now)
			running = nil
		}
		for _, decision := range s.DecideWaiting(now) {
			if decision.Endpoint != nil {
				running = decision.Request
				continue
			}
			rejected[decision.Request.Rank]++
			retryAfter[decision.Request.Rank] = decision.RetryAfter
			assert.Check(t, decision.RetryAfter > 0)
		}
	}
	assert.Check(t, rejected[0] < rejected[1] && rejected[1] <= rejected[2], "rejected by rank: %v", rejected)
	assert.Check(t, rejected[2] > 300, "rejected by rank: %v", rejected)
	assert.Check(t, retryAfter[0] <= 10*time.Second/3, "retry delay by rank: %v", retryAfter)
}

// With more requests than an engine in another region can run, the next request must
// already be there when a slot becomes free; sent only then, it would leave the slot idle
// for a round trip.
func TestPrefetchKeepsRemoteEndpointBusy(t *testing.T) {
	const oneWay, work = 30, 60
	served := func(prefetch int) int {
		s := New(Settings{DataCentre: "a", Random: func() float64 { return 0 }, Prefetch: prefetch})
		addEndpoint(s, "e", "c", 1)
		ends, free, n := map[int]*Request{}, 0, 0
		for ms := 0; ms < 20000; ms++ {
			if ms%50 == 0 {
				s.Enqueue(newRequest(fmt.Sprint(ms), 0, atMillis(ms)))
			}
			if r := ends[ms]; r != nil {
				s.Release(r, atMillis(ms))
				n++
			}
			for _, decision := range s.DecideWaiting(atMillis(ms)) {
				if decision.Endpoint != nil {
					free = max(free, ms+oneWay) + work
					ends[free+oneWay] = decision.Request
				}
			}
		}
		return n
	}
	without, with := served(0), served(1)
	assert.Check(t, with*10 >= without*15, "%d requests served without prefetch, %d with it", without, with)
}

// When a third of the engines are slow, they must get only what the fast ones have no free
// slots for; here one of two is slow.
func TestSlowEndpointIsDetectedAndRecovers(t *testing.T) {
	s := newScheduler()
	addEndpoint(s, "fast", "a", 4)
	addEndpoint(s, "slow", "a", 4)
	times := map[string]time.Duration{"fast": 50 * time.Millisecond, "slow": 400 * time.Millisecond}
	count := func(from, to int) map[string]int {
		counts := map[string]int{}
		for i := from; i < to; i++ {
			r := newRequest(fmt.Sprint(i), 0, atMillis(i*1000))
			s.Enqueue(r)
			e := decidePlacements(s, atMillis(i*1000))[r.ID]
			counts[e]++
			s.RecordFirstByte(r, atMillis(i*1000).Add(times[e]))
			s.Release(r, atMillis(i*1000).Add(times[e]))
		}
		return counts
	}
	counts := count(0, 40)
	assert.Check(t, counts["slow"] <= 4, "requests by endpoint: %v", counts)
	// The fast endpoint stalls: within a few requests, work must move to the other one.
	times["fast"], times["slow"] = 2*time.Second, 50*time.Millisecond
	counts = count(40, 80)
	assert.Check(t, counts["fast"] <= 8, "requests by endpoint: %v", counts)
}

// A request that may only go to a busy endpoint must not keep other requests from free
// slots, in its own process or in another.
func TestUnplaceableRequestDoesNotBlockOthers(t *testing.T) {
	s, other := newScheduler(), newScheduler()
	for _, scheduler := range []*Scheduler{s, other} {
		addEndpoint(scheduler, "busy", "a", 1)
		addEndpoint(scheduler, "idle", "a", 1)
	}
	first := newRequest("first", 0, atMillis(0))
	first.AllowedEndpoints = []string{"busy"}
	s.Enqueue(first)
	decidePlacements(s, atMillis(0))
	again := newRequest("again", 0, atMillis(1))
	again.AllowedEndpoints = []string{"busy"}
	s.Enqueue(again)
	assert.Equal(t, len(decidePlacements(s, atMillis(1))), 0)
	sendReport(s, other, atMillis(1), atMillis(2))
	other.Enqueue(newRequest("there", 1, atMillis(2)))
	assert.DeepEqual(t, decidePlacements(other, atMillis(2)), map[string]string{"there": "idle"})
	s.Enqueue(newRequest("here", 1, atMillis(2)))
	assert.DeepEqual(t, decidePlacements(s, atMillis(2)), map[string]string{"here": "idle"})
}

func TestUnreachableEndpointIsSuspendedAndRetried(t *testing.T) {
	s := newScheduler()
	addEndpoint(s, "e", "a", 1)
	r := newRequest("r", 0, atMillis(0))
	s.Enqueue(r)
	decidePlacements(s, atMillis(0))
	s.RecordFailure(r, FailureUnreachable, atMillis(10))
	s.Release(r, atMillis(10))
	s.Enqueue(newRequest("next", 0, atMillis(20)))
	assert.Equal(t, len(decidePlacements(s, atMillis(20))), 0)
	assert.DeepEqual(t, decidePlacements(s, atMillis(10).Add(initialSuspension)), map[string]string{"next": "e"})
}

// When an endpoint crashes, one process finds out and the others learn of it from its
// report. Otherwise every process must fail to connect for itself: 80 failed connections to
// each of 16 endpoints (hoehlenplan-route-grown, scale-1).
func TestUnreachableEndpointIsReportedToPeers(t *testing.T) {
	first, second := newScheduler(), newScheduler()
	for _, s := range []*Scheduler{first, second} {
		addEndpoint(s, "down", "a", 1)
		addEndpoint(s, "up", "c", 9)
	}
	r := newRequest("r", 0, atMillis(0))
	first.Enqueue(r)
	assert.DeepEqual(t, decidePlacements(first, atMillis(0)), map[string]string{"r": "down"})
	first.RecordFailure(r, FailureUnreachable, atMillis(1))
	first.Release(r, atMillis(1))
	sendReport(first, second, atMillis(2), atMillis(3))
	second.Enqueue(newRequest("next", 0, atMillis(4)))
	assert.DeepEqual(t, decidePlacements(second, atMillis(4)), map[string]string{"next": "up"})
	second.Enqueue(newRequest("later", 0, atMillis(3).Add(peerReportedSuspension)))
	assert.DeepEqual(t, decidePlacements(second, atMillis(3).Add(peerReportedSuspension)), map[string]string{"later": "down"})
}

// A caller may disconnect at the moment when its request is rejected; the release that follows
// must not free a slot that the request never had.
func TestReleaseWithoutSlotHasNoEffect(t *testing.T) {
	s := newScheduler()
	r := newRequest("r", 0, atMillis(0))
	r.Deadline = atMillis(1)
	s.Enqueue(r)
	decisions := s.DecideWaiting(atMillis(2))
	assert.Equal(t, len(decisions), 1)
	assert.Check(t, decisions[0].Endpoint == nil)
	assert.Check(t, !s.Dequeue(r))
	s.Release(r, atMillis(3))
	assert.Equal(t, len(s.BuildReport(atMillis(0)).Loads), 0)
}

// An endpoint that restarts under the same ID must start with fresh state.
func TestEndpointRestartResetsItsState(t *testing.T) {
	s := newScheduler()
	addEndpoint(s, "e", "a", 1)
	r := newRequest("r", 0, atMillis(0))
	s.Enqueue(r)
	decidePlacements(s, atMillis(0))
	s.ApplyEndpointChange(acaciasite.EndpointChange{ID: "e", Endpoint: &acaciasite.Endpoint{
		ID: "e", Service: "m", Address: "e", DataCentre: "a", Slots: 1, StartedAt: start.Add(time.Second),
	}})
	s.Enqueue(newRequest("next", 0, atMillis(1)))
	assert.DeepEqual(t, decidePlacements(s, atMillis(1)), map[string]string{"next": "e"})
	// The end of a request at the previous run of the endpoint must not free a slot at the
	// new one.
	s.Release(r, atMillis(2))
	s.Enqueue(newRequest("third", 0, atMillis(3)))
	assert.Equal(t, len(decidePlacements(s, atMillis(3))), 0)
}

func TestNearEndpointIsPreferred(t *testing.T) {
	s := newScheduler()
	addEndpoint(s, "far", "c", 1)
	addEndpoint(s, "other", "b", 1)
	addEndpoint(s, "near", "a", 1)
	for _, want := range []string{"near", "other", "far"} {
		s.Enqueue(newRequest(want, 0, atMillis(0)))
		assert.DeepEqual(t, decidePlacements(s, atMillis(0)), map[string]string{want: want})
	}
}

// For any sequence of events, no endpoint gets more requests than it has slots, no request
// gets two decisions, and no request is placed while a more urgent one of the same process
// waits.
func TestSlotLimitAndOrderHoldForAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newScheduler()
		running := map[*Request]string{}
		load := map[string]int{}
		decided := map[*Request]bool{}
		now := start
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				addEndpoint(s, fmt.Sprint("e", rapid.IntRange(0, 3).Draw(t, "endpoint")), "a", 2)
			case 1, 2:
				s.Enqueue(newRequest(fmt.Sprint(i), rapid.IntRange(0, 2).Draw(t, "rank"), now))
			case 3:
				for r, e := range running {
					s.Release(r, now)
					load[e]--
					delete(running, r)
					break
				}
			case 4:
				s.ApplyReport("peer", "near", &Report{
					Waiting: map[string]map[int]int{"m": {0: 1}},
					Heads:   map[string][]QueuePosition{"m": {QueuePosition(rapid.Int64Range(0, 3).Draw(t, "head")) << positionBits}},
				}, now)
			}
			lowest := -1
			for _, decision := range s.DecideWaiting(now) {
				assert.Check(t, !decided[decision.Request], "a request got two decisions")
				decided[decision.Request] = true
				if decision.Endpoint == nil {
					continue
				}
				running[decision.Request] = decision.Endpoint.ID
				load[decision.Endpoint.ID]++
				assert.Check(t, load[decision.Endpoint.ID] <= 2, "more requests than slots at %s", decision.Endpoint.ID)
				assert.Check(t, decision.Request.queueRank() >= lowest, "a late or less urgent request was placed first")
				lowest = decision.Request.queueRank()
			}
		}
	})
}

// News of another region is late: while requests wait there, a slot that looks free is about to
// be taken.
func TestOtherRegionsSlotsAreLeftToRequestsThatWaitThere(t *testing.T) {
	for waiting, want := range map[int]string{0: "far", 3: ""} {
		s := newScheduler()
		addEndpoint(s, "far", "c", 2)
		s.ApplyReport("peer", "far", &Report{Loads: map[EndpointKey]EndpointLoad{KeyOf("far"): {Running: 1}}, Waiting: map[string]map[int]int{"m": {1: waiting}}}, atMillis(0))
		s.Enqueue(newRequest("r", 0, atMillis(1)))
		assert.Equal(t, decidePlacements(s, atMillis(1))["r"], want)
	}
}

// A process that is suspended between a decision and the call must not act on it: the endpoint
// may have left. While the machine itself is suspended, the monotonic clock stands still.
func TestDecisionExpires(t *testing.T) {
	decidedAt := time.Now()
	for name, test := range map[string]struct {
		now     time.Time
		expired bool
	}{
		"at once":                    {decidedAt, false},
		"just before":                {decidedAt.Add(decisionLifetime - time.Millisecond), false},
		"process suspended":          {decidedAt.Add(decisionLifetime), true},
		"machine suspended":          {decidedAt.Round(0).Add(5 * time.Second), true},
		"time of day set back":       {decidedAt.Round(0).Add(-5 * time.Second), false},
		"set back, then suspended":   {decidedAt.Add(5 * time.Second), true},
		"time of day set forward":    {decidedAt.Round(0).Add(time.Hour), true},
		"monotonic clock went on":    {decidedAt.Add(2 * time.Second), true},
		"both clocks a little later": {decidedAt.Add(10 * time.Millisecond), false},
	} {
		decision := Decision{DecidedAt: decidedAt}
		assert.Equal(t, decision.Expired(test.now), test.expired, name)
	}
}
