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

func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

func newScheduler() *Scheduler {
	return New(Settings{
		DataCentre: "a",
		Regions:    map[string]string{"a": "near", "b": "near", "c": "far"},
		Draw:       func() float64 { return 0 },
	})
}

func list(s *Scheduler, id, dataCentre string, places int) {
	s.Apply(acaciasite.EndpointChange{ID: id, Endpoint: &acaciasite.Endpoint{
		ID: id, Service: "m", Address: id, DataCentre: dataCentre, Places: places, Born: start,
	}})
}

func request(id string, rank int, arrived time.Time) *Request {
	return &Request{
		ID: id, Service: "m", Rank: rank, PromptTokens: 1000, Arrived: arrived,
		Objective: arrived.Add(time.Second), Deadline: arrived.Add(10 * time.Second),
	}
}

// tellOther has one process hear another's report.
func tellOther(from, to *Scheduler, told, heard time.Time) {
	report := from.Tell(told)
	to.Hear("other", &report, heard)
}

// placed returns where requests were placed by one step.
func placed(s *Scheduler, now time.Time) map[string]string {
	found := map[string]string{}
	for _, decision := range s.Step(now) {
		if decision.Endpoint != nil {
			found[decision.Request.ID] = decision.Endpoint.ID
		}
	}
	return found
}

func TestMoreUrgentRequestGetsTheOnlyPlace(t *testing.T) {
	s := newScheduler()
	list(s, "e", "a", 1)
	first := request("first", 1, at(0))
	s.Add(first)
	assert.DeepEqual(t, placed(s, at(0)), map[string]string{"first": "e"})
	s.Add(request("low", 2, at(1)))
	s.Add(request("high", 0, at(2)))
	assert.Equal(t, len(placed(s, at(3))), 0)
	s.Release(first, at(100))
	assert.DeepEqual(t, placed(s, at(100)), map[string]string{"high": "e"})
}

func TestPlacesOfOtherProcessesCountWhileTheirWordIsFresh(t *testing.T) {
	s := newScheduler()
	list(s, "e", "a", 2)
	s.Hear("peer", &Report{Running: map[string]int{"e": 2}}, at(0))
	s.Add(request("r", 0, at(0)))
	assert.Equal(t, len(placed(s, at(10))), 0)
	assert.DeepEqual(t, placed(s, at(0).Add(reportTime)), map[string]string{"r": "e"})
}

// Many processes see one place get free at the same time, each with a request that waits
// for it (hoehlenplan-route-grown scale-1: up to five times as many requests at the engines
// as they have places).
func TestFreePlaceGoesToTheFirstOverAllProcesses(t *testing.T) {
	const processes, rounds = 22, 40
	schedulers := make([]*Scheduler, processes)
	for i := range schedulers {
		schedulers[i] = newScheduler()
		list(schedulers[i], "e", "a", 4)
	}
	tell := func(now time.Time) {
		for i, from := range schedulers {
			told := from.Tell(now)
			for j, to := range schedulers {
				if i != j {
					to.Hear(fmt.Sprint(i), &told, now)
				}
			}
		}
	}
	running := map[*Request]*Scheduler{}
	most, total := 0, 0
	for round := range rounds {
		now := at(round * 50)
		for i, s := range schedulers {
			s.Add(request(fmt.Sprint(round, "-", i), i%3, now))
		}
		tell(now)
		for i, s := range schedulers {
			for _, decision := range s.Step(now.Add(time.Millisecond)) {
				if decision.Endpoint == nil {
					continue
				}
				running[decision.Request] = s
				total++
				assert.Check(t, round == 0 || decision.Request.Rank == 0, "rank %d at process %d", decision.Request.Rank, i)
			}
		}
		most = max(most, len(running))
		tell(now.Add(20 * time.Millisecond))
		if round%2 == 0 {
			continue
		}
		for r, s := range running {
			s.Release(r, now.Add(30*time.Millisecond))
			delete(running, r)
		}
	}
	assert.Check(t, most <= 4, "%d requests for 4 places", most)
	assert.Check(t, total >= rounds*3/2, "%d", total)
}

// Two processes see the same place free: an urgent request that came later at one goes
// before a less urgent one that waits at the other.
func TestFreePlaceGoesToTheMostUrgentOverAllProcesses(t *testing.T) {
	older, newer := newScheduler(), newScheduler()
	for _, s := range []*Scheduler{older, newer} {
		list(s, "e", "a", 1)
	}
	older.Add(request("low", 2, at(0)))
	newer.Add(request("high", 0, at(100)))
	tellOther(older, newer, at(110), at(110))
	tellOther(newer, older, at(110), at(110))
	assert.Equal(t, len(placed(older, at(120))), 0)
	assert.DeepEqual(t, placed(newer, at(120)), map[string]string{"high": "e"})
}

