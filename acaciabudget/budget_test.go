package acaciabudget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute/acaciasite"
)

const window = 8 * time.Second

var start = time.Unix(1_800_000_000, 0)

func club(rate, burst float64) []acaciasite.Organisation {
	return []acaciasite.Organisation{{Name: "club", Rate: rate, Burst: burst}}
}

// settled returns quotas whose process has run for a whole window.
func settled(rate, burst float64) *Quota {
	q := NewQuota(QuotaSettings{Window: window, Overrun: 0.1, Slack: 50})
	q.Configure(club(rate, burst), start.Add(-2*window))
	return q
}

func TestQuotaIsSharedByProcesses(t *testing.T) {
	const processes, rate, burst, seconds = 5, 100.0, 100.0, 40
	quotas := make([]*Quota, processes)
	for i := range quotas {
		quotas[i] = settled(rate, burst)
	}
	names := []string{"a", "b", "c", "d", "e"}
	var taken []time.Duration
	for ms := 0; ms < seconds*1000; ms += 10 {
		at := time.Duration(ms) * time.Millisecond
		now := start.Add(at)
		for i, q := range quotas {
			if ok, _ := q.Take("club", 1, false, now); ok {
				taken = append(taken, at)
			}
			// Words are 50 ms apart.
			if ms%50 != 0 {
				continue
			}
			for j, other := range quotas {
				if i != j {
					other.Hear(names[i], q.Used(), now)
				}
			}
		}
	}
	// Each process may overrun by what it does not yet know: five requests a process.
	limit := int(rate*window.Seconds()+burst) + processes*5
	most := 0
	for first, last := 0, 0; last < len(taken); last++ {
		for taken[last]-taken[first] >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	assert.Check(t, most <= limit, "%d of %d", most, limit)
	assert.Check(t, len(taken) >= int(rate*(seconds-1)), "%d", len(taken))
}

// A swing above the rate for a few seconds is within the window's limit.
func TestSwingWithinTheWindowIsNotTurnedAway(t *testing.T) {
	q := settled(100, 100)
	for ms := 0; ms < 4000; ms += 5 {
		ok, _ := q.Take("club", 1, false, start.Add(time.Duration(ms)*time.Millisecond))
		assert.Assert(t, ok, "refused after %d ms", ms)
	}
}

// Room to spare is given to whoever asks, but never beyond the tolerance.
func TestToleranceIsGivenOutOnlyWhileThereIsRoom(t *testing.T) {
	const rate, burst = 100.0, 100.0
	limit := rate*window.Seconds() + burst
	for spare, most := range map[bool]float64{false: limit, true: limit*1.1 + 50} {
		q := settled(rate, burst)
		taken := 0.0
		for ok := true; ok; taken++ {
			ok, _ = q.Take("club", 1, spare, start)
		}
		assert.Check(t, taken <= most+1, "%v of %v", taken, most)
		assert.Check(t, taken >= limit)
	}
}

func TestQuotaSaysWhenToComeBackAndGivesBack(t *testing.T) {
	q := settled(1, 2)
	ok, _ := q.Take("club", 10, false, start)
	assert.Check(t, ok)
	ok, wait := q.Take("club", 1, false, start)
	assert.Check(t, !ok)
	assert.Check(t, wait > window/2 && wait <= window+window/4, "%v", wait)
	ok, _ = q.Take("club", 1, false, start.Add(wait))
	assert.Check(t, ok)
	q.Return("club", 1, start.Add(wait))
	ok, _ = q.Take("club", 10, false, start.Add(wait))
	assert.Check(t, ok)
}

func TestLargeRequestPassesWhenNothingElseIsUsed(t *testing.T) {
	q := settled(1, 1)
	ok, _ := q.Take("club", 30, false, start)
	assert.Check(t, ok)
	ok, _ = q.Take("club", 1, false, start)
	assert.Check(t, !ok)
}

func TestLowerQuotaBindsAtOnce(t *testing.T) {
	q := settled(100, 100)
	ok, _ := q.Take("club", 50, false, start)
	assert.Check(t, ok)
	q.Configure(club(1, 1), start)
	ok, _ = q.Take("club", 1, false, start)
	assert.Check(t, !ok)
}

// Processes that all start anew in the middle of a crest know nothing of what was used.
func TestRestartedProcessDoesNotGiveTheWholeWindowAgain(t *testing.T) {
	const rate, burst = 100.0, 100.0
	q := NewQuota(QuotaSettings{Window: window, Overrun: 0.1, Slack: 50})
	q.Configure(club(rate, burst), start)
	taken := 0
	for ok := true; ok; taken++ {
		ok, _ = q.Take("club", 1, false, start)
	}
	assert.Check(t, float64(taken) <= rate*window.Seconds()*0.1+burst+1, "%d", taken)
	assert.Check(t, taken > 0)
}

// Parts of a partition each use no more than their share.
func TestShareBoundsWhatAProcessUsesByItself(t *testing.T) {
	q := settled(100, 100)
	q.SetShare(0.2)
	taken := 0
	for ok := true; ok; taken++ {
		ok, _ = q.Take("club", 1, false, start)
	}
	assert.Check(t, float64(taken) <= 0.2*(100*window.Seconds()+100)+1, "%d", taken)
}

func TestRestartedPeerIsNotChargedTwice(t *testing.T) {
	q := settled(1, 1)
	q.Hear("peer", map[string]float64{"club": 500}, start)
	ok, _ := q.Take("club", 1, false, start)
	assert.Check(t, ok, "the first word charges nothing")
	q.Forget("peer")
	q.Hear("peer", map[string]float64{"club": 1}, start)
	q.Hear("peer", map[string]float64{"club": 9}, start)
	ok, _ = q.Take("club", 1, false, start)
	assert.Check(t, !ok)
}

func TestRepeatsStayWithinTheSharedBudget(t *testing.T) {
	const processes = 5
	settings := RepeatSettings{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
	repeats, requests := 0, 0
	for range processes {
		r := NewRepeats(settings)
		for ms := 0; ms < 10000; ms += 20 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			r.Request("m", now)
			requests++
			// Every request fails and would be sent again, twice.
			for range 2 {
				if r.Repeat("m", processes, now) {
					repeats++
				}
			}
		}
	}
	assert.Check(t, float64(repeats) <= settings.Ratio*float64(requests)+settings.Slack, "%d of %d", repeats, requests)
	assert.Check(t, repeats > 0)
}