// A crest of several times the capacity: what would wait too long is told to come back,
// the least urgent first, and the most urgent is not turned away before it.
func TestCrestTurnsTheLeastUrgentAway(t *testing.T) {
	s := newScheduler()
	list(s, "e", "a", 1)
	refused := map[int]int{}
	after := map[int]time.Duration{}
	var running *Request
	for ms := 0; ms < 20000; ms += 50 {
		now := at(ms)
		for rank := range 3 {
			s.Add(request(fmt.Sprintf("%d-%d", ms, rank), rank, now))
		}
		if running != nil && now.Sub(running.placed) >= 150*time.Millisecond {
			s.Release(running, now)
			running = nil
		}
		for _, decision := range s.Step(now) {
			if decision.Endpoint != nil {
				running = decision.Request
				continue
			}
			refused[decision.Request.Rank]++
			after[decision.Request.Rank] = decision.RetryAfter
			assert.Check(t, decision.RetryAfter > 0)
		}
	}
	assert.Check(t, refused[0] < refused[1] && refused[1] <= refused[2], "%v", refused)
	assert.Check(t, refused[2] > 300, "%v", refused)
	assert.Check(t, after[0] <= 10*time.Second/3, "%v", after)
}

// More requests than an engine can run, in another region: the next one must be there when
// a place gets free, not set out then.
func TestPrefetchKeepsAFarEngineBusy(t *testing.T) {
	const oneWay, work = 30, 60
	served := func(prefetch int) int {
		s := New(Settings{DataCentre: "a", Draw: func() float64 { return 0 }, Prefetch: prefetch})
		list(s, "e", "c", 1)
		ends, free, n := map[int]*Request{}, 0, 0
		for ms := 0; ms < 20000; ms++ {
			if ms%50 == 0 {
				s.Add(request(fmt.Sprint(ms), 0, at(ms)))
			}
			if r := ends[ms]; r != nil {
				s.Release(r, at(ms))
				n++
			}
			for _, decision := range s.Step(at(ms)) {
				if decision.Endpoint != nil {
					free = max(free, ms+oneWay) + work
					ends[free+oneWay] = decision.Request
				}
			}
		}
		return n
	}
	without, with := served(0), served(1)
	assert.Check(t, with*10 >= without*15, "%d without, %d with", without, with)
}

// Engines of unlike speed: the slow third gets what the fast ones have no room for.
func TestSlowEndpointIsFoundAndRecovers(t *testing.T) {
	s := newScheduler()
	list(s, "fast", "a", 4)
	list(s, "slow", "a", 4)
	times := map[string]time.Duration{"fast": 50 * time.Millisecond, "slow": 400 * time.Millisecond}
	count := func(from, to int) map[string]int {
		counts := map[string]int{}
		for i := from; i < to; i++ {
			r := request(fmt.Sprint(i), 0, at(i*1000))
			s.Add(r)
			e := placed(s, at(i*1000))[r.ID]
			counts[e]++
			s.First(r, at(i*1000).Add(times[e]))
			s.Release(r, at(i*1000).Add(times[e]))
		}
		return counts
	}
	counts := count(0, 40)
	assert.Check(t, counts["slow"] <= 4, "%v", counts)
	// Now the other one stalls: within a few requests work goes elsewhere.
	times["fast"], times["slow"] = 2*time.Second, 50*time.Millisecond
	counts = count(40, 80)
	assert.Check(t, counts["fast"] <= 8, "%v", counts)
}

// A request that may only go to a busy endpoint does not keep the others from free places,
// here or at another process.
func TestRequestThatWantsNoFreePlaceIsPassedOver(t *testing.T) {
	s, other := newScheduler(), newScheduler()
	for _, scheduler := range []*Scheduler{s, other} {
		list(scheduler, "busy", "a", 1)
		list(scheduler, "idle", "a", 1)
	}
	first := request("first", 0, at(0))
	first.Only = []string{"busy"}
	s.Add(first)
	placed(s, at(0))
	again := request("again", 0, at(1))
	again.Only = []string{"busy"}
	s.Add(again)
	assert.Equal(t, len(placed(s, at(1))), 0)
	tellOther(s, other, at(1), at(2))
	other.Add(request("there", 1, at(2)))
	assert.DeepEqual(t, placed(other, at(2)), map[string]string{"there": "idle"})
	s.Add(request("here", 1, at(2)))
	assert.DeepEqual(t, placed(s, at(2)), map[string]string{"here": "idle"})
}

func TestFailingEndpointIsSparedAndTriedAgain(t *testing.T) {
	s := newScheduler()
	list(s, "e", "a", 1)
	r := request("r", 0, at(0))
	s.Add(r)
	placed(s, at(0))
	s.Fail(r, FailedUnreached, at(10))
	s.Release(r, at(10))
	s.Add(request("next", 0, at(20)))
	assert.Equal(t, len(placed(s, at(20))), 0)
	assert.DeepEqual(t, placed(s, at(10).Add(firstPause)), map[string]string{"next": "e"})
}

// A crashed endpoint before many processes (hoehlenplan-route-grown scale-1: 80 failed
// connections to each of 16): one finds out, the others hear of it.
func TestEndpointThatIsDownIsToldToTheOthers(t *testing.T) {
	first, second := newScheduler(), newScheduler()
	for _, s := range []*Scheduler{first, second} {
		list(s, "down", "a", 1)
		list(s, "up", "c", 9)
	}
	r := request("r", 0, at(0))
	first.Add(r)
	assert.DeepEqual(t, placed(first, at(0)), map[string]string{"r": "down"})
	first.Fail(r, FailedUnreached, at(1))
	first.Release(r, at(1))
	tellOther(first, second, at(2), at(3))
	second.Add(request("next", 0, at(4)))
	assert.DeepEqual(t, placed(second, at(4)), map[string]string{"next": "up"})
	second.Add(request("later", 0, at(3).Add(heardPause)))
	assert.DeepEqual(t, placed(second, at(3).Add(heardPause)), map[string]string{"later": "down"})
}

// A caller that leaves at the instant of its refusal gives back a place it never had.
func TestReleaseWithoutAPlaceChangesNothing(t *testing.T) {
	s := newScheduler()
	r := request("r", 0, at(0))
	r.Deadline = at(1)
	s.Add(r)
	decisions := s.Step(at(2))
	assert.Equal(t, len(decisions), 1)
	assert.Check(t, decisions[0].Endpoint == nil)
	assert.Check(t, !s.Remove(r))
	s.Release(r, at(3))
	assert.Equal(t, len(s.Tell(at(0)).Running), 0)
}

func TestRestartUnderTheSameIDForgetsWhatWasLearned(t *testing.T) {
	s := newScheduler()
	list(s, "e", "a", 1)
	r := request("r", 0, at(0))
	s.Add(r)
	placed(s, at(0))
	s.Apply(acaciasite.EndpointChange{ID: "e", Endpoint: &acaciasite.Endpoint{
		ID: "e", Service: "m", Address: "e", DataCentre: "a", Places: 1, Born: start.Add(time.Second),
	}})
	s.Add(request("next", 0, at(1)))
	assert.DeepEqual(t, placed(s, at(1)), map[string]string{"next": "e"})
	// The end of the request at the earlier start frees nothing at the new one.
	s.Release(r, at(2))
	s.Add(request("third", 0, at(3)))
	assert.Equal(t, len(placed(s, at(3))), 0)
}

func TestNearEndpointIsPreferred(t *testing.T) {
	s := newScheduler()
	list(s, "far", "c", 1)
	list(s, "other", "b", 1)
	list(s, "near", "a", 1)
	for _, want := range []string{"near", "other", "far"} {
		s.Add(request(want, 0, at(0)))
		assert.DeepEqual(t, placed(s, at(0)), map[string]string{want: want})
	}
}

// Whatever comes: no endpoint gets more than its places, no request two decisions, and a
// request is never placed while a more urgent one of this process waits.
func TestPlacesAndOrderHoldForAnySequence(t *testing.T) {
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
				list(s, fmt.Sprint("e", rapid.IntRange(0, 3).Draw(t, "endpoint")), "a", 2)
			case 1, 2:
				s.Add(request(fmt.Sprint(i), rapid.IntRange(0, 2).Draw(t, "rank"), now))
			case 3:
				for r, e := range running {
					s.Release(r, now)
					load[e]--
					delete(running, r)
					break
				}
			case 4:
				s.Hear("peer", &Report{
					Waiting: map[string]map[int]int{"m": {0: 1}},
					Heads:   map[string][]Order{"m": {Order(rapid.Int64Range(0, 3).Draw(t, "head")) << orderBits}},
				}, now)
			}
			lowest := -1
			for _, decision := range s.Step(now) {
				assert.Check(t, !decided[decision.Request], "two decisions")
				decided[decision.Request] = true
				if decision.Endpoint == nil {
					continue
				}
				running[decision.Request] = decision.Endpoint.ID
				load[decision.Endpoint.ID]++
				assert.Check(t, load[decision.Endpoint.ID] <= 2, "too many at %s", decision.Endpoint.ID)
				assert.Check(t, decision.Request.Rank >= lowest, "out of order")
				lowest = decision.Request.Rank
			}
		}
	})
}
